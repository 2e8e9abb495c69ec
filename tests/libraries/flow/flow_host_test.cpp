#include "flow_fixture.h"

#include "zinniarelay/flow/flow_host.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using namespace support;
using action = flow_decision::action_type;

constexpr std::uint32_t no_quorum_ms = 60'000;

flow_host host() {
  flow_host_settings settings;
  settings.router.selection.zone = "a";
  return {settings, random_engine(1), time_at(milliseconds(0))};
}

wire::news_reply complete_reply(std::uint64_t version) {
  wire::news_reply out;
  out.set_source(7);
  out.set_position(1);
  *out.mutable_upstreams() = update_of({report_of("i-1", 8001)});
  *out.mutable_declaration() = declaration_of(version);
  out.set_declaration_version(version);
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_host_tests)

// Guards against callers that repeat their opening packet after 200 ms because a host that has
// just started dropped the first one.
BOOST_AUTO_TEST_CASE(an_opening_packet_before_the_first_update_is_decided_after_it) {
  auto self = host();
  const std::vector<std::byte> bytes(32);
  const auto head = opening_packet(40'001);
  BOOST_TEST((self.handle(time_at(milliseconds(0)), head, bytes).action == action::hold));
  BOOST_TEST(!self.is_ready());

  self.apply(time_at(milliseconds(100)), complete_reply(3), time_at(milliseconds(50)));
  BOOST_TEST(self.is_ready());
  const auto held = self.take_held(time_at(milliseconds(100)));
  BOOST_REQUIRE(held.size() == 1);
  const auto decision = self.handle(held[0].arrived, held[0].head, held[0].bytes);
  BOOST_TEST((decision.action == action::forward));
}

// Guards against a host that keeps a declaration which a damaged change led to.
BOOST_AUTO_TEST_CASE(a_change_that_leads_to_another_declaration_requests_a_complete_one) {
  auto self = host();
  self.apply(time_at(milliseconds(100)), complete_reply(3), time_at(milliseconds(50)));
  auto reply = complete_reply(3);
  reply.clear_declaration();
  reply.mutable_change()->set_base_version(3);
  reply.mutable_change()->set_version(4);
  reply.mutable_change()->set_digest(1);
  const auto applied = self.apply(time_at(milliseconds(200)), reply, time_at(milliseconds(150)));
  BOOST_TEST(applied.refusal.has_value());
  BOOST_TEST(self.router().routes().version() == 3U);
  BOOST_TEST(self.requested_version() == 0U);

  self.apply(time_at(milliseconds(300)), complete_reply(4), time_at(milliseconds(250)));
  BOOST_TEST(self.requested_version() == 4U);
}

// Guards against an old declaration of a control host that is partitioned from its group.
BOOST_AUTO_TEST_CASE(a_started_host_does_not_take_an_unconfirmed_declaration) {
  auto self = host();
  auto reply = complete_reply(3);
  reply.set_quorum_age_ms(no_quorum_ms);
  const auto applied = self.apply(time_at(milliseconds(100)), reply, time_at(milliseconds(50)));
  BOOST_TEST(!applied.is_declaration_new);
  BOOST_TEST(!self.is_ready());
}

// Guards against new flows on upstreams that left while the process was suspended.
BOOST_AUTO_TEST_CASE(after_a_suspension_opening_packets_wait_for_a_later_update) {
  auto self = host();
  self.apply(time_at(milliseconds(100)), complete_reply(3), time_at(milliseconds(50)));
  BOOST_TEST(!self.record_iteration(time_at(milliseconds(150))).has_value());
  const auto suspended = self.record_iteration(time_at(milliseconds(4'150)));
  BOOST_REQUIRE(suspended.has_value());
  BOOST_TEST(suspended->count() == 4'000);
  const auto now = time_at(milliseconds(4'200));
  BOOST_TEST((self.handle(now, opening_packet(40'002), {}).action == action::drop));

  self.apply(time_at(milliseconds(4'300)), complete_reply(3), time_at(milliseconds(4'250)));
  const auto decision = self.handle(time_at(milliseconds(4'300)), opening_packet(40'002, 1), {});
  BOOST_TEST((decision.action == action::forward));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace zinnia
