#include "zinniarelay/flow/warmup_tokens.h"

#include "flow_fixture.h"
#include "zinniarelay/flow/declaration_history.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using namespace support;
using action = flow_decision::action_type;
using reason = flow_decision::reason_type;

wire::warmup_grant grant_of(std::uint64_t incarnation, double rate, std::uint32_t lease_ms) {
  wire::warmup_grant out;
  out.set_incarnation(incarnation);
  out.set_rate(rate);
  out.set_lease_ms(lease_ms);
  return out;
}

wire::flow_declaration limited_declaration(std::uint64_t version) {
  auto out = declaration_of(version);
  out.mutable_services(0)->set_warmup_ms(5'000);
  out.mutable_services(0)->set_warmup_rate(10);
  return out;
}

/// An entry host with one upstream that is cold for 5 s from 0 ms on.
struct cold_upstream {
  cold_upstream() : router({}, random_engine(1)) {
    router.apply(limited_declaration(1));
    router.confirm();
    report.warmup = milliseconds(5'000);
    router.merge_update(time_at(milliseconds(0)), update_of({report}));
  }

  void grant(int requested_ms, std::uint32_t lease_ms) {
    wire::news_reply reply;
    *reply.add_warmup_grants() = grant_of(report.incarnation(), 10, lease_ms);
    router.record_grants(time_at(milliseconds(requested_ms)), reply);
  }
  flow_decision open(int at_ms, std::uint16_t caller, std::uint32_t copies = 0) {
    return router.route(time_at(milliseconds(at_ms)), opening_packet(caller, copies));
  }

  upstream_report report = report_of("i-1", 8001, "");
  flow_router router;
};

BOOST_AUTO_TEST_SUITE(warmup_tokens_test)

// Guards against a bucket that saves tokens while it is not used, and against packets after the
// lease.
BOOST_AUTO_TEST_CASE(tokens_follow_rate_and_lease) {
  warmup_tokens tokens;
  tokens.advance(time_at(milliseconds(1'000)));
  tokens.record_grant(time_at(milliseconds(900)), grant_of(7, 10, 1'000));
  BOOST_TEST(tokens.take(7));
  BOOST_TEST(!tokens.take(7));
  tokens.advance(time_at(milliseconds(1'800)));
  BOOST_TEST(tokens.take(7));
  BOOST_TEST(!tokens.take(7));
  tokens.advance(time_at(milliseconds(1'899)));
  BOOST_TEST(!tokens.take(7));
  tokens.advance(time_at(milliseconds(1'900))); // the end of the lease
  BOOST_TEST(!tokens.take(7));
  // The reply to a request before a suspension.
  tokens.record_grant(time_at(milliseconds(800)), grant_of(8, 10, 1'000));
  BOOST_TEST(!tokens.take(8));
}

// Guards against flows to a cold upstream without a lease, and against held packets that use a
// lease which had not expired when they arrived.
BOOST_AUTO_TEST_CASE(held_packet_gets_no_token_of_an_expired_lease) {
  cold_upstream system;
  BOOST_TEST((system.open(10, 40'001).action == action::hold));
  system.grant(10, 1'000);
  BOOST_TEST((system.open(20, 40'001).action == action::forward));
  system.router.tick(time_at(milliseconds(1'100)));
  BOOST_TEST((system.open(900, 40'002).action != action::forward));
}

// Guards against duplicates and copies of opening packets that do not count.
BOOST_AUTO_TEST_CASE(duplicate_without_a_token_is_dropped) {
  cold_upstream system;
  system.grant(0, 1'500);
  BOOST_TEST((system.open(20, 40'001).action == action::forward));
  const auto duplicate = system.open(21, 40'001);
  BOOST_TEST((duplicate.action == action::drop));
  BOOST_TEST((duplicate.reason == reason::cold));
  BOOST_TEST((system.open(200, 40'001).reason == reason::reopened));
  BOOST_TEST((system.open(201, 40'001, 1).action == action::hold));
}

// Guards against a copy that counts as several timeouts, because it is decided again while it waits
// for a token: the upstream, which is warm meanwhile, would be suspect.
BOOST_AUTO_TEST_CASE(held_copy_counts_as_one_timeout) {
  cold_upstream system;
  const auto other = report_of("i-2", 8002, "");
  system.grant(4'500, 700);
  BOOST_TEST((system.open(4'510, 40'001).action == action::forward));
  for (int n = 0; n < 3; ++n)
    BOOST_TEST((system.open(4'520 + n, 40'001, 1).action != action::forward));
  auto later = system.report;
  later.sequence = 2;
  later.warmup = milliseconds(0);
  system.router.merge_update(time_at(milliseconds(5'300)), update_of({later, other}));
  std::size_t to_first = 0;
  for (std::uint16_t n = 0; n < 20; ++n)
    to_first += system.open(5'301, static_cast<std::uint16_t>(41'000 + n)).destination.port == 8001;
  BOOST_TEST(to_first > 0U);
}

// Guards against callers that wait although no token can arrive.
BOOST_AUTO_TEST_CASE(without_contact_a_flow_is_reset_at_once) {
  cold_upstream system;
  BOOST_TEST((system.open(1'400, 40'001).action == action::hold));
  BOOST_TEST((system.open(1'600, 40'001).action == action::reset));
}

// Guards against an entry host without contact that takes an upstream which was restarted for a
// warm one.
BOOST_AUTO_TEST_CASE(without_contact_an_unresponsive_upstream_needs_a_token) {
  cold_upstream system;
  BOOST_TEST((system.open(6'000, 40'001).action == action::forward));
  BOOST_TEST((system.open(6'200, 40'001, 1).action == action::reset));
  auto later = system.report;
  later.sequence = 2;
  later.warmup = milliseconds(0);
  system.router.merge_update(time_at(milliseconds(6'300)), update_of({later}));
  BOOST_TEST((system.open(6'300, 40'002).action == action::forward));
}

// Guards against a restored view in which an upstream is warm that was restarted meanwhile.
BOOST_AUTO_TEST_CASE(restored_view_needs_a_token_until_upstreams_have_reported) {
  flow_router router({}, random_engine(1));
  router.apply(limited_declaration(1));
  wire::news_reply restored;
  restored.set_recalled(true);
  router.merge_update(time_at(milliseconds(0)), update_of({report_of("i-1", 8001, "")}));
  router.record_origin(time_at(milliseconds(0)), restored);
  const auto open = [&](int at_ms) {
    return router.route(time_at(milliseconds(at_ms)), opening_packet(40'001)).action;
  };
  BOOST_TEST((open(10) == action::hold));
  router.record_origin(time_at(milliseconds(500)), {});
  BOOST_TEST((open(1'400) == action::hold));
  BOOST_TEST((open(1'500) == action::forward));
}

// Guards against a change of a declaration, from a control host that does not know the limits, that
// removes them, and against another digest for declarations without limits.
BOOST_AUTO_TEST_CASE(change_without_limits_does_not_remove_them) {
  route_table routes(limited_declaration(1));
  auto change = change_between(declaration_of(1), declaration_of(2));
  BOOST_TEST(change.services_size() == 0);
  BOOST_TEST(!routes.apply(change).has_value());
  BOOST_TEST(routes.limits().size() == 1U);
  auto next = limited_declaration(2);
  next.mutable_services(0)->set_warmup_rate(20);
  BOOST_TEST(routes.apply(change_between(limited_declaration(1), next)).has_value());
  BOOST_TEST(routes.limits().at("registry").rate == 20);
  BOOST_TEST(digest_of(declaration_of(1)) ==
             digest_of(declaration_of(1).routes(0)) + digest_of_idle_timeout(15'000));
}

// Guards against two hosts that extend the warm-up of an upstream for ever, by the delay of their
// messages, and against a later report that ends it early.
BOOST_AUTO_TEST_CASE(same_sequence_does_not_extend_a_warmup) {
  upstream_directory upstreams;
  upstreams.set_limits(warmup_limits_of(limited_declaration(1).services()));
  auto report = report_of("i-1", 8001);
  report.warmup = milliseconds(5'000);
  using origin = upstream_directory::origin;
  using merged = upstream_directory::merge_result;
  const auto merge = [&](int at_ms) {
    return upstreams.merge(time_at(milliseconds(at_ms)), report, origin::host);
  };
  BOOST_TEST((merge(0) == merged::changed));
  BOOST_TEST((merge(1'000) == merged::ignored));
  report.sequence = 2;
  report.warmup = milliseconds(0);
  BOOST_TEST((merge(2'000) == merged::refreshed));
  const auto* known = upstreams.find(report.incarnation());
  BOOST_TEST(upstreams.is_cold(time_at(milliseconds(5'000)), *known));
  BOOST_TEST(!upstreams.is_cold(time_at(milliseconds(5'250)), *known));
  report.sequence = 3;
  report.warmup = milliseconds(2'000);
  BOOST_TEST((merge(7'000) == merged::changed));
  BOOST_TEST(upstreams.is_cold(time_at(milliseconds(8'900)), *known));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
