#include "zinniarelay/core/random.h"
#include "zinniarelay/upstream/upstream_pool.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

constexpr service_id service{1};
constexpr microseconds call_duration{20'000};

time_point at_ms(std::int64_t ms) {
  return time_point{} + milliseconds(ms);
}

upstream_announcement announcement(std::uint64_t id, std::uint32_t slots = 3) {
  return {service, incarnation_id{id}, {0x0A000000U, static_cast<std::uint16_t>(id)}, slots};
}

/// Returns settings by which each completed call makes one more slot usable.
upstream_settings fast_warmup() {
  upstream_settings settings;
  settings.completions_per_slot = 1;
  return settings;
}

struct fixture {
  upstream_pool pool{fast_warmup(), 1};

  void renew(std::int64_t ms, const upstream_announcement& renewal) {
    pool.on_announcement(at_ms(ms), renewal);
    pool.tick(at_ms(ms));
  }

  void call(std::int64_t ms, call_result result) {
    const auto slot = pool.acquire(at_ms(ms), service);
    BOOST_REQUIRE(slot.has_value());
    pool.release(at_ms(ms), *slot, result, call_duration);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_pool_test, fixture)

// Guards against calls to an upstream that has stopped renewing (docs/design.md R17).
BOOST_AUTO_TEST_CASE(lease_expires_without_renewal) {
  renew(0, announcement(1));
  BOOST_TEST(pool.free_slots(at_ms(1'900), service) == 1U);
  pool.tick(at_ms(900));
  pool.tick(at_ms(1'800));
  BOOST_TEST(pool.acquire(at_ms(1'999), service).has_value());
  BOOST_TEST(!pool.acquire(at_ms(2'000), service).has_value());
}

// Guards against a late renewal that returns a leaving upstream to service.
BOOST_AUTO_TEST_CASE(leaving_is_final) {
  renew(0, announcement(1));
  auto leaving = announcement(1);
  leaving.is_leaving = true;
  renew(100, leaving);
  renew(200, announcement(1));
  BOOST_TEST(!pool.acquire(at_ms(201), service).has_value());
}

// Guards against a drain that the upstream is not informed of, or that lets new calls start.
BOOST_AUTO_TEST_CASE(drain_is_reported_and_stops_new_calls) {
  renew(0, announcement(1));
  pool.set_drains({announcement(1).incarnation});
  BOOST_TEST(pool.on_announcement(at_ms(10), announcement(1)).is_drain_requested);
  BOOST_TEST(!pool.acquire(at_ms(11), service).has_value());
}

// Guards against calls for an old incarnation after another process has taken its port.
BOOST_AUTO_TEST_CASE(newer_incarnation_supersedes_older_one) {
  renew(0, announcement(1));
  auto newer = announcement(2);
  newer.address = announcement(1).address;
  renew(100, newer);
  BOOST_TEST((pool.acquire(at_ms(101), service)->incarnation == incarnation_id{2}));
  const auto late = pool.on_announcement(at_ms(200), announcement(1));
  BOOST_TEST((late.result == announcement_result::superseded));
  BOOST_TEST(!pool.acquire(at_ms(201), service).has_value());
}

// Guards against a lease that starts at the arrival of a renewal which waited in a buffer.
BOOST_AUTO_TEST_CASE(lease_of_echoed_renewal_starts_at_the_reply) {
  auto renewal = announcement(1);
  renewal.lease_echo = pool.on_announcement(at_ms(0), renewal).lease_mark;
  for (std::int64_t ms = 0; ms <= 3'000; ms += 500)
    pool.tick(at_ms(ms));
  pool.on_announcement(at_ms(3'000), renewal);
  BOOST_TEST(!pool.acquire(at_ms(3'001), service).has_value());
}

// Guards against leases granted by renewals that were sent before this process was frozen.
BOOST_AUTO_TEST_CASE(renewals_right_after_a_freeze_grant_no_lease) {
  renew(0, announcement(1));
  renew(10'000, announcement(1));
  BOOST_TEST(!pool.acquire(at_ms(10'001), service).has_value());
  renew(10'500, announcement(1));
  BOOST_TEST(pool.acquire(at_ms(10'501), service).has_value());
}

// Guards against connections that count as unresponsive because this process did not run.
BOOST_AUTO_TEST_CASE(freeze_does_not_fail_probes) {
  renew(0, announcement(1));
  pool.tick(at_ms(500));
  pool.tick(at_ms(1'700));
  BOOST_TEST(pool.acquire(at_ms(1'701), service).has_value());
}

// Guards against a cold upstream that gets its full share immediately (docs/design.md R18).
BOOST_AUTO_TEST_CASE(usable_slots_grow_with_completed_calls) {
  upstream_pool cold({}, 1);
  cold.on_announcement(at_ms(0), announcement(1));
  cold.tick(at_ms(0));
  for (std::uint32_t completed = 0; completed < 12; ++completed) {
    BOOST_TEST(cold.usable_slots(at_ms(1), service) == std::min(3U, 1 + completed / 4));
    const auto slot = cold.acquire(at_ms(1), service);
    cold.release(at_ms(1), *slot, call_result::completed, call_duration);
  }
}

// Guards against false reports that override the results of this host's calls (docs/design.md
// R19).
BOOST_AUTO_TEST_CASE(call_results_override_probes_and_reports) {
  auto unhealthy = announcement(1);
  unhealthy.is_reported_unhealthy = true;
  renew(0, unhealthy);
  renew(0, announcement(2));
  BOOST_TEST(pool.usable_slots(at_ms(1), service) == 2U);
  for (int n = 0; n < 6; ++n)
    call(2, call_result::completed);
  BOOST_TEST(pool.usable_slots(at_ms(3), service) == 6U);
  const auto view = pool.upstreams(at_ms(3));
  BOOST_TEST(view.at(0).state == "serving");
}

// Guards against further calls to an upstream that accepts calls and fails them all.
BOOST_AUTO_TEST_CASE(consecutive_failures_make_upstream_unusable) {
  renew(0, announcement(1));
  renew(0, announcement(2));
  for (int n = 0; n < 3; ++n) {
    const auto first = pool.acquire(at_ms(1), service);
    const auto second = pool.acquire(at_ms(1), service);
    for (const auto& slot : {*first, *second})
      pool.release(at_ms(1), slot,
                   slot.incarnation == incarnation_id{1} ? call_result::failed
                                                         : call_result::completed,
                   call_duration);
  }
  for (int n = 0; n < 3; ++n)
    BOOST_TEST((pool.acquire(at_ms(2), service)->incarnation == incarnation_id{2}));
  BOOST_TEST(!pool.acquire(at_ms(2), service).has_value());
}

// Guards against an outage caused by wrong health observations of nearly all upstreams.
BOOST_AUTO_TEST_CASE(health_is_ignored_when_nearly_all_look_unhealthy) {
  for (std::uint64_t id = 1; id <= 5; ++id) {
    renew(0, announcement(id, 1));
    const auto connection = static_cast<std::uint64_t>(id);
    if (id != 5)
      pool.on_probe_result(at_ms(1), incarnation_id{id}, connection, probe_result::unhealthy);
  }
  BOOST_TEST(pool.usable_slots(at_ms(2), service) == 5U);
}

// Guards against calls that hang on a connection without responses (docs/design.md R20).
BOOST_AUTO_TEST_CASE(unresponsive_connection_is_replaced_after_two_probes) {
  renew(0, announcement(1));
  std::optional<connection_action> replaced;
  std::int64_t ms = 0;
  for (; ms < 5'000 && !replaced; ms += 50) {
    if (ms % 500 == 0) pool.on_announcement(at_ms(ms), announcement(1));
    for (const auto& action : pool.tick(at_ms(ms)))
      if (action.action == connection_action::kind::replace) replaced = action;
  }
  BOOST_REQUIRE(replaced.has_value());
  BOOST_TEST(ms <= 2'600);
  BOOST_TEST(replaced->connection != replaced->replaced);
}

// Guards against the replacement of a connection because a call on it is slow.
BOOST_AUTO_TEST_CASE(answered_probes_keep_the_connection) {
  renew(0, announcement(1));
  for (std::int64_t ms = 0; ms < 20'000; ms += 50) {
    if (ms % 500 == 0) pool.on_announcement(at_ms(ms), announcement(1));
    for (const auto& action : pool.tick(at_ms(ms))) {
      BOOST_TEST((action.action != connection_action::kind::replace));
      pool.on_probe_result(at_ms(ms + 10), action.incarnation, action.connection,
                           probe_result::healthy);
    }
  }
}

// Guards against slots that leak or are counted twice in any order of events.
BOOST_AUTO_TEST_CASE(slots_are_counted_exactly) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    random_engine engine(seed);
    upstream_pool random_pool(fast_warmup(), seed);
    std::vector<upstream_slot> acquired;
    std::int64_t ms = 0;
    for (int n = 0; n < 400; ++n) {
      ms += static_cast<std::int64_t>(engine() % 200);
      const auto id = 1 + engine() % 4;
      if (engine() % 2 == 0) {
        auto renewal = announcement(id);
        renewal.is_leaving = engine() % 50 == 0;
        renewal.address.port = static_cast<std::uint16_t>(1 + engine() % 3);
        random_pool.on_announcement(at_ms(ms), renewal);
      }
      random_pool.tick(at_ms(ms));
      if (const auto slot = random_pool.acquire(at_ms(ms), service)) acquired.push_back(*slot);
      if (!acquired.empty() && engine() % 2 == 0) {
        std::swap(acquired[engine() % acquired.size()], acquired.back());
        random_pool.release(at_ms(ms), acquired.back(), static_cast<call_result>(engine() % 5),
                            call_duration);
        acquired.pop_back();
      }
      BOOST_REQUIRE_EQUAL(random_pool.outstanding(service), acquired.size());
      for (const auto& view : random_pool.upstreams(at_ms(ms)))
        BOOST_REQUIRE_LE(view.outstanding, view.slots);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
