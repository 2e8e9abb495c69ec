#include "zinniarelay/balance/host_router.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace zinnia;

constexpr service_id service{1};

member host(std::uint32_t id, std::uint16_t zone, std::uint64_t sequence, service_load load) {
  load.service = service;
  member value;
  value.id = host_id{id};
  value.incarnation = incarnation_id{id};
  value.zone = zone_id{zone};
  value.load.sequence = sequence;
  value.load.services = {load};
  return value;
}

service_load load_with_slots(std::uint32_t count, std::uint32_t queued = 0) {
  return {service, count, 0, queued, microseconds(20'000)};
}

struct fixture {
  host_router router{host_id{1}, zone_id{0}, {}, 1};
  time_point now = time_point{} + milliseconds(1'000);

  std::map<host_id, unsigned> choose_many(unsigned count) {
    std::map<host_id, unsigned> chosen;
    for (unsigned n = 0; n < count; ++n) {
      now += milliseconds(1);
      ++chosen[router.choose(now, service, n).value()];
    }
    return chosen;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(host_router_test, fixture)

BOOST_AUTO_TEST_CASE(no_host_is_chosen_without_upstreams) {
  BOOST_TEST(!router.choose(now, service, 1).has_value());
  router.on_member(now, host(2, 0, 1, load_with_slots(0)));
  BOOST_TEST(!router.choose(now, service, 1).has_value());
}

// Guards against a distribution of flows that ignores the number of slots.
BOOST_AUTO_TEST_CASE(flows_are_proportional_to_slots) {
  router.on_member(now, host(1, 0, 1, load_with_slots(2)));
  router.on_member(now, host(2, 0, 1, load_with_slots(6)));
  auto chosen = choose_many(1'000);
  BOOST_TEST(chosen[host_id{2}] > 700U);
  BOOST_TEST(chosen[host_id{2}] < 800U);
}

// Guards against herding: every flow is sent to the same host because its load summary is stale.
BOOST_AUTO_TEST_CASE(local_decisions_count_between_summaries) {
  router.on_member(now, host(1, 0, 1, load_with_slots(4, 0)));
  router.on_member(now, host(2, 0, 1, load_with_slots(4, 8)));
  auto chosen = choose_many(400);
  BOOST_TEST(chosen[host_id{1}] > chosen[host_id{2}]);
  BOOST_TEST(chosen[host_id{2}] > 100U);
}

// Guards against flows sent to a host that is cut off from the fabric. Such a host looks idle,
// but its answers never reach the callers.
BOOST_AUTO_TEST_CASE(hosts_without_fabric_packets_are_avoided) {
  auto cut_off = host(2, 0, 1, load_with_slots(8));
  cut_off.load.is_without_fabric_packets = true;
  router.on_member(now, cut_off);
  BOOST_TEST(choose_many(10)[host_id{2}] == 10U); // the only host with slots
  router.on_member(now, host(3, 0, 1, load_with_slots(1, 50)));
  BOOST_TEST(choose_many(100)[host_id{2}] == 0U);
}

// Guards against new flows sent to hosts that are draining, dead or restarted.
BOOST_AUTO_TEST_CASE(draining_dead_and_restarted_hosts_are_avoided) {
  router.on_member(now, host(1, 0, 1, load_with_slots(4)));
  auto draining = host(2, 0, 1, load_with_slots(4));
  draining.load.draining = true;
  router.on_member(now, draining);
  auto dead = host(3, 0, 1, load_with_slots(4));
  router.on_member(now, dead);
  dead.state = member_state::dead;
  router.on_member(now, dead);
  auto restarted = host(4, 0, 5, load_with_slots(4));
  router.on_member(now, restarted);
  restarted.incarnation = incarnation_id{99};
  restarted.load = {};
  router.on_member(now, restarted);
  BOOST_TEST(choose_many(100)[host_id{1}] == 100U);
}

// Guards against an overloaded zone while another zone is idle.
BOOST_AUTO_TEST_CASE(zone_with_queue_spills_to_idle_zone) {
  router.on_member(now, host(1, 0, 1, load_with_slots(4, 100)));
  router.on_member(now, host(2, 1, 1, load_with_slots(4)));
  BOOST_TEST(choose_many(20)[host_id{2}] == 20U);
}

// Guards against flows sent to another zone at the cost of its delay while the local zone is
// idle. Locality makes the delay count.
BOOST_AUTO_TEST_CASE(idle_local_zone_is_preferred_with_locality) {
  router_settings settings;
  settings.locality = 100;
  host_router local(host_id{1}, zone_id{0}, settings, 1);
  local.on_member(now, host(1, 0, 1, load_with_slots(4)));
  local.on_member(now, host(2, 1, 1, load_with_slots(4)));
  for (unsigned n = 0; n < 20; ++n)
    BOOST_TEST((local.choose(now, service, n) == host_id{1}));
}

BOOST_AUTO_TEST_CASE(lender_is_local_unless_queue_is_long) {
  router.on_member(now, host(1, 0, 1, load_with_slots(2, 0)));
  router.on_member(now, host(2, 0, 1, load_with_slots(2)));
  router.on_member(now, host(3, 1, 1, load_with_slots(2)));
  const std::vector<host_id> requested{host_id{2}};
  BOOST_TEST((router.choose_lender(now, service) == host_id{2}));
  BOOST_TEST(!router.choose_lender(now, service, requested).has_value());
  router.on_member(now, host(1, 0, 2, load_with_slots(2, 50)));
  BOOST_TEST((router.choose_lender(now, service, requested) == host_id{3}));
}

BOOST_AUTO_TEST_SUITE_END()
