#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/entry/packet_router.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

const endpoint registry_address{0x0A000001U, 7010};
const endpoint catalogue_address{0x0A000001U, 7011};

void add_service(wire::configuration& configuration, std::uint32_t id, const char* name,
                 endpoint address) {
  auto& entry = *configuration.add_services();
  entry.set_id(id);
  entry.set_generation(id);
  entry.mutable_declaration()->set_name(name);
  entry.mutable_declaration()->set_address(address.to_string());
}

wire::peer_packet update_of(std::uint32_t host, wire::member_state state,
                            bool is_without_fabric_packets) {
  wire::peer_packet packet;
  packet.set_from_host(9);
  packet.set_from_incarnation(9);
  auto& update = *packet.mutable_probe()->add_updates();
  update.set_host(host);
  update.set_incarnation(host);
  update.set_state(state);
  update.set_address(0x0A000100U + host);
  update.set_port(7300);
  update.mutable_load()->set_sequence(1);
  update.mutable_load()->set_fabric_silent(is_without_fabric_packets);
  return packet;
}

struct fixture {
  fixture() {
    wire::configuration configuration;
    configuration.set_revision(1);
    add_service(configuration, 1, "registry", registry_address);
    add_service(configuration, 2, "catalogue", catalogue_address);
    std::uint64_t sum = 0;
    for (const auto& it : configuration.services())
      sum += digest_of(it);
    configuration.set_digest(digest_of(1, sum));
    BOOST_REQUIRE(directory.apply(configuration).has_value());
    receive(update_of(2, wire::member_alive, false));
  }

  void receive(const wire::peer_packet& packet) {
    members.step(now, probe_received{{1, 1}, packet});
  }

  flow_token token(std::uint32_t host) const {
    flow_token value;
    value.service = service_id{1};
    value.service_generation = 1;
    value.executing_host = host_id{host};
    return value;
  }

  time_point now{milliseconds(1'000)};
  service_directory directory;
  member_table members{{host_id{1}, incarnation_id{1}, zone_id{1}, {1, 1}}, {}, 1};
  packet_router router{host_id{1}, directory, members};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(packet_router_test, fixture)

BOOST_AUTO_TEST_CASE(local_and_remote_tokens_are_routed) {
  const auto local = router.route(token(1), registry_address, wire::non_idempotent, 1);
  BOOST_TEST(std::holds_alternative<handle_here>(local));
  const auto remote = router.route(token(2), registry_address, wire::non_idempotent, 5);
  BOOST_REQUIRE(std::holds_alternative<forward_to>(remote));
  BOOST_TEST(std::get<forward_to>(remote).host.value == 2U);
}

// Guards against a packet of one service that reaches another service (docs/design.md P2).
BOOST_AUTO_TEST_CASE(wrong_service_address_is_refused) {
  const auto decision = router.route(token(1), catalogue_address, wire::idempotent, 1);
  BOOST_REQUIRE(std::holds_alternative<refuse_packet>(decision));
  BOOST_TEST(std::get<refuse_packet>(decision).cause == wire::refusal_wrong_service);
}

// Guards against flows of a former service that are served at its reassigned address.
BOOST_AUTO_TEST_CASE(old_generation_is_refused) {
  auto old = token(1);
  old.service_generation = 7;
  const auto decision = router.route(old, registry_address, wire::idempotent, 1);
  BOOST_REQUIRE(std::holds_alternative<refuse_packet>(decision));
  BOOST_TEST(std::get<refuse_packet>(decision).cause == wire::refusal_stale_generation);
}

// Guards against a host with an old configuration that refuses flows of a new service.
BOOST_AUTO_TEST_CASE(packet_of_unknown_service_is_dropped) {
  auto newer = token(1);
  newer.service = service_id{3};
  const auto decision = router.route(newer, registry_address, wire::idempotent, 1);
  BOOST_TEST(std::holds_alternative<drop_packet>(decision));
}

// Guards against idempotent requests that wait for an unresponsive or unknown host.
BOOST_AUTO_TEST_CASE(idempotent_requests_are_taken_over) {
  const auto repeated = router.route(token(2), registry_address, wire::idempotent, 3);
  BOOST_REQUIRE(std::holds_alternative<handle_here>(repeated));
  BOOST_TEST((std::get<handle_here>(repeated).mode == takeover_mode::repeated_attempt));
  const auto unknown = router.route(token(5), registry_address, wire::idempotent, 1);
  BOOST_REQUIRE(std::holds_alternative<handle_here>(unknown));
  BOOST_TEST((std::get<handle_here>(unknown).mode == takeover_mode::executing_host_dead));
}

// Guards against answers that are lost because their host is cut off from the fabric.
BOOST_AUTO_TEST_CASE(requests_of_host_cut_off_from_fabric_are_taken_over) {
  receive(update_of(3, wire::member_alive, true));
  const auto decision = router.route(token(3), registry_address, wire::idempotent, 1);
  BOOST_REQUIRE(std::holds_alternative<handle_here>(decision));
  BOOST_TEST((std::get<handle_here>(decision).mode == takeover_mode::executing_host_dead));
  const auto non_idempotent = router.route(token(3), registry_address, wire::non_idempotent, 1);
  BOOST_TEST(std::holds_alternative<forward_to>(non_idempotent));
}

// Guards against a second execution of a request by a host that is not named by its token.
BOOST_AUTO_TEST_CASE(non_idempotent_requests_of_unknown_hosts_are_dropped) {
  const auto decision = router.route(token(5), registry_address, wire::non_idempotent, 9);
  BOOST_TEST(std::holds_alternative<drop_packet>(decision));
}

BOOST_AUTO_TEST_SUITE_END()
