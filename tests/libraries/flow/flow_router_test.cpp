#include "zinniarelay/flow/flow_router.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace zinnia {
namespace {

using support::at;
using support::carried;
using support::declaration_of;
using support::ending;
using support::news_of;
using support::opening;
using support::report_of;
using action = flow_decision::action;
using reason = flow_decision::reason;

flow_router router_of(std::uint64_t seed = 1) {
  flow_router_settings settings;
  settings.zone = "a";
  return {settings, random_engine(seed)};
}

/// A router with a declaration and upstreams i-1 to i-n of its own zone.
flow_router serving_router(int upstreams, std::uint64_t seed = 1) {
  auto out = router_of(seed);
  out.apply(declaration_of(1));
  out.confirm();
  std::vector<upstream_report> reports;
  for (int n = 1; n <= upstreams; ++n)
    reports.push_back(report_of("i-" + std::to_string(n), static_cast<std::uint16_t>(80 + n)));
  out.learn(at({}), news_of(reports));
  return out;
}

BOOST_AUTO_TEST_SUITE(flow_router_test)

// Guards against flows that break when their packets move to another entry host.
BOOST_AUTO_TEST_CASE(any_host_routes_a_packet_by_its_tag) {
  auto first = serving_router(4, 1);
  auto second = serving_router(4, 2);
  for (std::uint16_t port = 1; port <= 100; ++port) {
    const auto opened = first.route(at({}), opening(port));
    const auto elsewhere = second.route(at({}), carried(port, opened.route_tag));
    BOOST_REQUIRE((elsewhere.what == action::forward));
    BOOST_REQUIRE((elsewhere.to == opened.to));
    BOOST_REQUIRE(*elsewhere.id == *opened.id);
  }
}

// Guards against a packet that reaches another upstream than the flow's, or a reset
// of an open flow, when a host does not know the tag.
BOOST_AUTO_TEST_CASE(unknown_tag_is_dropped) {
  auto router = serving_router(2);
  const auto decision = router.route(at({}), carried(1, 0xDEAD));
  BOOST_TEST((decision.what == action::drop));
  BOOST_TEST((decision.why == reason::unknown_tag));
}

// Guards against new flows to an upstream that leaves, and against open ones that it
// loses.
BOOST_AUTO_TEST_CASE(draining_upstream_keeps_its_flows_and_gets_no_new_ones) {
  auto router = serving_router(1);
  const auto opened = router.route(at({}), opening(1));
  auto leaving = report_of("i-1", 81);
  leaving.sequence = 2;
  leaving.condition = upstream_report::state::draining;
  router.learn(at({}), news_of({leaving}));
  BOOST_TEST((router.route(at({}), opening(2)).why == reason::no_upstream));
  BOOST_TEST((router.route(at({}), carried(1, opened.route_tag)).to == opened.to));
  leaving.condition = upstream_report::state::gone;
  router.learn(at({}), news_of({leaving}));
  BOOST_TEST((router.route(at({}), carried(1, opened.route_tag)).to == opened.to));
}

// Guards against a leaving upstream that gets a new flow because the caller used a
// port again, or because its opening packet was repeated (DRAIN in a hunt on
// psgca-relay, day hunt-3598-7).
BOOST_AUTO_TEST_CASE(used_port_does_not_draw_a_flow_to_a_leaving_upstream) {
  for (const bool is_answered : {false, true}) {
    auto router = serving_router(2);
    const auto first = router.route(at({}), opening(1));
    if (is_answered) router.route(at({}), carried(1, first.route_tag));
    const auto n = static_cast<std::uint16_t>(first.to.port - 80);
    auto leaving = report_of("i-" + std::to_string(n), first.to.port);
    leaving.sequence = 2;
    leaving.condition = upstream_report::state::draining;
    router.learn(at({}), news_of({leaving}));
    const auto next = router.route(at(milliseconds(100)), opening(1));
    BOOST_TEST((next.what == action::forward));
    BOOST_TEST((next.to != first.to));
  }
}

// Guards against a refusal that is not true: after a start the declaration in force may
// lack a route that a newer one has.
BOOST_AUTO_TEST_CASE(unknown_route_is_refused_only_by_a_confirmed_declaration) {
  auto router = router_of();
  router.apply(declaration_of(1));
  auto elsewhere = opening(2);
  elsewhere.destination.port = 8443;
  BOOST_TEST((router.route(at({}), elsewhere).what == action::drop));
  router.confirm();
  BOOST_TEST((router.route(at({}), elsewhere).why == reason::no_route));
}

// Guards against a caller that waits for its deadline though nothing can serve it.
BOOST_AUTO_TEST_CASE(unservable_flow_is_reset_at_once) {
  auto router = serving_router(0);
  BOOST_TEST((router.route(at({}), opening(1)).what == action::reset));
  auto elsewhere = opening(1);
  elsewhere.destination.port = 444;
  BOOST_TEST((router.route(at({}), elsewhere).why == reason::no_route));
}

// Guards against a host that answers before it knows any declaration.
BOOST_AUTO_TEST_CASE(host_without_declaration_is_silent) {
  auto router = router_of();
  BOOST_TEST((router.route(at({}), opening(1)).what == action::drop));
}

// Guards against a declaration that reverts.
BOOST_AUTO_TEST_CASE(older_declaration_changes_nothing) {
  auto router = serving_router(1);
  BOOST_TEST(router.apply(declaration_of(5)));
  auto older = declaration_of(4);
  older.clear_routes();
  BOOST_TEST(!router.apply(older));
  BOOST_TEST((router.route(at({}), opening(1)).what == action::forward));
}

// Guards against a caller that keeps trying a dead or full upstream: a later copy of
// its opening packet goes elsewhere, while a duplicate of the same copy does not.
BOOST_AUTO_TEST_CASE(unanswered_opening_moves_to_another_upstream) {
  auto router = serving_router(2);
  const auto first = router.route(at({}), opening(1));
  const auto duplicate = router.route(at({}), opening(1));
  BOOST_TEST((duplicate.to == first.to));
  const auto moved = router.route(at(milliseconds(200)), opening(1, 1));
  BOOST_TEST((moved.why == reason::moved));
  BOOST_TEST((moved.to != first.to));
}

// Guards against flows that pour into an upstream that crashed, until its reports
// are missed.
BOOST_AUTO_TEST_CASE(silent_upstream_is_avoided_after_a_few_flows) {
  auto router = serving_router(4);
  const auto dead = router.route(at({}), opening(1)).to;
  int sent = 0;
  std::uint16_t port = 10;
  for (int ms = 0; ms < 1'000; ms += 10, ++port) {
    const auto now = at(milliseconds(ms));
    auto decision = router.route(now, opening(port));
    if (decision.to == dead) {
      ++sent;
      decision = router.route(at(milliseconds(ms + 200)), opening(port, 1));
    }
    router.route(now, carried(port, decision.route_tag));
    router.route(now, ending(port, decision.route_tag));
  }
  BOOST_TEST(sent <= 8);
}

// Guards against counts of open flows that grow with each ended flow, because the
// last packets of a caller arrive after its end.
BOOST_AUTO_TEST_CASE(packets_after_the_end_do_not_reopen_a_flow) {
  auto router = serving_router(1);
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto opened = router.route(at({}), opening(port));
    router.route(at({}), carried(port, opened.route_tag));
    router.route(at({}), ending(port, opened.route_tag));
    router.route(at({}), carried(port, opened.route_tag));
  }
  BOOST_TEST(router.flows().open_of(report_of("i-1", 81).incarnation()) == 0U);
}

// Guards against upstreams that are avoided long after a crowd, because they ended
// its flows by resets that only the callers see.
BOOST_AUTO_TEST_CASE(flows_that_ended_without_a_packet_are_no_load) {
  auto router = serving_router(2);
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto opened = router.route(at({}), opening(port));
    router.route(at({}), carried(port, opened.route_tag));
  }
  for (int ms = 0; ms <= 2'000; ms += 50)
    router.tick(at(milliseconds(ms)));
  BOOST_TEST(router.flows().open_of(report_of("i-1", 81).incarnation()) == 0U);
  BOOST_TEST(router.flows().open_of(report_of("i-2", 82).incarnation()) == 0U);
}

// Guards against uneven load on equal upstreams.
BOOST_AUTO_TEST_CASE(flows_spread_evenly) {
  auto router = serving_router(4);
  std::map<endpoint, int> opened;
  for (std::uint16_t port = 1; port <= 400; ++port)
    ++opened[router.route(at({}), opening(port)).to];
  for (const auto& [address, n] : opened)
    BOOST_TEST(n == 100, "upstream " << address.to_string() << " has " << n);
}

// Guards against all upstreams being set aside when the news itself has stopped.
BOOST_AUTO_TEST_CASE(upstreams_are_used_while_there_is_no_news) {
  auto router = serving_router(2);
  BOOST_TEST((router.route(at(milliseconds(60'000)), opening(1)).what == action::forward));
}

// Guards against packets that only upstreams send being carried to another upstream.
BOOST_AUTO_TEST_CASE(answer_to_an_opening_is_not_carried) {
  auto router = serving_router(1);
  auto forged = opening(1);
  forged.is_answer = true;
  BOOST_TEST((router.route(at({}), forged).why == reason::not_a_caller));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
