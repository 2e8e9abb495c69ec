#include "zinniarelay/flow/upstream_directory.h"

#include "flow_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace zinnia {
namespace {

using support::at;
using support::report_of;
using state = upstream_report::state;
using origin = upstream_directory::origin;
using merge_result = upstream_directory::merge_result;

upstream_report draining(upstream_report it, std::uint64_t sequence) {
  it.condition = state::draining;
  it.sequence = sequence;
  return it;
}

BOOST_AUTO_TEST_SUITE(upstream_directory_test)

// Guards against an upstream that returns to service because its reports overtake
// each other.
BOOST_AUTO_TEST_CASE(draining_never_reverts) {
  upstream_directory directory;
  auto ready = report_of("i-1", 80);
  directory.merge(at({}), draining(ready, 5), origin::upstream);
  ready.sequence = 9;
  directory.merge(at({}), ready, origin::host);
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::draining));
  BOOST_TEST(directory.find_id("i-1")->report.sequence == 9U);
}

// Guards against a drain that is lost because a refresh of a later report came first.
BOOST_AUTO_TEST_CASE(drain_after_a_later_refresh_holds) {
  upstream_directory directory;
  const auto ready = report_of("i-1", 80);
  directory.merge(at({}), ready, origin::upstream);
  directory.merge(at({}), ready.incarnation(), 7);
  BOOST_TEST((directory.merge(at({}), draining(ready, 5), origin::host) == merge_result::changed));
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::draining));
}

// Guards against a late report of an incarnation that crashed, after another one
// has started under its id.
BOOST_AUTO_TEST_CASE(late_report_of_an_earlier_incarnation_is_gone) {
  upstream_directory directory;
  auto later = report_of("i-1", 80);
  later.started_ms = 2'000;
  directory.merge(at({}), later, origin::upstream);
  auto earlier = report_of("i-1", 80);
  earlier.sequence = 50;
  directory.merge(at({}), earlier, origin::host);
  BOOST_TEST((directory.find(earlier.incarnation())->report.condition == state::gone));
  BOOST_TEST((directory.find_id("i-1")->report == later));
}

// Guards against flows sent to the former holder of an address that was reused.
BOOST_AUTO_TEST_CASE(new_holder_of_an_address_ends_the_former) {
  upstream_directory directory;
  const auto former = report_of("i-1", 80);
  auto next = report_of("i-2", 80);
  next.started_ms = 9'000;
  next.service = "catalogue";
  directory.merge(at({}), former, origin::upstream);
  directory.merge(at({}), next, origin::upstream);
  BOOST_TEST((directory.find_id("i-1")->report.condition == state::gone));
  BOOST_TEST((directory.find_id("i-2")->report.condition == state::ready));
}

// Guards against hosts that hold different tables because news reached them in
// different orders.
BOOST_AUTO_TEST_CASE(order_of_news_does_not_matter) {
  std::vector<upstream_report> reports;
  for (std::uint64_t started = 1'000; started <= 3'000; started += 1'000)
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
      auto it = report_of("i-1", static_cast<std::uint16_t>(80 + started / 2'000));
      it.started_ms = started;
      it.sequence = sequence;
      if (sequence == 4) it.condition = started == 3'000 ? state::draining : state::gone;
      reports.push_back(it);
    }
  random_engine engine(7);
  for (int round = 0; round < 200; ++round) {
    std::shuffle(reports.begin(), reports.end(), engine);
    upstream_directory directory;
    for (const auto& it : reports)
      directory.merge(at({}), it, origin::host);
    const auto& current = directory.find_id("i-1")->report;
    BOOST_REQUIRE(current.started_ms == 3'000U);
    BOOST_REQUIRE((current.condition == state::draining));
    BOOST_REQUIRE(current.sequence == 4U);
  }
}

// Guards against news that a host misses or that is sent to it without end.
BOOST_AUTO_TEST_CASE(news_since_a_position_is_complete_and_ends) {
  upstream_directory source;
  upstream_directory copy;
  std::uint64_t position = 0;
  auto report = report_of("i-1", 80);
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    report.sequence = sequence;
    source.merge(at({}), report, origin::upstream);
    const auto news = source.news_since(position);
    BOOST_TEST(news.reports_size() == (sequence == 1 ? 1 : 0));
    copy.merge(at({}), news);
    position = source.position();
  }
  BOOST_TEST((copy.find_id("i-1")->report == report));
  BOOST_TEST(source.news_since(position).refreshed_size() == 0);
}

// Guards against a drain that dies with the control host that took it: other hosts
// pass changes on, but not the refreshes of upstreams that report elsewhere.
BOOST_AUTO_TEST_CASE(changes_are_passed_on_and_refreshes_are_not) {
  upstream_directory other;
  const auto ready = report_of("i-1", 80);
  other.merge(at({}), ready, origin::host);
  BOOST_TEST(other.own_news_since(0).reports_size() == 1);
  const auto position = other.position();
  other.merge(at({}), ready.incarnation(), 2);
  BOOST_TEST(other.own_news_since(position).refreshed_size() == 0);
  other.merge(at({}), draining(ready, 3), origin::host);
  BOOST_TEST(other.own_news_since(position).reports_size() == 1);
}

// Guards against a table that grows with each replaced upstream.
BOOST_AUTO_TEST_CASE(silent_incarnations_are_forgotten) {
  upstream_directory directory(milliseconds(1'000));
  for (int n = 0; n < 50; ++n)
    directory.merge(at(milliseconds(n)), report_of("i-" + std::to_string(n), 80), origin::upstream);
  directory.forget_old(at(milliseconds(1'020)));
  BOOST_TEST(directory.size() < 50U);
  directory.forget_old(at(milliseconds(5'000)));
  BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
