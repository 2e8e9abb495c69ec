#include "zinniarelay/flow/upstream_directory.h"

#include "flow_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace zinnia {
namespace {

using support::report_of;
using support::time_at;
using support::update_of;
using state = upstream_report::state;
using origin = upstream_directory::origin;
using merge_result = upstream_directory::merge_result;

upstream_report draining(upstream_report report, std::uint64_t sequence) {
  report.condition = state::draining;
  report.sequence = sequence;
  return report;
}

BOOST_AUTO_TEST_SUITE(upstream_directory_test)

// Guards against a draining upstream that returns to service because its reports arrive in
// another order.
BOOST_AUTO_TEST_CASE(draining_never_reverts) {
  upstream_directory directory;
  auto ready = report_of("i-1", 80);
  directory.merge(time_at({}), draining(ready, 5), origin::upstream);
  ready.sequence = 9;
  directory.merge(time_at({}), ready, origin::host);
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::draining));
  BOOST_TEST(directory.find_id("i-1")->report.sequence == 9U);
}

// Guards against a drain that is lost because the refresh for a later report arrives first.
BOOST_AUTO_TEST_CASE(drain_is_merged_after_a_later_refresh) {
  upstream_directory directory;
  const auto ready = report_of("i-1", 80);
  directory.merge(time_at({}), ready, origin::upstream);
  directory.merge(time_at({}), ready.incarnation(), 7);
  BOOST_TEST(
      (directory.merge(time_at({}), draining(ready, 5), origin::host) == merge_result::changed));
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::draining));
}

// Guards against flows to an incarnation that crashed: a late report of it arrives after
// another incarnation has started with its id.
BOOST_AUTO_TEST_CASE(late_report_of_earlier_incarnation_is_merged_as_gone) {
  upstream_directory directory;
  auto later = report_of("i-1", 80);
  later.started_ms = 2'000;
  directory.merge(time_at({}), later, origin::upstream);
  auto earlier = report_of("i-1", 80);
  earlier.sequence = 50;
  directory.merge(time_at({}), earlier, origin::host);
  BOOST_TEST((directory.find(earlier.incarnation())->report.condition == state::gone));
  BOOST_TEST((directory.find_id("i-1")->report == later));
}

// Guards against flows to the previous upstream of an address that another upstream reuses.
BOOST_AUTO_TEST_CASE(reused_address_marks_previous_upstream_as_gone) {
  upstream_directory directory;
  const auto previous = report_of("i-1", 80);
  auto next = report_of("i-2", 80);
  next.started_ms = 9'000;
  next.service = "catalogue";
  directory.merge(time_at({}), previous, origin::upstream);
  directory.merge(time_at({}), next, origin::upstream);
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::gone));
  BOOST_TEST((directory.find_id("i-2")->report.condition == state::ready));
}

// Guards against different tables on hosts that received the same reports in different
// orders.
BOOST_AUTO_TEST_CASE(order_of_reports_does_not_matter) {
  std::vector<upstream_report> reports;
  for (std::uint64_t started = 1'000; started <= 3'000; started += 1'000)
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
      auto report = report_of("i-1", static_cast<std::uint16_t>(80 + started / 2'000));
      report.started_ms = started;
      report.sequence = sequence;
      if (sequence == 4) report.condition = started == 3'000 ? state::draining : state::gone;
      reports.push_back(report);
    }
  random_engine engine(7);
  for (int round = 0; round < 200; ++round) {
    std::shuffle(reports.begin(), reports.end(), engine);
    upstream_directory directory;
    for (const auto& it : reports)
      directory.merge(time_at({}), it, origin::host);
    const auto& current = directory.find_id("i-1")->report;
    BOOST_REQUIRE(current.started_ms == 3'000U);
    BOOST_REQUIRE((current.condition == state::draining));
    BOOST_REQUIRE(current.sequence == 4U);
  }
}

// Guards against updates that a host never receives, and against updates that are sent to it
// again and again.
BOOST_AUTO_TEST_CASE(updates_since_a_position_are_complete_and_sent_once) {
  upstream_directory source;
  upstream_directory copy;
  std::uint64_t position = 0;
  auto report = report_of("i-1", 80);
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    report.sequence = sequence;
    source.merge(time_at({}), report, origin::upstream);
    const auto update = source.updates_since(position);
    BOOST_TEST(update.reports_size() == (sequence == 1 ? 1 : 0));
    copy.merge(time_at({}), update);
    position = source.position();
  }
  BOOST_TEST((copy.find_id("i-1")->report == report));
  BOOST_TEST(source.updates_since(position).refreshed_size() == 0);
}

// Guards against a drain that is lost because the control host that received it crashes: other
// hosts replicate changes, but not the refreshes of upstreams that report elsewhere.
BOOST_AUTO_TEST_CASE(changes_are_replicated_and_refreshes_are_not) {
  upstream_directory other;
  const auto ready = report_of("i-1", 80);
  other.merge(time_at({}), ready, origin::host);
  BOOST_TEST(other.local_updates_since(0).reports_size() == 1);
  const auto position = other.position();
  other.merge(time_at({}), ready.incarnation(), 2);
  BOOST_TEST(other.local_updates_since(position).refreshed_size() == 0);
  other.merge(time_at({}), draining(ready, 3), origin::host);
  BOOST_TEST(other.local_updates_since(position).reports_size() == 1);
}

// Guards against an upstream that has crashed and still counts as reporting on entry hosts, and
// against one that reports and counts as overdue.
BOOST_AUTO_TEST_CASE(account_distinguishes_overdue_upstreams) {
  constexpr milliseconds overdue_after{4'000};
  upstream_directory control_host;
  upstream_directory entry_host;
  const auto silent = report_of("i-1", 81);
  auto reporting = report_of("i-2", 82, "b");
  control_host.merge(time_at({}), silent, origin::upstream);
  control_host.merge(time_at({}), reporting, origin::upstream);
  entry_host.begin_list();
  entry_host.merge(time_at({}), control_host.updates_since(0));
  reporting.sequence = 2;
  control_host.merge(time_at(milliseconds(4'000)), reporting, origin::upstream);
  const auto now = time_at(milliseconds(4'500));
  const auto account = control_host.liveness(now, overdue_after, 10);
  BOOST_TEST_REQUIRE(account.has_value());
  BOOST_TEST(account->overdue_size() == 1);
  BOOST_TEST(account->zones_size() == 2);
  BOOST_TEST(account->zones(0).age_ms() == 4'500U);
  BOOST_TEST(account->zones(1).age_ms() == 500U);
  entry_host.record_liveness(now, *account, overdue_after);
  BOOST_TEST((now - entry_host.find_id("i-1")->last_report > overdue_after));
  BOOST_TEST((entry_host.find_id("i-2")->last_report == now));
  BOOST_TEST(!control_host.liveness(now, overdue_after, 0).has_value());
}

// Guards against an upstream that is never removed from an entry host, because the control host of
// its later updates does not know it and so does not report it as overdue.
BOOST_AUTO_TEST_CASE(account_applies_to_the_last_list_only) {
  upstream_directory entry_host;
  entry_host.begin_list();
  entry_host.merge(time_at({}), update_of({report_of("i-1", 81), report_of("i-2", 82)}));
  entry_host.begin_list();
  entry_host.merge(time_at({}), update_of({report_of("i-2", 82)}));
  entry_host.record_liveness(time_at(milliseconds(5'000)), {}, milliseconds(4'000));
  BOOST_TEST((entry_host.find_id("i-1")->last_report == time_at({})));
  BOOST_TEST((entry_host.find_id("i-2")->last_report == time_at(milliseconds(5'000))));
}

// Guards against a crashed upstream that gets new flows again, because the control host has removed
// it and its account no longer lists it as overdue.
BOOST_AUTO_TEST_CASE(removed_upstream_does_not_count_as_reporting) {
  constexpr milliseconds overdue_after{4'000};
  constexpr milliseconds retention{10'000};
  upstream_directory control_host(retention);
  upstream_directory entry_host(retention);
  const auto crashed = report_of("i-1", 81);
  control_host.merge(time_at({}), crashed, origin::upstream);
  entry_host.begin_list();
  entry_host.merge(time_at({}), control_host.updates_since(0));
  const auto removed = time_at(retention + milliseconds(100));
  control_host.remove_expired(removed);
  BOOST_TEST_REQUIRE(control_host.find_id("i-1") == nullptr);
  entry_host.record_liveness(removed, control_host.liveness(removed, overdue_after, 10).value(),
                             overdue_after);
  BOOST_TEST((removed - entry_host.find_id("i-1")->last_report > overdue_after));

  auto returned = crashed;
  returned.sequence = 2;
  control_host.merge(removed, returned, origin::upstream);
  BOOST_TEST(control_host.liveness(removed, overdue_after, 10)->overdue_size() == 0);
}

// Guards against an address that stays with an incarnation which moved and was removed: the next
// upstream at this address could not be added.
BOOST_AUTO_TEST_CASE(former_address_of_a_removed_upstream_is_free) {
  upstream_directory directory(milliseconds(1'000));
  auto moved = report_of("i-1", 81);
  directory.merge(time_at({}), moved, origin::upstream);
  moved.address.port = 82;
  moved.sequence = 2;
  directory.merge(time_at({}), moved, origin::upstream);
  const auto later = time_at(milliseconds(2'000));
  directory.remove_expired(later);
  BOOST_TEST((directory.merge(later, report_of("i-2", 81), origin::upstream) ==
              upstream_directory::merge_result::changed));
}

// Guards against a report without a start time, which names no incarnation.
BOOST_AUTO_TEST_CASE(report_without_a_start_time_is_malformed) {
  auto message = report_of("i-1", 81).to_wire();
  message.clear_started_ms();
  BOOST_TEST(!upstream_report::from_wire(message).has_value());
}

// Guards against an odd report with a start in the far future, which would replace the upstream
// that runs under its id or address.
BOOST_AUTO_TEST_CASE(start_in_the_far_future_is_not_plausible) {
  auto report = report_of("i-1", 80);
  report.started_ms = 1'700'000'000'000;
  BOOST_TEST(report.has_plausible_start(report.started_ms));
  BOOST_TEST(report.has_plausible_start(report.started_ms - 60'000));
  BOOST_TEST(!report.has_plausible_start(report.started_ms - 7'200'000));
}

// Guards against a table that grows with each replaced upstream.
BOOST_AUTO_TEST_CASE(incarnations_without_reports_are_removed) {
  upstream_directory directory(milliseconds(1'000));
  for (int n = 0; n < 50; ++n)
    directory.merge(time_at(milliseconds(n)), report_of("i-" + std::to_string(n), 80),
                    origin::upstream);
  directory.remove_expired(time_at(milliseconds(1'020)));
  BOOST_TEST(directory.size() < 50U);
  directory.remove_expired(time_at(milliseconds(5'000)));
  BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
