#include "support/message_mutator.h"
#include "temporary_folder.h"
#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/config/declaration.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/entry/entry_host.h"

#include "caller.pb.h"
#include "fabric.pb.h"
#include "peer.pb.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <google/protobuf/stubs/logging.h>

namespace {

using namespace zinnia;

const endpoint fabric{0x7F000001U, 7001};
const endpoint registry{0x7F000001U, 7010};
const std::string credential = "a credential of the registry";

// One entry host with one service and one upstream, driven only by events.
struct fixture : temporary_folder {
  fixture() : host(make()) {
    for (int n = 0; n < 10; ++n)
      tick();
    wire::announcement announcement;
    announcement.set_service("registry");
    announcement.set_credential(credential);
    announcement.set_incarnation(77);
    announcement.set_address("127.0.0.1:7501");
    announcement.set_slots(1);
    announcement.set_zone(1);
    // The lease starts at the reply whose lease mark a renewal echoes, so the upstream announces
    // itself twice.
    for (int renewal = 0; renewal < 2; ++renewal) {
      announcement.set_lease_echo(reply.lease_mark());
      const auto effects = host.step(now, announcement_received{1, announcement});
      reply = std::get<reply_to_announcement>(effects.front()).reply;
      for (int n = 0; n < 15; ++n)
        tick();
    }
  }

  entry_host make() {
    write("keys.yaml", "");
    const auto settings = write("entry.yaml", R"(host: 1
availability_zone: 1
fabric_address: "127.0.0.1:7201"
peer_address: "127.0.0.1:7301"
registration_address: "127.0.0.1:7401"
control_hosts: ["127.0.0.1:7101"]
keys_file: keys.yaml
)");
    token_key key;
    key.generation = 1;
    wire::configuration configuration;
    configuration.set_revision(1);
    auto& entry = *configuration.add_services();
    entry.set_id(1);
    entry.set_generation(1);
    entry.mutable_declaration()->set_name("registry");
    entry.mutable_declaration()->set_address(registry.to_string());
    entry.mutable_declaration()->set_credential_digest(credential_digest(credential));
    auto& method = *entry.mutable_declaration()->add_methods();
    method.set_name("certify");
    method.set_kind(wire::non_idempotent);
    method.set_deadline_ms(5'000);
    configuration.set_digest(digest_of(1, digest_of(entry)));
    return entry_host::create(entry_settings::load(settings).value(),
                              key_ring::create({key}, 1).value(), incarnation_id{5}, 1,
                              configuration)
        .value();
  }

  void tick() {
    now += milliseconds(10);
    for (const auto& it : host.step(now, timer_tick{}))
      if (const auto* check = std::get_if<check_connection>(&it)) confirm(*check);
  }

  void confirm(const check_connection& check) {
    wire::connection_status status;
    status.set_right_identity(true);
    status.set_healthy(true);
    host.step(now, connection_checked{check.upstream, check.connection, status});
  }

  entry_effects receive(const wire::caller_packet& packet, endpoint address = registry) {
    wire::fabric_frame frame;
    frame.set_caller_address(1);
    frame.set_caller_port(2);
    frame.set_service_address(address.address);
    frame.set_service_port(address.port);
    frame.set_payload(packet.SerializeAsString());
    return host.step(now, fabric_datagram{fabric, frame.SerializeAsString()});
  }

  static wire::caller_packet reply_in(const entry_effects& effects) {
    wire::caller_packet packet;
    for (const auto& it : effects) {
      const auto* sent = std::get_if<send_to_fabric>(&it);
      if (sent == nullptr) continue;
      wire::fabric_frame frame;
      BOOST_REQUIRE(frame.ParseFromString(sent->data));
      BOOST_REQUIRE(packet.ParseFromString(frame.payload()));
    }
    return packet;
  }

  static std::size_t calls_in(const entry_effects& effects) {
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(),
                      [](const auto& it) { return std::holds_alternative<start_call>(it); }));
  }

  wire::caller_packet open(const std::string& service, endpoint address = registry) {
    wire::caller_packet packet;
    packet.mutable_open()->set_service(service);
    packet.mutable_open()->set_nonce(3);
    return reply_in(receive(packet, address));
  }

  static wire::caller_packet certify(const std::string& token) {
    wire::caller_packet packet;
    packet.mutable_request()->set_token(token);
    packet.mutable_request()->set_request_number(1);
    packet.mutable_request()->set_method("certify");
    packet.mutable_request()->set_attempt(1);
    packet.mutable_request()->set_deadline_ms(4'000);
    return packet;
  }

  double metric(const std::string& name) const {
    const auto report = host.metrics(now);
    for (const auto& it : report.metrics())
      if (it.name() == name) return it.value();
    return -1;
  }

  time_point now{milliseconds(1'000)};
  entry_host host;
  wire::announcement_reply reply;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_host_test, fixture)

// Guards against a retransmitted or late non-idempotent request that runs again.
BOOST_AUTO_TEST_CASE(duplicate_requests_start_one_call) {
  BOOST_TEST((reply.result() == wire::announcement_reply::accepted));
  const auto opened = open("registry").opened();
  BOOST_TEST(opened.flow() != 0U);
  const auto first = receive(certify(opened.token()));
  BOOST_TEST(calls_in(first) == 1U);
  BOOST_TEST(calls_in(receive(certify(opened.token()))) == 0U);
  std::uint64_t call = 0;
  for (const auto& it : first)
    if (const auto* started = std::get_if<start_call>(&it)) call = started->call;
  const auto ended =
      host.step(now, call_finished{call, {dispatch_outcome::done, "certificate", {}}});
  BOOST_TEST(reply_in(ended).part().data() == "certificate");
  wire::caller_packet ack;
  ack.mutable_ack()->set_token(opened.token());
  ack.mutable_ack()->set_request_number(1);
  receive(ack);
  BOOST_TEST(calls_in(receive(certify(opened.token()))) == 0U);
}

// Guards against a lost call that is repeated or reported as not run.
BOOST_AUTO_TEST_CASE(lost_call_is_reported_as_unknown) {
  const auto opened = open("registry").opened();
  std::uint64_t call = 0;
  for (const auto& it : receive(certify(opened.token())))
    if (const auto* started = std::get_if<start_call>(&it)) call = started->call;
  const auto effects = host.step(now, call_finished{call, {dispatch_outcome::lost, {}, {}}});
  BOOST_TEST(calls_in(effects) == 0U);
  BOOST_TEST((reply_in(effects).outcome().kind() == wire::outcome_unknown));
}

// Guards against packets of one service that reach another service (docs/design.md P2).
BOOST_AUTO_TEST_CASE(wrong_service_or_address_is_refused) {
  BOOST_TEST((open("catalogue").refused().cause() == wire::refusal_unknown_service));
  const endpoint other{0x7F000001U, 7011};
  BOOST_TEST((open("registry", other).refused().cause() == wire::refusal_wrong_service));
  const auto token = open("registry").opened().token();
  const auto effects = receive(certify(token), other);
  BOOST_TEST(calls_in(effects) == 0U);
  BOOST_TEST((reply_in(effects).refused().cause() == wire::refusal_wrong_service));
}

BOOST_AUTO_TEST_CASE(unauthorized_announcements_are_refused_with_cause) {
  wire::announcement announcement;
  announcement.set_service("catalogue");
  const auto unknown = host.step(now, announcement_received{2, announcement});
  const auto& first = std::get<reply_to_announcement>(unknown.front()).reply;
  BOOST_TEST((first.result() == wire::announcement_reply::unknown_service));
  BOOST_TEST(!first.cause().empty());
  announcement.set_service("registry");
  announcement.set_credential("guessed");
  const auto guessed = host.step(now, announcement_received{3, announcement});
  BOOST_TEST((std::get<reply_to_announcement>(guessed.front()).reply.result() ==
              wire::announcement_reply::bad_credential));
  BOOST_TEST(metric("announcements_refused") == 2.0);
}

// Guards against a damaged datagram that ends the process or starts a call.
BOOST_AUTO_TEST_CASE(damaged_datagrams_are_counted) {
  constexpr int datagrams = 20'000;
  google::protobuf::SetLogHandler(nullptr); // a log line per datagram would bury the test result
  random_engine engine(7);
  wire::fabric_frame frame;
  frame.set_service_address(registry.address);
  frame.set_service_port(registry.port);
  frame.set_payload(certify(open("registry").opened().token()).SerializeAsString());
  wire::peer_packet peer;
  *peer.mutable_forward()->mutable_frame() = frame;
  const auto intact_frame = frame.SerializeAsString();
  const auto intact_peer_packet = peer.SerializeAsString();
  std::size_t calls = 0;
  for (int n = 0; n < datagrams; ++n) {
    auto data = n % 2 == 0 ? intact_frame : intact_peer_packet;
    data.resize(engine() % (data.size() + 1));
    if (!data.empty()) data[engine() % data.size()] = static_cast<char>(engine());
    calls += n % 2 == 0 ? calls_in(host.step(now, fabric_datagram{fabric, data}))
                        : calls_in(host.step(now, peer_datagram{fabric, data}));
  }
  // A damaged copy may still contain a complete request. The request runs at most once.
  BOOST_TEST(calls <= 1U);
  BOOST_TEST(metric("packets_malformed") + metric("packets_refused") > 0.0);
}

// Guards against a process that ends because the fields of a message from another entry host, a
// caller or an upstream contradict each other.
BOOST_AUTO_TEST_CASE(mutated_messages_end_no_entry_host) {
  constexpr int messages = 20'000;
  constexpr int mutations_per_message = 40;
  random_engine engine(8);
  support::message_mutator mutator(engine);
  wire::peer_packet peer;
  wire::caller_packet caller;
  wire::announcement announcement;
  std::size_t effects = 0;
  for (int n = 0; n < messages; ++n) {
    if (n % mutations_per_message == 0) {
      peer.Clear();
      caller = certify(open("registry").opened().token());
      announcement.Clear();
      announcement.set_service("registry");
      announcement.set_credential(credential);
    }
    mutator.mutate(peer);
    mutator.mutate(caller);
    mutator.mutate(announcement);
    effects += host.step(now, peer_datagram{fabric, peer.SerializeAsString()}).size();
    effects += receive(caller).size();
    effects +=
        host.step(now, announcement_received{static_cast<std::uint64_t>(n), announcement}).size();
    if (n % 10 == 0) tick();
  }
  BOOST_TEST(effects > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
