#include "flow_fixture.h"

#include "zinniarelay/flow/evacuated_zones.h"
#include "zinniarelay/flow/flow_host.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using namespace support;
using action = flow_decision::action_type;
using reason = flow_decision::reason_type;
using kind = evacuated_zones::change::kind;

wire::zone_evacuations evacuations_of(std::uint64_t version, const std::string& zone,
                                      bool is_active) {
  wire::zone_evacuations out;
  out.set_version(version);
  auto& entry = *out.add_zones();
  entry.set_zone(zone);
  entry.set_active(is_active);
  entry.set_changed_version(version);
  return out;
}

/// A host of zone a with one upstream in zone a (port 8001) and one in zone b (port 8002).
struct two_zones {
  two_zones() { apply(complete_reply()); }

  static wire::news_reply complete_reply() {
    wire::news_reply out;
    out.set_source(7);
    out.set_position(1);
    *out.mutable_upstreams() =
        update_of({report_of("i-1", 8001, "a"), report_of("i-2", 8002, "b")});
    *out.mutable_declaration() = declaration_of(1);
    out.set_declaration_version(1);
    return out;
  }

  flow_host::update_result apply(const wire::news_reply& reply) {
    return host.apply(now, reply, now);
  }

  flow_host::update_result order(std::uint64_t version, const std::string& zone, bool is_active) {
    wire::news_reply reply;
    reply.set_source(7);
    reply.set_from_position(1);
    reply.set_position(1);
    *reply.mutable_evacuations() = evacuations_of(version, zone, is_active);
    return apply(reply);
  }

  flow_decision open(std::uint16_t caller, std::uint32_t copies = 0) {
    return host.handle(now, opening_packet(caller, copies), {});
  }

  time_point now = time_at(milliseconds(0));
  flow_host host{[] {
                   flow_host_settings out;
                   out.router.selection.zone = "a";
                   return out;
                 }(),
                 random_engine(1), now};
};

BOOST_FIXTURE_TEST_SUITE(evacuated_zones_test, two_zones)

// Guards against a late reply, or one of a control host that lags, that undoes a newer order.
BOOST_AUTO_TEST_CASE(an_older_version_changes_nothing) {
  evacuated_zones zones;
  const auto changes = zones.apply(now, evacuations_of(3, "a", true));
  BOOST_TEST((changes == std::vector<evacuated_zones::change>{{"a", kind::evacuated}}));
  BOOST_TEST(zones.apply(now, evacuations_of(2, "a", false)).empty());
  BOOST_TEST(zones.apply(now, evacuations_of(3, "a", false)).empty());
  BOOST_TEST(zones.apply(now, {}).empty());
  BOOST_TEST(zones.contains("a"));
  BOOST_TEST(zones.version() == 3U);
}

// Guards against upstreams of a restored zone that count as warm because the host missed the
// evacuation, and against ones that count as cold after each start of an entry host.
BOOST_AUTO_TEST_CASE(the_time_of_a_restoration_is_known_unless_it_was_before_the_start) {
  evacuated_zones started_late;
  started_late.apply(now, evacuations_of(2, "a", false));
  BOOST_TEST(!started_late.restored_at("a").has_value());

  evacuated_zones running;
  running.apply(now, {});
  const auto later = now + milliseconds(500);
  BOOST_TEST(running.apply(later, evacuations_of(2, "a", false)).empty());
  BOOST_TEST((running.restored_at("a") == later));
  running.apply(later, evacuations_of(3, "a", true));
  BOOST_TEST(!running.restored_at("a").has_value());
}

// Guards against new flows in an evacuated zone, also from the hosts of the zone itself.
BOOST_AUTO_TEST_CASE(new_flows_go_to_other_zones_until_the_zone_is_restored) {
  BOOST_TEST(open(40'001).destination.port == 8001);
  BOOST_TEST(
      (order(1, "a", true).zones == std::vector<evacuated_zones::change>{{"a", kind::evacuated}}));
  for (std::uint16_t n = 0; n < 50; ++n)
    BOOST_TEST(open(static_cast<std::uint16_t>(41'000 + n)).destination.port == 8002);
  BOOST_TEST(host.router().openings_kept_away() == 50U);
  order(2, "a", false);
  BOOST_TEST(open(42'000).destination.port == 8001);
}

// Guards against a repeated or duplicated opening packet that reserves a flow in an evacuated zone.
BOOST_AUTO_TEST_CASE(copies_of_an_earlier_opening_packet_keep_away_too) {
  BOOST_TEST(open(40'001).destination.port == 8001);
  BOOST_TEST(open(40'002).destination.port == 8001);
  order(1, "a", true);
  BOOST_TEST(open(40'001, 0).destination.port == 8002);
  BOOST_TEST(open(40'002, 1).destination.port == 8002);
}

// Guards against an evacuation that ends the flows which are open.
BOOST_AUTO_TEST_CASE(open_flows_stay) {
  const auto opened = open(40'001);
  order(1, "a", true);
  const auto decision = host.handle(now, flow_packet(40'001, opened.route_tag), {});
  BOOST_TEST((decision.action == action::forward));
  BOOST_TEST(decision.destination.port == 8001);
}

// Guards against callers that wait for an upstream although none may serve them.
BOOST_AUTO_TEST_CASE(a_service_with_all_upstreams_evacuated_is_reset_at_once) {
  order(1, "a", true);
  order(2, "b", true);
  const auto decision = open(40'001);
  BOOST_TEST((decision.action == action::reset));
  BOOST_TEST((decision.reason == reason::no_upstream));
}

// Guards against flows that a host opens in an evacuated zone between its start and the next
// update: the first reply has the evacuations with the declaration and the upstreams.
BOOST_AUTO_TEST_CASE(a_started_host_opens_no_flow_in_an_evacuated_zone) {
  flow_host_settings settings;
  settings.router.selection.zone = "a";
  flow_host started(settings, random_engine(1), now);
  BOOST_TEST((started.handle(now, opening_packet(40'001), {}).action == action::hold));
  for (const bool is_restored : {false, true}) {
    auto reply = complete_reply();
    *reply.mutable_evacuations() = evacuations_of(1, "a", true);
    reply.set_recalled(is_restored);
    if (is_restored) reply.set_quorum_age_ms(60'000);
    started = flow_host(settings, random_engine(1), now);
    started.apply(now, reply, now);
    BOOST_TEST(started.handle(now, opening_packet(40'001), {}).destination.port == 8002);
  }
}

// Guards against flows that open in an evacuated zone after a loss of all power, and against a zone
// that is avoided for good because of an order that was never committed.
BOOST_AUTO_TEST_CASE(an_unconfirmed_evacuation_holds_until_a_confirmed_reply) {
  wire::news_reply restored;
  restored.set_source(8);
  restored.set_quorum_age_ms(60'000);
  restored.set_recalled(true);
  restored.mutable_evacuations()->add_unconfirmed("a");
  *restored.mutable_upstreams() = complete_reply().upstreams();
  apply(restored);
  BOOST_TEST(open(40'001).destination.port == 8002);
  BOOST_TEST(host.evacuations_version() == 0U);
  apply(complete_reply());
  BOOST_TEST(open(40'002).destination.port == 8001);
}

// Guards against an upstream that is reported in an evacuated zone after the order.
BOOST_AUTO_TEST_CASE(an_upstream_that_joins_an_evacuated_zone_gets_no_flow) {
  order(1, "b", true);
  wire::news_reply reply;
  reply.set_source(7);
  reply.set_from_position(1);
  reply.set_position(2);
  auto left = report_of("i-1", 8001, "a");
  left.sequence = 2;
  left.condition = upstream_report::state::draining;
  *reply.mutable_upstreams() = update_of({left, report_of("i-3", 8003, "b")});
  apply(reply);
  BOOST_TEST((open(40'001).reason == reason::no_upstream));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
