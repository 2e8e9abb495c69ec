#include "zinniarelay/flow/spillover_policy.h"

#include "support/zone_flow_model.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::zone_flow_model;
using zone = zone_flow_model::zone;
using placement = zone_flow_model::placement;

constexpr milliseconds settling{20'000};
constexpr milliseconds measured{20'000};
// Capacity of one upstream of the model: two slots and 100 ms for each flow.
constexpr double upstream_flows_per_s = 20;

zone zone_of(int upstreams, double load) {
  zone out;
  out.upstreams = upstreams;
  out.flows_per_s = load * upstreams * upstream_flows_per_s;
  return out;
}

zone_flow_model model_of(std::vector<zone> zones, milliseconds price = milliseconds(0)) {
  zone_flow_model::options settings;
  settings.price = price;
  return {std::move(zones), placement::adaptive, settings};
}

wire::zone_load load_of(const std::string& from, const std::string& to, std::uint32_t open,
                        std::uint32_t rate) {
  wire::zone_load out;
  out.set_service("s");
  out.set_caller_zone(from);
  out.set_upstream_zone(to);
  out.set_open_flows(open);
  out.set_opened_per_s(rate);
  out.set_hosts(10);
  out.set_age_ms(500);
  return out;
}

/// Zone a is offered 0.9 of its capacity and zone b 0.3: 20 slots each, 100 ms for each flow.
std::vector<wire::zone_load> uneven_loads() {
  return {load_of("a", "a", 95, 180), load_of("b", "b", 7, 60)};
}

spillover_policy::zone_capacities two_zones() {
  return {{"a", {20, std::nullopt, true}}, {"b", {20, 4.0, true}}};
}

/// Returns a policy of zone a that has moved a share of its flows to zone b.
spillover_policy active_policy() {
  spillover_policy out({"a", milliseconds(0)});
  for (int n = 0; n < 10; ++n)
    out.update("s", uneven_loads(), two_zones());
  return out;
}

BOOST_AUTO_TEST_SUITE(spillover_policy_test)

// Load pattern: even demand at 0.5 of capacity. Guards against flows that leave without need.
BOOST_AUTO_TEST_CASE(even_demand_stays_in_its_zone) {
  auto model = model_of({zone_of(12, 0.5), zone_of(12, 0.5), zone_of(12, 0.5)});
  model.run(settling);
  const auto seen = model.run(measured);
  for (int n = 0; n < 3; ++n)
    BOOST_TEST(seen[static_cast<std::size_t>(n)].left(n) < 0.02);
}

// Load pattern: one of three zones has twice its share of the demand. Guards against callers that
// fail in front of a full zone while other zones are idle, and against hosts of one zone that
// decide differently.
BOOST_AUTO_TEST_CASE(zone_with_twice_its_share_of_demand_sends_its_excess) {
  auto model = model_of({zone_of(12, 1.2), zone_of(12, 0.5), zone_of(12, 0.5)});
  model.run(settling);
  const auto seen = model.run(measured);
  BOOST_TEST(seen[0].left(0) > 0.25);
  BOOST_TEST(seen[0].left(0) < 0.5);
  BOOST_TEST(seen[0].failed < seen[0].total() / 1'000);
  BOOST_TEST(seen[1].left(1) < 0.02);
  for (int host = 1; host < 10; ++host)
    BOOST_TEST(std::abs(model.share(0, 1, host) - model.share(0, 1, 0)) < 0.04);
}

// Load pattern: a zone with a third of the upstreams, and one whose upstreams have half the speed.
// Guards against shares that count upstreams instead of what they can serve.
BOOST_AUTO_TEST_CASE(fewer_or_slower_upstreams_count_as_less_capacity) {
  auto few = zone_of(4, 1.2);
  auto slow = zone_of(12, 0.6);
  slow.speed = 0.5;
  for (const auto& it : {few, slow}) {
    auto model = model_of({it, zone_of(12, 0.4), zone_of(12, 0.4)});
    model.run(settling);
    const auto seen = model.run(measured);
    BOOST_TEST(seen[0].left(0) > 0.25);
    BOOST_TEST(seen[0].failed < seen[0].total() / 500);
  }
}

// Load pattern: half of the callers of a zone move to another. Guards against flows that do not
// return to a zone with spare capacity, and against hosts that react only after minutes.
BOOST_AUTO_TEST_CASE(shares_follow_callers_that_move) {
  auto model = model_of({zone_of(12, 1.1), zone_of(12, 0.4), zone_of(12, 0.4)});
  model.run(settling);
  BOOST_TEST(model.run(measured)[0].left(0) > 0.2);
  std::swap(model.zones[0].flows_per_s, model.zones[1].flows_per_s);
  model.run(settling);
  const auto seen = model.run(measured);
  BOOST_TEST(seen[0].left(0) < 0.02);
  BOOST_TEST(seen[1].left(1) > 0.2);
}

// Load pattern: all upstreams of a zone are cold and run at half of their speed. Guards against
// cold upstreams that get as much as warm ones, and against flows that stay away afterwards.
BOOST_AUTO_TEST_CASE(cold_zone_sends_flows_until_it_is_warm) {
  auto cold = zone_of(12, 0.6);
  cold.speed = 0.5;
  cold.is_reported_warm = false;
  auto model = model_of({cold, zone_of(12, 0.4), zone_of(12, 0.4)});
  model.run(settling);
  const auto seen = model.run(measured);
  BOOST_TEST(seen[0].left(0) > 0.25);
  BOOST_TEST(seen[0].failed < seen[0].total() / 500);
  model.zones[0].speed = 1;
  model.zones[0].flows_per_s *= 0.8;
  model.report_warmup(0, milliseconds(0));
  model.run(settling);
  BOOST_TEST(model.run(measured)[0].left(0) < 0.05);
}

// Load pattern: two zones are short at once, one by more. Guards against two zones that both fill
// the spare capacity of the third.
BOOST_AUTO_TEST_CASE(two_short_zones_divide_the_spare_capacity) {
  auto model = model_of({zone_of(12, 1.2), zone_of(12, 0.9), zone_of(12, 0.2)});
  model.run(settling);
  const auto seen = model.run(measured);
  BOOST_TEST(seen[0].share_to(2) > seen[1].share_to(2));
  BOOST_TEST(seen[1].share_to(2) > 0.05);
  for (const auto& it : seen)
    BOOST_TEST(it.failed < it.total() / 200);
  const auto offered = seen[0].opened.at(2) + seen[1].opened.at(2) + seen[2].opened.at(2);
  BOOST_TEST(offered < 0.9 * 12 * upstream_flows_per_s * measured.count() / 1'000);
}

// Load pattern: every zone is offered more than it can serve, one of them by far. Guards against
// flows that leave because the upstreams of a full zone are suspect, and displace others.
BOOST_AUTO_TEST_CASE(full_zones_keep_their_excess) {
  auto model = model_of({zone_of(6, 2.3), zone_of(12, 1.15), zone_of(12, 1.15)});
  model.run(settling);
  BOOST_TEST(model.run(measured)[0].left(0) < 0.02);
}

// Load pattern: a zone is cut off while it takes spillover. Guards against flows into the cut.
BOOST_AUTO_TEST_CASE(zone_that_is_cut_off_gets_nothing) {
  auto model = model_of({zone_of(12, 1.0), zone_of(12, 0.3), zone_of(12, 0.3)});
  model.run(settling);
  BOOST_TEST(model.run(measured)[0].share_to(1) > 0.08);
  model.zones[1].is_cut_off = true;
  model.zones[1].has_figures = false;
  model.run(milliseconds(4'000));
  model.run(measured);
  for (int host = 0; host < 10; ++host)
    BOOST_TEST(model.share(0, 1, host) == 0);
  BOOST_TEST(model.share(0, 2) > 0.1);
}

// Load pattern: constant uneven demand. Guards against shares that oscillate, because all hosts
// react to figures that are up to a second old, and against a zone with spare capacity that starts
// spillover on the first figures after a start.
BOOST_AUTO_TEST_CASE(shares_settle) {
  auto model = model_of({zone_of(12, 1.2), zone_of(12, 0.4), zone_of(12, 0.4)});
  model.run(settling);
  double low = 1;
  double high = 0;
  for (int n = 0; n < 40; ++n) {
    model.run(milliseconds(1'000));
    const auto sum = model.share(0, 1) + model.share(0, 2);
    low = std::min(low, sum);
    high = std::max(high, sum);
  }
  BOOST_TEST(high - low < 0.12);
  BOOST_TEST(model.starts <= 10U);
}

// Guards against all hosts that move their callers to an idle zone at once.
BOOST_AUTO_TEST_CASE(share_grows_by_bounded_steps) {
  spillover_policy policy({"a", milliseconds(0)});
  double previous = 0;
  for (int n = 0; n < 15; ++n) {
    policy.update("s", uneven_loads(), two_zones());
    const auto& shares = *policy.shares_of("s");
    const auto share = shares.count("b") > 0 ? shares.at("b") : 0;
    // The first sums after a start cover less than a second.
    if (n < 4) BOOST_TEST(share == 0);
    BOOST_TEST(share >= previous);
    BOOST_TEST(share <= previous + 0.1 + 1e-9);
    previous = share;
  }
  BOOST_TEST(previous > 0.15);
}

// Guards against starts and ends that alternate with small changes of demand.
BOOST_AUTO_TEST_CASE(spillover_starts_and_stops_at_different_utilizations) {
  const auto at = [](spillover_policy& policy, double utilization) {
    // Open flows by the wait model, so that the estimated service time stays 100 ms.
    const auto open = 20 * utilization / (1 - utilization * utilization);
    const auto rate = static_cast<std::uint32_t>(200 * utilization);
    const std::vector loads{load_of("a", "a", static_cast<std::uint32_t>(open), rate),
                            load_of("b", "b", 2, 20)};
    return policy.update("s", loads, two_zones());
  };
  spillover_policy policy({"a", milliseconds(0)});
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(!at(policy, 0.55));
  BOOST_TEST(at(policy, 0.65).value().is_start);
  BOOST_TEST(!at(policy, 0.55));
  BOOST_TEST(!at(policy, 0.45).value().is_start);
}

// Guards against flows to a zone that is cut off, closed to new flows, without usable upstreams, or
// busier than this one.
BOOST_AUTO_TEST_CASE(unusable_zone_loses_its_share_at_once) {
  const auto share_after = [](const std::vector<wire::zone_load>& loads,
                              const spillover_policy::zone_capacities& zones) {
    auto policy = active_policy();
    policy.update("s", loads, zones);
    return policy.shares_of("s")->count("b");
  };
  BOOST_TEST(share_after(uneven_loads(), two_zones()) == 1U);
  auto closed = two_zones();
  closed["b"].may_take_flows = false;
  BOOST_TEST(share_after(uneven_loads(), closed) == 0U);
  auto empty = two_zones();
  empty["b"].slots = 0;
  BOOST_TEST(share_after(uneven_loads(), empty) == 0U);
  BOOST_TEST(share_after({uneven_loads()[0]}, two_zones()) == 0U);
  spillover_policy policy({"b", milliseconds(0)});
  for (int n = 0; n < 10; ++n)
    policy.update("s", uneven_loads(), two_zones());
  BOOST_TEST(policy.shares_of("s")->empty());
}

// Guards against stale data that are worse than none: figures older than 3 s decide nothing.
BOOST_AUTO_TEST_CASE(stale_figures_are_not_used) {
  auto policy = active_policy();
  BOOST_TEST(policy.shares_of("s")->at("b") > 0);
  auto loads = uneven_loads();
  loads[1].set_age_ms(3'001);
  policy.update("s", loads, two_zones());
  BOOST_TEST(policy.shares_of("s")->count("b") == 0U);
  loads = uneven_loads();
  for (auto& it : loads)
    it.set_age_ms(it.age_ms() + 2'501);
  policy.update("s", loads, two_zones());
  BOOST_TEST((policy.shares_of("s") == nullptr));
}

// Guards against flows that leave although the operator's price exceeds the wait that they avoid.
BOOST_AUTO_TEST_CASE(price_keeps_flows_in_their_zone) {
  const auto left_at = [](milliseconds price) {
    auto model = model_of({zone_of(12, 0.8), zone_of(12, 0.4), zone_of(12, 0.4)}, price);
    model.run(settling);
    return model.run(measured)[0].left(0);
  };
  const auto free = left_at(milliseconds(0));
  BOOST_TEST(free > 0.1);
  BOOST_TEST(left_at(milliseconds(60)) < free / 2);
  BOOST_TEST(left_at(milliseconds(1'000)) < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
