#include "warmup_system.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::warmup_system;

constexpr std::size_t service_size = 10;

/// A system whose upstreams are warm, for a seed.
struct warm_system : warmup_system {
  explicit warm_system(std::uint64_t seed, options value = {}) : warmup_system(with(seed, value)) {
    for (std::size_t n = 0; n < service_size; ++n)
      start_upstream(n);
    has_callers = false;
    run(milliseconds(8'000));
    has_callers = true;
    run(milliseconds(1'000));
    for (auto& [n, it] : upstreams) {
      it.openings.clear();
      it.started -= warmup; // what follows is no longer part of its warm-up
    }
  }

  static options with(std::uint64_t seed, options value) {
    value.seed = seed;
    // The constant part of the bound hides faults at low rates.
    if (seed % 2 == 0) value.rate = 30;
    return value;
  }

  /// Restarts all upstreams at once.
  void restart_all() {
    for (std::size_t n = 0; n < service_size; ++n)
      start_upstream(n);
  }

  void check_bound() const {
    BOOST_TEST(highest_rate() <= bound(), "seed " << options_.seed << ": " << highest_rate());
    BOOST_TEST(most_holders == 1U);
  }
};

const auto seeds = boost::unit_test::data::xrange(1, 6);

BOOST_AUTO_TEST_SUITE(warmup_limits_test)

// Guards against an upstream that gets flows from all entry hosts right after its restart under the
// same id.
BOOST_DATA_TEST_CASE(one_restarted_upstream_gets_its_rate, seeds, seed) {
  warm_system system(seed);
  system.start_upstream(3);
  system.run(warmup_system::warmup);
  system.check_bound();
  // A lease is in use: several flows, and no more than the rate over the whole time.
  BOOST_TEST(system.openings_while_cold() >= 6U);
  BOOST_TEST(static_cast<double>(system.openings_while_cold()) <= system.options_.rate * 6 + 6);
}

// Guards against flows at full speed when no upstream is warm, and against a system that then
// serves nothing.
BOOST_DATA_TEST_CASE(total_power_loss_opens_flows_at_the_rate, seeds, seed) {
  warm_system system(seed);
  for (std::uint64_t id = 1; id <= 3; ++id)
    system.group.stop(id);
  system.run(milliseconds(200));
  for (std::uint64_t id = 1; id <= 3; ++id)
    system.group.start(id);
  for (std::size_t n = 0; n < system.entries.size(); ++n)
    system.start_entry(n);
  system.restart_all();
  system.run(warmup_system::warmup);
  system.check_bound();
  BOOST_TEST(system.openings_while_cold() >= service_size * 8U);
  BOOST_TEST(system.resets > 0U);
}

// Guards against a paused entry host that opens flows after its lease was given to another one.
BOOST_DATA_TEST_CASE(paused_entry_hosts_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  system.restart_all();
  system.run(milliseconds(1'500));
  for (std::size_t n = 0; n < system.entries.size(); n += 2)
    system.entries[n].is_frozen = true;
  system.run(milliseconds(1'600));
  for (auto& it : system.entries)
    it.is_frozen = !it.is_frozen;
  system.run(milliseconds(900));
  for (auto& it : system.entries)
    it.is_frozen = false;
  system.run(milliseconds(2'000));
  system.check_bound();
}

// Guards against leases of a paused control host, or of a paused leader, that overlap with those of
// the others, and against a new leader that grants before the earlier leases have expired.
BOOST_DATA_TEST_CASE(paused_control_hosts_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  system.restart_all();
  system.run(milliseconds(1'000));
  const auto leader = system.group.leader();
  system.group.members.at(leader)->is_frozen = true;
  system.run(milliseconds(2'500));
  system.group.members.at(leader)->is_frozen = false;
  const auto other = 1 + leader % 3;
  system.group.members.at(other)->is_frozen = true;
  system.run(milliseconds(1'700));
  system.group.members.at(other)->is_frozen = false;
  system.run(milliseconds(1'000));
  system.check_bound();
  BOOST_TEST(system.openings_while_cold() >= service_size * 4U);
}

// Guards against an isolated leader that still grants leases, next to its successor.
BOOST_DATA_TEST_CASE(two_leaders_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  system.restart_all();
  system.run(milliseconds(1'000));
  const auto leader = system.group.leader();
  system.group.isolate(leader);
  system.cut_controls.insert(leader);
  system.run(milliseconds(5'000));
  BOOST_TEST(system.group.leader() != leader);
  system.check_bound();
}

// Guards against leases that depend on clocks which agree: entry hosts whose clocks have other
// zero points run 2 % too slow or too fast.
BOOST_DATA_TEST_CASE(clocks_that_differ_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  for (std::size_t n = 0; n < system.entries.size(); ++n) {
    auto& it = system.entries[n];
    it.clock_speed = n % 2 == 0 ? 0.98 : 1.02;
    const auto now = system.group.now.time_since_epoch();
    it.clock_offset += microseconds(now.count() * (n % 2 == 0 ? 2 : -2) / 100);
  }
  system.restart_all();
  system.run(warmup_system::warmup);
  system.check_bound();
}

// Guards against an upstream that counts as warm because it states its warm-up late, never, or only
// once.
BOOST_DATA_TEST_CASE(unstated_warmup_counts, seeds, seed) {
  warm_system system(seed);
  for (std::size_t n = 0; n < service_size; ++n) {
    auto& it = system.start_upstream(n, milliseconds(n % 3 == 0 ? -1'500 : 1'500));
    it.told_after.reset();
    if (n % 2 == 0) it.told_after = milliseconds(2'000);
    if (n % 5 == 0) it.told_after = milliseconds(0);
    if (n % 5 == 0) it.told_until = milliseconds(500);
  }
  system.run(warmup_system::warmup);
  system.check_bound();
}

// Guards against leases of entry hosts that lose contact with all control hosts, and against a
// lease that an earlier process of an entry host uses next to the new one.
BOOST_DATA_TEST_CASE(cut_and_restarted_entry_hosts_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  system.restart_all();
  system.run(milliseconds(1'500));
  for (std::size_t n = 0; n < system.entries.size(); ++n) {
    if (n % 3 == 0) system.entries[n].is_cut = true;
    if (n % 3 == 1) system.start_entry(n);
  }
  system.run(warmup_system::warmup - milliseconds(1'500));
  system.check_bound();
}

// Guards against a restarted control host that grants what its earlier process has granted.
BOOST_DATA_TEST_CASE(restarted_control_hosts_exceed_no_bound, seeds, seed) {
  warm_system system(seed);
  system.restart_all();
  system.run(milliseconds(1'500));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    system.group.stop(id);
    system.group.start(id);
    system.run(milliseconds(1'000));
  }
  system.check_bound();
}

// Guards against flows at full speed to a zone whose evacuation has ended.
BOOST_DATA_TEST_CASE(restored_zone_counts_as_cold, seeds, seed) {
  warm_system system(seed);
  for (auto& [n, it] : system.upstreams)
    it.started = system.group.now;
  for (std::uint64_t id = 1; id <= 3; ++id)
    system.group.host(id).count_zone_as_cold(system.group.now, "a");
  for (auto& it : system.entries)
    it.host->count_zone_as_cold(system.clock_of(it), "a");
  system.run(warmup_system::warmup);
  system.check_bound();
  BOOST_TEST(system.openings_while_cold() >= service_size * 8U);
}

// Guards against messages and delays for services without a limit.
BOOST_AUTO_TEST_CASE(service_without_limit_is_served_at_once) {
  warmup_system::options value;
  value.is_limited = false;
  warm_system system(1, value);
  system.restart_all();
  system.run(milliseconds(1'000));
  BOOST_TEST(system.grant_requests == 0U);
  BOOST_TEST(system.resets == 0U);
  BOOST_TEST(system.openings_while_cold() >= 100U);
}

// Shows that the load of these tests exceeds the bound without a limit.
BOOST_AUTO_TEST_CASE(load_exceeds_the_bound_without_a_limit) {
  warmup_system::options value;
  value.is_limited = false;
  warm_system system(1, value);
  system.restart_all();
  system.run(warmup_system::warmup);
  BOOST_TEST(system.highest_rate() > 2 * system.bound());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
