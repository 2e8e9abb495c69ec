#include "zinniarelay/flow/flow_host.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using namespace support;

enum class figures { absent, present };

/// Returns an update with three upstreams in each of zones a and b. With figures, zone a is offered
/// 1.5 of its capacity and zone b a third.
wire::news_reply update_with(figures loads) {
  wire::news_reply out;
  *out.mutable_declaration() = declaration_of(1);
  std::vector<upstream_report> reports;
  for (const auto* zone : {"a", "b"})
    for (int n = 1; n <= 3; ++n)
      reports.push_back(report_of(zone + std::to_string(n),
                                  static_cast<std::uint16_t>((*zone - 'a') * 100 + n), zone));
  *out.mutable_upstreams() = update_of(reports);
  if (loads == figures::absent) return out;
  const auto add = [&out](const char* zone, std::uint32_t open, std::uint32_t rate) {
    auto& load = *out.add_loads();
    load.set_service("registry");
    load.set_caller_zone(zone);
    load.set_upstream_zone(zone);
    load.set_open_flows(open);
    load.set_opened_per_s(rate);
  };
  add("a", 45, 90);
  add("b", 3, 30);
  return out;
}

/// Opens a flow every 10 ms for 10 s, with an update every 500 ms, and returns the destinations.
std::vector<endpoint> destinations(zone_spillover spillover, figures loads) {
  flow_host_settings settings;
  settings.router.selection.zone = "a";
  settings.router.selection.spillover = spillover;
  flow_host host(settings, random_engine(1), time_at({}));
  std::vector<endpoint> out;
  for (std::uint16_t n = 0; n < 1'000; ++n) {
    const auto now = time_at(milliseconds(10 * n));
    if (n % 50 == 0) host.apply(now, update_with(loads), now);
    host.tick(now);
    const auto decision = host.handle(now, opening_packet(n), {});
    out.push_back(decision.destination);
    host.handle(now, ending_packet(n, decision.route_tag), {});
  }
  return out;
}

std::size_t count_of_zone_b(const std::vector<endpoint>& list) {
  return static_cast<std::size_t>(
      std::count_if(list.begin(), list.end(), [](const auto& it) { return it.port > 100; }));
}

BOOST_AUTO_TEST_SUITE(spillover_selection_test)

// Guards against decisions that change for deployments which did not ask for spillover.
BOOST_AUTO_TEST_CASE(figures_change_nothing_without_the_setting) {
  BOOST_TEST((destinations(zone_spillover::off, figures::present) ==
              destinations(zone_spillover::off, figures::absent)));
}

// Load pattern: no control host sends sums, or all are of an earlier release. Guards against
// spillover that decides worse than the present rule then.
BOOST_AUTO_TEST_CASE(present_rule_decides_without_figures) {
  BOOST_TEST((destinations(zone_spillover::adaptive, figures::absent) ==
              destinations(zone_spillover::off, figures::absent)));
}

// Load pattern: the zone is short, while this host's own few flows leave its upstreams free in its
// view. Guards against sums that do not reach the selection.
BOOST_AUTO_TEST_CASE(figures_of_an_update_lead_to_spillover) {
  BOOST_TEST(count_of_zone_b(destinations(zone_spillover::off, figures::present)) == 0U);
  BOOST_TEST(count_of_zone_b(destinations(zone_spillover::adaptive, figures::present)) > 100U);
}

// Load pattern: no upstream of the zone answers, and their reports still count as recent. Guards
// against flows that are lost because the figures, in which they look like load, keep them there.
BOOST_AUTO_TEST_CASE(later_copies_leave_a_zone_that_does_not_answer) {
  flow_host_settings settings;
  settings.router.selection.zone = "a";
  settings.router.selection.spillover = zone_spillover::adaptive;
  flow_host host(settings, random_engine(1), time_at({}));
  std::vector<endpoint> last;
  for (std::uint16_t n = 0; n < 100; ++n) {
    const auto now = time_at(milliseconds(10 * n));
    if (n % 50 == 0) host.apply(now, update_with(figures::present), now);
    host.tick(now);
    flow_decision decision;
    for (std::uint32_t copies = 0; copies < 3 && decision.other_zone == nullptr; ++copies)
      decision = host.handle(now, opening_packet(n, copies), {});
    if (decision.other_zone != nullptr) host.handle(now, flow_packet(n, decision.route_tag), {});
    last.push_back(decision.destination);
  }
  BOOST_TEST(count_of_zone_b(last) > 80U);
}

// Load pattern: a zone that takes spillover is cut off from this one, but not from the control
// hosts, so that its figures still arrive. Guards against flows that follow the shares into the
// cut.
BOOST_AUTO_TEST_CASE(zone_that_stops_answering_gets_no_flows) {
  flow_host_settings settings;
  settings.router.selection.zone = "a";
  settings.router.selection.spillover = zone_spillover::adaptive;
  flow_host host(settings, random_engine(1), time_at({}));
  int before = 0;
  int after = 0;
  for (std::uint16_t n = 0; n < 1'000; ++n) {
    const auto now = time_at(milliseconds(10 * n));
    const auto is_cut = n >= 700;
    if (n % 50 == 0) {
      auto update = update_with(figures::present);
      if (n > 0) update.clear_upstreams();
      host.apply(now, update, now);
    }
    host.tick(now);
    auto decision = host.handle(now, opening_packet(n), {});
    if (decision.other_zone != nullptr) ++(is_cut ? after : before);
    if (decision.other_zone != nullptr && is_cut)
      decision = host.handle(now, opening_packet(n, 1), {});
    host.handle(now, ending_packet(n, decision.route_tag), {});
    const auto& spillover = host.router().selector().spillover();
    if (n == 900) BOOST_TEST(spillover.shares_of("registry")->count("b") == 0U);
  }
  BOOST_TEST(before > 100);
  BOOST_TEST(after <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
