#include "support/control_group.h"
#include "zinniarelay/control/view_store.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

control_host_settings settings_with_zones() {
  control_host_settings out;
  out.zones = {"a", "b"};
  return out;
}

struct founded_group {
  founded_group() { group.run(milliseconds(3'000)); }

  /// Returns an order as completed by the host that receives it.
  wire::evacuation_request received(std::uint64_t host, const std::string& zone, bool is_active) {
    wire::evacuation_request out;
    out.set_operation_id("order " + std::to_string(++orders));
    out.set_author("ana");
    out.mutable_order()->set_zone(zone);
    out.mutable_order()->set_active(is_active);
    BOOST_TEST_REQUIRE(group.host(host).receive_evacuation(group.now, out));
    return out;
  }

  wire::apply_reply execute(const wire::evacuation_request& request) {
    const auto id = group.leader();
    const auto submitted = group.host(id).evacuate(group.now, 1, request);
    group.observe(id);
    if (submitted.reply) return *submitted.reply;
    for (int n = 0; n < 50; ++n) {
      group.run(control_group::step_time);
      if (const auto reply = group.host(id).evacuation_reply_for(submitted.pending)) return *reply;
    }
    return group.host(id).unconfirmed_apply();
  }

  wire::apply_reply order(const std::string& zone, bool is_active) {
    return execute(received(group.leader(), zone, is_active));
  }

  control_group group{1, 3, settings_with_zones()};
  int orders = 0;
};

BOOST_FIXTURE_TEST_SUITE(zone_evacuations_test, founded_group)

// Guards against an order that is refused or changes the version because it was sent again.
BOOST_AUTO_TEST_CASE(an_order_in_force_is_accepted_again) {
  BOOST_TEST((order("a", true).result() == wire::apply_reply::accepted));
  const auto again = order("a", true);
  BOOST_TEST((again.result() == wire::apply_reply::accepted));
  BOOST_TEST(again.revision() == 1U);
  BOOST_TEST(order("a", false).revision() == 2U);
  group.run(milliseconds(500));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(group.host(id).evacuations().version() == 2U);
    BOOST_TEST(!group.host(id).evacuations().contains("a"));
  }
}

// Guards against a copy of an order that was delayed between a control host and the leader and
// undoes a later order which was acknowledged meanwhile.
BOOST_AUTO_TEST_CASE(a_delayed_copy_does_not_undo_a_later_order) {
  const auto delayed = received(1, "a", true);
  BOOST_TEST((order("a", true).result() == wire::apply_reply::accepted));
  BOOST_TEST((order("a", false).result() == wire::apply_reply::accepted));
  BOOST_TEST((execute(delayed).result() == wire::apply_reply::stale_base));
  BOOST_TEST(!group.host(group.leader()).evacuations().contains("a"));
  BOOST_TEST((order("b", true).result() == wire::apply_reply::accepted));
}

// Guards against an order that takes effect twice because its reply was lost and it was sent again
// with its identifier.
BOOST_AUTO_TEST_CASE(a_retry_gets_the_first_result) {
  const auto first = received(1, "a", true);
  BOOST_TEST((execute(first).result() == wire::apply_reply::accepted));
  BOOST_TEST((order("a", false).result() == wire::apply_reply::accepted));
  auto retry = first;
  retry.mutable_order()->set_base_version(2);
  BOOST_TEST((execute(retry).result() == wire::apply_reply::accepted));
  BOOST_TEST(!group.host(group.leader()).evacuations().contains("a"));
}

// Guards against a mistyped name that is acknowledged and evacuates nothing, and against a zone
// that cannot be evacuated because only its upstreams name it.
BOOST_AUTO_TEST_CASE(a_zone_needs_a_setting_or_an_upstream) {
  const auto refused = order("c", true);
  BOOST_TEST((refused.result() == wire::apply_reply::invalid));
  BOOST_TEST(refused.cause().find("zone c is not known") != std::string::npos);
  upstream_report upstream;
  upstream.id = "i-1";
  upstream.started_ms = 1;
  upstream.service = "registry";
  upstream.address = {0x0A00'0001, 80};
  upstream.zone = "c";
  upstream.slots = 1;
  group.host(group.leader()).merge_report(group.now, upstream);
  BOOST_TEST((order("c", true).result() == wire::apply_reply::accepted));
}

// Guards against orders whose author or effect cannot be found later, also refused ones (R31).
BOOST_AUTO_TEST_CASE(orders_are_recorded_with_the_state_before_and_after) {
  const auto delayed = received(1, "a", true);
  order("a", true);
  order("a", false);
  execute(delayed);
  order("nowhere", true);
  const auto records = group.host(group.leader()).audit({}).records();
  BOOST_REQUIRE(records.size() == 4);
  BOOST_TEST(records[0].author() == "ana");
  BOOST_TEST(records[0].action() == "evacuate zone");
  BOOST_TEST(records[0].before(0) == "zone a not evacuated, evacuations of version 0");
  BOOST_TEST(records[0].after(0) == "zone a evacuated, evacuations of version 1");
  BOOST_TEST(!records[2].accepted());
  BOOST_TEST(records[2].before(0) == records[2].after(0));
  BOOST_TEST(!records[3].accepted());
  BOOST_TEST(records[3].cause().find("nowhere") != std::string::npos);
}

// Guards against an order that is lost in a restart of all hosts or in a compaction.
BOOST_AUTO_TEST_CASE(evacuations_survive_restarts_and_snapshots) {
  order("a", true);
  for (std::uint64_t id = 1; id <= 3; ++id)
    group.stop(id);
  for (std::uint64_t id = 1; id <= 3; ++id)
    group.start(id);
  group.run(milliseconds(3'000));
  BOOST_TEST(group.host(1).evacuations().contains("a"));
  const auto copy = control_state::decode(group.host(1).state().encode());
  BOOST_TEST(copy.value().evacuations().version() == 1U);
  BOOST_TEST(copy.value().changed_version_of("a") == 1U);
}

// Guards against flows that open in an evacuated zone because a restored view is served without the
// evacuations.
BOOST_AUTO_TEST_CASE(a_restored_view_has_the_evacuations) {
  const auto before = group.host(group.leader()).current_view_position();
  order("a", true);
  auto& leader = group.host(group.leader());
  BOOST_TEST(!(leader.current_view_position() == before));
  auto view = leader.current_view(group.now, 1);
  view.mutable_declaration()->set_version(1);
  control_group restarted(1, 3, settings_with_zones());
  auto& host = restarted.host(1);
  host.restore_view(restarted.now, view);
  wire::news_request request;
  request.set_evacuations_version(0);
  const auto reply = host.updates(restarted.now, request);
  BOOST_TEST(reply.recalled());
  BOOST_TEST(reply.evacuations().version() == 1U);
  BOOST_REQUIRE(reply.evacuations().zones_size() == 1);
  BOOST_TEST(reply.evacuations().zones(0).active());
}

// Guards against flows that open in an evacuated zone after a loss of all power shortly after the
// acknowledgement: the saved views lack the order, and before an election no host knows that its
// log entry is committed. An order that was withdrawn since must not keep flows away.
BOOST_AUTO_TEST_CASE(a_restarted_host_serves_its_view_with_the_orders_in_its_log) {
  order("b", true);
  order("b", false);
  group.run(milliseconds(500));
  auto view = group.host(group.leader()).current_view(group.now, 1);
  view.mutable_declaration()->set_version(1);
  order("a", true);
  const auto id = group.leader();
  for (std::uint64_t n = 1; n <= 3; ++n)
    group.stop(n);
  group.start(id);
  auto& host = group.host(id);
  host.restore_view(group.now, view);
  wire::news_request request;
  request.set_evacuations_version(0);
  const auto reply = host.updates(group.now, request);
  BOOST_TEST(reply.evacuations().version() == 2U);
  BOOST_REQUIRE(reply.evacuations().unconfirmed_size() == 1);
  BOOST_TEST(reply.evacuations().unconfirmed(0) == "a");
  for (std::uint64_t n = 1; n <= 3; ++n)
    if (n != id) group.start(n);
  group.run(milliseconds(3'000));
  const auto confirmed = group.host(id).updates(group.now, request);
  BOOST_TEST(confirmed.evacuations().version() == 3U);
  BOOST_TEST(confirmed.evacuations().unconfirmed_size() == 0);
}

// Guards against a copy of an order that waited while its control host was suspended and undoes a
// later order.
BOOST_AUTO_TEST_CASE(an_order_received_during_a_suspension_is_not_executed) {
  wire::evacuation_request request;
  request.mutable_order()->set_zone("a");
  auto& host = group.host(group.leader());
  BOOST_TEST(!host.receive_evacuation(group.now + milliseconds(4'000), request));
  host.tick(group.now + milliseconds(4'000));
  request.mutable_order()->clear_base_version();
  BOOST_TEST(!host.receive_evacuation(group.now + milliseconds(4'100), request));
}

// Guards against an order that waits for the next reply, and against replies without end to a host
// that has the evacuations or does not understand them.
BOOST_AUTO_TEST_CASE(a_higher_version_is_an_urgent_update) {
  order("a", true);
  auto& host = group.host(group.leader());
  wire::news_request request;
  request.set_source(host.source());
  BOOST_TEST(!host.has_urgent_update(group.now, request));
  request.set_evacuations_version(0);
  BOOST_TEST(host.has_urgent_update(group.now, request));
  BOOST_TEST(host.updates(group.now, request).evacuations().version() == 1U);
  request.set_evacuations_version(1);
  BOOST_TEST(!host.has_urgent_update(group.now, request));
  BOOST_TEST(!host.updates(group.now, request).has_evacuations());
}

// Guards against an order that is lost or takes effect twice when its leader is killed between the
// order and the acknowledgement, and the receiving host gives it to the next leader.
BOOST_AUTO_TEST_CASE(an_order_takes_effect_once_when_its_leader_is_lost) {
  const auto lost = group.leader();
  const auto request = received(lost % 3 + 1, "a", true);
  group.host(lost).evacuate(group.now, 1, request);
  group.observe(lost);
  group.run(control_group::step_time);
  group.stop(lost);
  group.run(milliseconds(3'000));
  const auto reply = execute(request);
  BOOST_TEST((reply.result() == wire::apply_reply::accepted));
  BOOST_TEST(reply.revision() == 1U);
  group.start(lost);
  group.run(milliseconds(1'000));
  for (std::uint64_t id = 1; id <= 3; ++id)
    BOOST_TEST(group.host(id).evacuations().version() == 1U);
}

// Guards against an order that is acknowledged by a leader without a quorum and lost with it.
BOOST_AUTO_TEST_CASE(an_order_without_a_quorum_is_not_acknowledged) {
  const auto old_leader = group.leader();
  const auto request = received(old_leader, "a", true);
  group.isolate(old_leader);
  const auto submitted = group.host(old_leader).evacuate(group.now, 1, request);
  group.observe(old_leader);
  group.run(milliseconds(1'500));
  const auto reply = group.host(old_leader).evacuation_reply_for(submitted.pending);
  BOOST_TEST((!reply || reply->result() != wire::apply_reply::accepted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
