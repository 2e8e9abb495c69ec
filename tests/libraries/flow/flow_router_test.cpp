#include "zinniarelay/flow/flow_router.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace zinnia {
namespace {

using support::declaration_of;
using support::ending_packet;
using support::flow_packet;
using support::opening_packet;
using support::report_of;
using support::time_at;
using support::update_of;
using action = flow_decision::action_type;
using reason = flow_decision::reason_type;

flow_router router_of(std::uint64_t seed = 1) {
  flow_router_settings settings;
  settings.selection.zone = "a";
  return {settings, random_engine(seed)};
}

/// Returns a router with a confirmed declaration and upstreams i-1 to i-n in its zone.
flow_router serving_router(int upstreams, std::uint64_t seed = 1) {
  auto out = router_of(seed);
  out.apply(declaration_of(1));
  out.confirm();
  std::vector<upstream_report> reports;
  for (int n = 1; n <= upstreams; ++n)
    reports.push_back(report_of("i-" + std::to_string(n), static_cast<std::uint16_t>(80 + n)));
  out.merge_update(time_at({}), update_of(reports));
  return out;
}

BOOST_AUTO_TEST_SUITE(flow_router_test)

// Guards against flows that break when their packets move to another entry host.
BOOST_AUTO_TEST_CASE(any_host_routes_a_packet_by_its_tag) {
  auto first = serving_router(4, 1);
  auto second = serving_router(4, 2);
  for (std::uint16_t port = 1; port <= 100; ++port) {
    const auto opened = first.route(time_at({}), opening_packet(port));
    const auto routed = second.route(time_at({}), flow_packet(port, opened.route_tag));
    BOOST_REQUIRE((routed.action == action::forward));
    BOOST_REQUIRE((routed.destination == opened.destination));
    BOOST_REQUIRE(*routed.upstream_id == *opened.upstream_id);
  }
}

// Guards against forwarding to a wrong upstream, and against the reset of an open flow, when a
// host has no upstream with the packet's tag.
BOOST_AUTO_TEST_CASE(packet_with_unknown_tag_is_dropped) {
  auto router = serving_router(2);
  const auto decision = router.route(time_at({}), flow_packet(1, 0xDEAD));
  BOOST_TEST((decision.action == action::drop));
  BOOST_TEST((decision.reason == reason::unknown_tag));
}

// Guards against refused flows while an entry host that has just started receives the upstreams of
// other services first.
BOOST_AUTO_TEST_CASE(service_without_upstream_is_not_refused_before_the_list_is_complete) {
  auto router = router_of();
  router.apply(declaration_of(1));
  auto other = report_of("i-2", 82);
  other.service = "catalogue";
  router.merge_update(time_at({}), update_of({other}), flow_router::update_extent::partial);
  BOOST_TEST(!router.has_upstreams());
  BOOST_TEST((router.route(time_at({}), opening_packet(1)).action == action::hold));
  router.merge_update(time_at({}), update_of({report_of("i-1", 81)}));
  BOOST_TEST(router.has_upstreams());
  BOOST_TEST((router.route(time_at({}), opening_packet(1)).reason == reason::opened));
}

// Guards against new flows to a draining upstream, and against its open flows being routed
// elsewhere.
BOOST_AUTO_TEST_CASE(draining_upstream_keeps_open_flows_and_gets_no_new_ones) {
  auto router = serving_router(1);
  const auto opened = router.route(time_at({}), opening_packet(1));
  auto draining = report_of("i-1", 81);
  draining.sequence = 2;
  draining.condition = upstream_report::state::draining;
  router.merge_update(time_at({}), update_of({draining}));
  BOOST_TEST((router.route(time_at({}), opening_packet(2)).reason == reason::no_upstream));
  BOOST_TEST((router.route(time_at({}), flow_packet(1, opened.route_tag)).destination ==
              opened.destination));
  draining.condition = upstream_report::state::gone;
  router.merge_update(time_at({}), update_of({draining}));
  BOOST_TEST((router.route(time_at({}), flow_packet(1, opened.route_tag)).destination ==
              opened.destination));
}

// Guards against a draining upstream that gets a new flow because the caller reused a port, or
// because its opening packet was repeated (finding DRAIN of a hunt on psgca-relay, day
// hunt-3598-7).
BOOST_AUTO_TEST_CASE(reused_port_does_not_open_flow_on_draining_upstream) {
  for (const bool is_answered : {false, true}) {
    auto router = serving_router(2);
    const auto first = router.route(time_at({}), opening_packet(1));
    if (is_answered) router.route(time_at({}), flow_packet(1, first.route_tag));
    const auto n = static_cast<std::uint16_t>(first.destination.port - 80);
    auto draining = report_of("i-" + std::to_string(n), first.destination.port);
    draining.sequence = 2;
    draining.condition = upstream_report::state::draining;
    router.merge_update(time_at({}), update_of({draining}));
    const auto next = router.route(time_at(milliseconds(100)), opening_packet(1));
    BOOST_TEST((next.action == action::forward));
    BOOST_TEST((next.destination != first.destination));
  }
}

// Guards against the wrong reset of a flow after a start, when the declaration in force lacks
// a route that a newer declaration has.
BOOST_AUTO_TEST_CASE(unknown_route_is_reset_only_by_confirmed_declaration) {
  auto router = router_of();
  router.apply(declaration_of(1));
  auto unknown_route = opening_packet(2);
  unknown_route.destination.port = 8443;
  BOOST_TEST((router.route(time_at({}), unknown_route).action == action::hold));
  router.confirm();
  BOOST_TEST((router.route(time_at({}), unknown_route).reason == reason::no_route));
}

// Guards against a caller that waits until its deadline although no upstream or no route
// exists for its flow.
BOOST_AUTO_TEST_CASE(flow_without_upstream_or_route_is_reset) {
  auto router = serving_router(0);
  BOOST_TEST((router.route(time_at({}), opening_packet(1)).action == action::reset));
  auto unknown_route = opening_packet(1);
  unknown_route.destination.port = 444;
  BOOST_TEST((router.route(time_at({}), unknown_route).reason == reason::no_route));
}

// Guards against resets sent by a host that has not received a declaration yet, and against
// packets that are dropped although their flows can be served a moment later.
BOOST_AUTO_TEST_CASE(host_without_declaration_holds_packets) {
  auto router = router_of();
  BOOST_TEST((router.route(time_at({}), opening_packet(1)).action == action::hold));
  BOOST_TEST((router.route(time_at({}), flow_packet(1, 0xDEAD)).action == action::hold));
}

// Guards against a return to an older declaration that arrives late.
BOOST_AUTO_TEST_CASE(older_declaration_is_ignored) {
  auto router = serving_router(1);
  BOOST_TEST(router.apply(declaration_of(5)));
  auto older = declaration_of(4);
  older.clear_routes();
  BOOST_TEST(!router.apply(older));
  BOOST_TEST((router.route(time_at({}), opening_packet(1)).action == action::forward));
}

// Guards against a caller whose attempts all go to one crashed or full upstream. A later copy
// of the opening packet moves to another upstream; a network duplicate does not.
BOOST_AUTO_TEST_CASE(unanswered_opening_packet_moves_to_another_upstream) {
  auto router = serving_router(2);
  const auto first = router.route(time_at({}), opening_packet(1));
  const auto duplicate = router.route(time_at({}), opening_packet(1));
  BOOST_TEST((duplicate.destination == first.destination));
  const auto moved = router.route(time_at(milliseconds(200)), opening_packet(1, 1));
  BOOST_TEST((moved.reason == reason::moved));
  BOOST_TEST((moved.destination != first.destination));
}

// Guards against new flows to a crashed upstream during the time until its missing reports
// are noticed.
BOOST_AUTO_TEST_CASE(unresponsive_upstream_is_avoided_after_few_flows) {
  auto router = serving_router(4);
  const auto crashed = router.route(time_at({}), opening_packet(1)).destination;
  int sent = 0;
  std::uint16_t port = 10;
  for (int ms = 0; ms < 1'000; ms += 10, ++port) {
    const auto now = time_at(milliseconds(ms));
    auto decision = router.route(now, opening_packet(port));
    if (decision.destination == crashed) {
      ++sent;
      decision = router.route(time_at(milliseconds(ms + 200)), opening_packet(port, 1));
    }
    router.route(now, flow_packet(port, decision.route_tag));
    router.route(now, ending_packet(port, decision.route_tag));
  }
  BOOST_TEST(sent <= 8);
}

// Guards against a count of open flows that grows with each ended flow, because the last
// packets of a caller arrive after the flow's end.
BOOST_AUTO_TEST_CASE(packets_after_the_end_do_not_reopen_a_flow) {
  auto router = serving_router(1);
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto opened = router.route(time_at({}), opening_packet(port));
    router.route(time_at({}), flow_packet(port, opened.route_tag));
    router.route(time_at({}), ending_packet(port, opened.route_tag));
    router.route(time_at({}), flow_packet(port, opened.route_tag));
  }
  BOOST_TEST(router.flows().open_flows(report_of("i-1", 81).incarnation()) == 0U);
}

// Guards against upstreams that are avoided long after a load peak, because they ended its
// flows by resets that only the callers receive.
BOOST_AUTO_TEST_CASE(idle_flows_do_not_count_as_load) {
  auto router = serving_router(2);
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto opened = router.route(time_at({}), opening_packet(port));
    router.route(time_at({}), flow_packet(port, opened.route_tag));
  }
  for (int ms = 0; ms <= 2'000; ms += 50)
    router.tick(time_at(milliseconds(ms)));
  BOOST_TEST(router.flows().open_flows(report_of("i-1", 81).incarnation()) == 0U);
  BOOST_TEST(router.flows().open_flows(report_of("i-2", 82).incarnation()) == 0U);
}

// Guards against a long flow that loses its upstream, or no longer counts as load, after a pause
// between two requests, and against one that moves because its upstream drains in the pause.
BOOST_AUTO_TEST_CASE(long_flow_keeps_its_upstream_over_pauses) {
  auto router = serving_router(3);
  const auto opened = router.route(time_at({}), opening_packet(1));
  const auto upstream = report_of(*opened.upstream_id, opened.destination.port).incarnation();
  router.route(time_at({}), flow_packet(1, opened.route_tag));
  for (int pause = 1; pause <= 5; ++pause) {
    const auto now = time_at(milliseconds(pause * 9'000));
    router.tick(now);
    BOOST_TEST(router.flows().open_flows(upstream) == 0U);
    const auto routed = router.route(now, flow_packet(1, opened.route_tag));
    BOOST_TEST((routed.destination == opened.destination));
    BOOST_TEST(router.flows().open_flows(upstream) == 1U);
    auto draining = report_of(*opened.upstream_id, opened.destination.port);
    draining.sequence = 10;
    draining.condition = upstream_report::state::draining;
    if (pause == 3) router.merge_update(now, update_of({draining}));
  }
}

// Guards against a request of one second that is lost because the entry host of its flow has been
// replaced by one that started just now: the packet waits for the first update.
BOOST_AUTO_TEST_CASE(packet_of_long_flow_waits_for_the_start_of_its_host) {
  auto before = serving_router(3);
  const auto opened = before.route(time_at({}), opening_packet(1));
  auto started = router_of(7);
  BOOST_TEST((started.route(time_at({}), flow_packet(1, opened.route_tag)).action == action::hold));
  started.merge_update(
      time_at({}), update_of({report_of("i-1", 81), report_of("i-2", 82), report_of("i-3", 83)}));
  BOOST_TEST((started.route(time_at({}), flow_packet(1, opened.route_tag)).destination ==
              opened.destination));
}

// Guards against uneven load on equal upstreams.
BOOST_AUTO_TEST_CASE(flows_are_distributed_evenly) {
  auto router = serving_router(4);
  std::map<endpoint, int> opened;
  for (std::uint16_t port = 1; port <= 400; ++port)
    ++opened[router.route(time_at({}), opening_packet(port)).destination];
  for (const auto& [address, n] : opened)
    BOOST_TEST(n == 100, "upstream " << address.to_string() << " has " << n);
}

// Guards against uneven load on the upstreams of a large service, of which only some are compared
// for each flow, and against flows to other zones while upstreams of this zone are free.
BOOST_AUTO_TEST_CASE(flows_are_distributed_over_all_upstreams_of_a_large_service) {
  auto router = serving_router(300);
  router.merge_update(time_at({}), update_of({report_of("i-301", 9'000, "b")}));
  std::map<endpoint, int> opened;
  for (int n = 0; n < 900; ++n)
    ++opened[router.route(time_at({}), opening_packet(static_cast<std::uint16_t>(n + 1)))
                 .destination];
  BOOST_TEST(opened.size() == 300U);
  for (const auto& [address, n] : opened)
    BOOST_TEST(n <= 5, "upstream " << address.to_string() << " has " << n);
}

// Guards against a host that was suspended and opens a flow on an upstream that has left, because
// the first of several updates does not contain the leave.
BOOST_AUTO_TEST_CASE(partial_update_does_not_end_the_outdated_view) {
  auto router = serving_router(2);
  const auto resumed = time_at(milliseconds(5'000));
  router.record_suspension(resumed);
  router.merge_update(resumed, {}, flow_router::update_extent::partial);
  router.record_update_request(resumed);
  BOOST_TEST((router.route(resumed, opening_packet(1)).reason == reason::outdated));
  router.merge_update(resumed, {});
  router.record_update_request(resumed);
  BOOST_TEST((router.route(resumed, opening_packet(1)).reason == reason::opened));
}

// Guards against refused flows of a route that a newer declaration has, while a host receives it in
// parts.
BOOST_AUTO_TEST_CASE(unknown_route_is_not_refused_before_the_confirmed_version_is_in_force) {
  auto router = router_of();
  router.apply(declaration_of(1));
  router.merge_update(time_at({}), update_of({report_of("i-1", 81)}));
  router.confirm(2);
  auto unknown = opening_packet(1);
  unknown.destination.port = 444;
  BOOST_TEST((router.route(time_at({}), unknown).action == action::hold));
  router.apply(declaration_of(2));
  BOOST_TEST((router.route(time_at({}), unknown).reason == reason::no_route));
}

// Guards against flows on an upstream that control hosts have no reports of, and against the
// account of a control host that is applied to the list of another one.
BOOST_AUTO_TEST_CASE(overdue_upstream_is_avoided) {
  constexpr std::uint64_t source = 7;
  auto router = serving_router(0);
  router.begin_list(source);
  const auto overdue = report_of("i-1", 81);
  router.merge_update(time_at({}), update_of({overdue, report_of("i-2", 82)}));
  wire::upstream_liveness account;
  account.add_overdue(overdue.incarnation());
  router.record_liveness(time_at({}), source + 1, account);
  std::map<std::string, int> opened;
  for (std::uint16_t port = 1; port <= 40; ++port)
    ++opened[*router.route(time_at({}), opening_packet(port)).upstream_id];
  BOOST_TEST(opened["i-1"] > 0);
  const auto later = time_at(milliseconds(2'000));
  router.merge_update(later, {});
  router.record_liveness(later, source, account);
  for (std::uint16_t port = 101; port <= 140; ++port)
    BOOST_TEST(*router.route(later, opening_packet(port)).upstream_id == "i-2");
}

// Guards against all upstreams becoming suspect because the updates from control hosts have
// stopped.
BOOST_AUTO_TEST_CASE(upstreams_are_used_without_updates) {
  auto router = serving_router(2);
  BOOST_TEST(
      (router.route(time_at(milliseconds(60'000)), opening_packet(1)).action == action::forward));
}

// Guards against new flows to an upstream that left while this process was suspended. An update
// that was requested before the end of the suspension does not show what happened since.
BOOST_AUTO_TEST_CASE(resumed_host_opens_no_flow_before_an_update) {
  auto router = serving_router(2);
  const auto opened = router.route(time_at({}), opening_packet(1));
  const auto resumed = time_at(milliseconds(5'000));
  router.record_suspension(resumed);
  router.record_update_request(time_at(milliseconds(100)));
  BOOST_TEST((router.route(resumed, opening_packet(2)).reason == reason::outdated));
  BOOST_TEST(
      (router.route(resumed, flow_packet(1, opened.route_tag)).destination == opened.destination));
  auto draining = report_of("i-1", 81);
  draining.sequence = 2;
  draining.condition = upstream_report::state::draining;
  router.merge_update(resumed, update_of({draining}));
  router.record_update_request(resumed);
  for (std::uint16_t port = 10; port < 30; ++port)
    BOOST_TEST(router.route(resumed, opening_packet(port)).destination.port == 82);
}

// Guards against a host that serves no more after a suspension because it is cut off from all
// control hosts.
BOOST_AUTO_TEST_CASE(resumed_host_without_control_hosts_serves) {
  auto router = serving_router(1);
  router.record_suspension(time_at(milliseconds(5'000)));
  BOOST_TEST(
      (router.route(time_at(milliseconds(6'600)), opening_packet(1)).action == action::forward));
}

/// Returns a router in zone a with 4 upstreams in zone a and 20 in zone b, all in use.
flow_router two_zone_router() {
  constexpr int remote_upstreams = 20;
  auto out = serving_router(4);
  std::vector<upstream_report> reports;
  reports.reserve(remote_upstreams);
  for (int n = 0; n < remote_upstreams; ++n)
    reports.push_back(
        report_of("i-" + std::to_string(100 + n), static_cast<std::uint16_t>(1'000 + n), "b"));
  out.merge_update(time_at({}), update_of(reports));
  return out;
}

bool is_in_zone_b(const flow_decision& decision) {
  return decision.destination.port >= 1'000;
}

/// Opens a flow every 10 ms from `from_ms` to `until_ms`. Upstreams of zone b do not answer, so the
/// callers send a copy after 200 ms; those of zone a do and are never free. Returns the number of
/// opening packets sent to zone b.
int open_flows_during_cut(flow_router& router, int from_ms, int until_ms) {
  std::map<int, std::uint16_t> copies; // time of the copy to port of its caller
  int sent = 0;
  auto port = static_cast<std::uint16_t>(from_ms + 1);
  for (int ms = from_ms; ms < until_ms; ms += 10, ++port) {
    const auto now = time_at(milliseconds(ms));
    router.tick(now);
    const auto handle = [&](const packet_head& head) {
      const auto decision = router.route(now, head);
      if (!is_in_zone_b(decision)) {
        router.route(now, flow_packet(head.source.port, decision.route_tag));
        return;
      }
      ++sent;
      if (head.acknowledged == 0) copies[ms + 200] = head.source.port;
    };
    handle(opening_packet(port));
    if (const auto it = copies.find(ms); it != copies.end()) handle(opening_packet(it->second, 1));
  }
  return sent;
}

// Guards against callers that wait for zones which are cut off: each of the 20 upstreams of such a
// zone would get two flows before it is avoided, and again every second.
BOOST_AUTO_TEST_CASE(zone_that_is_cut_off_is_avoided_after_few_flows) {
  auto router = two_zone_router();
  BOOST_TEST(open_flows_during_cut(router, 0, 1'000) <= 30);
  BOOST_TEST(open_flows_during_cut(router, 1'000, 2'500) <= 6);
}

// Guards against a zone that is avoided although it is reachable again.
BOOST_AUTO_TEST_CASE(report_ends_the_suspicion_of_a_zone) {
  auto router = two_zone_router();
  open_flows_during_cut(router, 0, 1'000);
  auto report = report_of("i-100", 1'000, "b");
  report.sequence = 2;
  router.merge_update(time_at(milliseconds(1'500)), update_of({report}));
  bool is_used = false;
  for (std::uint16_t port = 5'000; port < 5'100; ++port)
    is_used |= is_in_zone_b(router.route(time_at(milliseconds(1'500)), opening_packet(port)));
  BOOST_TEST(is_used);
}

// Guards against the forwarding of packets that only upstreams send.
BOOST_AUTO_TEST_CASE(answer_to_an_opening_packet_is_not_forwarded) {
  auto router = serving_router(1);
  auto forged = opening_packet(1);
  forged.is_answer = true;
  BOOST_TEST((router.route(time_at({}), forged).reason == reason::not_a_caller));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
