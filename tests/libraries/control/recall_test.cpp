#include "support/control_group.h"
#include "zinniarelay/control/recall_store.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

constexpr std::uint64_t saved_ms = 1'700'000'000'000;

wire::upstream_report report_of(const std::string& id, wire::upstream_state state) {
  wire::upstream_report out;
  out.set_id(id);
  out.set_started_ms(1'000);
  out.set_sequence(5);
  out.set_service("registry");
  out.set_address(0x0A00'0001);
  out.set_port(static_cast<std::uint32_t>(80 + id.back()));
  out.set_zone("a");
  out.set_slots(3);
  out.set_state(state);
  return out;
}

wire::recalled_view view_of(std::uint64_t version) {
  wire::recalled_view out;
  out.set_saved_ms(saved_ms);
  out.mutable_declaration()->set_version(version);
  *out.add_upstreams() = report_of("i-1", wire::upstream_ready);
  *out.add_upstreams() = report_of("i-2", wire::upstream_draining);
  return out;
}

BOOST_AUTO_TEST_SUITE(recall_test)

// Guards against callers that wait for an election and for the reports of all upstreams
// after a loss of all power, and against a host that is cut off and passes an old
// declaration off as current.
BOOST_AUTO_TEST_CASE(started_host_serves_what_it_recalls_until_it_may_be_cut_off) {
  control_group group(1, 3, {});
  auto& host = group.host(1); // no message has reached it yet
  BOOST_TEST(!host.news(group.now, {}).has_declaration());
  host.recall(group.now, view_of(7));
  const auto reply = host.news(group.now, {});
  BOOST_TEST(reply.recalled());
  BOOST_TEST(reply.declaration().version() == 7U);
  BOOST_TEST(reply.upstreams().reports_size() == 2);
  BOOST_TEST(!host.news(group.now + milliseconds(5'000), {}).recalled());
}

// Guards against a recalled declaration that stays in force, or is called confirmed.
BOOST_AUTO_TEST_CASE(quorum_ends_recalling) {
  control_group group(1, 3, {});
  group.host(1).recall(group.now, view_of(7));
  group.run(milliseconds(3'000));
  const auto reply = group.host(1).news(group.now, {});
  BOOST_TEST(!reply.recalled());
  BOOST_TEST(reply.quorum_age_ms() < 1'000U);
}

// Guards against an upstream that returns to service because its control host restarted.
BOOST_AUTO_TEST_CASE(view_keeps_a_leaving_upstream_leaving_and_omits_one_that_has_gone) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.recall(group.now, view_of(7));
  auto gone = upstream_report::from_wire(report_of("i-1", wire::upstream_gone)).value();
  gone.sequence = 6;
  host.report(group.now, gone);
  const auto view = host.view(group.now, saved_ms);
  BOOST_TEST(view.declaration().version() == 7U);
  BOOST_TEST_REQUIRE(view.upstreams_size() == 1);
  BOOST_TEST(view.upstreams(0).id() == "i-2");
  BOOST_TEST((view.upstreams(0).state() == wire::upstream_draining));
}

// Guards against an upstream that ended unseen and returns with each restart of a host that
// is cut off.
BOOST_AUTO_TEST_CASE(view_omits_upstreams_that_have_been_silent_for_long) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.recall(group.now, view_of(7));
  BOOST_TEST(host.view(group.now + milliseconds(5'000), saved_ms).upstreams_size() == 2);
  BOOST_TEST(host.view(group.now + milliseconds(30'000), saved_ms).upstreams_size() == 0);
}

// Guards against changes that are not saved, and against a write for each refresh.
BOOST_AUTO_TEST_CASE(position_of_view_follows_changes_of_content_only) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.recall(group.now, view_of(7));
  const auto before = host.position_of_view();
  auto report = upstream_report::from_wire(report_of("i-1", wire::upstream_ready)).value();
  report.sequence = 6;
  host.report(group.now, report);
  BOOST_TEST((host.position_of_view() == before));
  report.sequence = 7;
  report.condition = upstream_report::state::draining;
  host.report(group.now, report);
  BOOST_TEST(!(host.position_of_view() == before));
}

// Guards against a view from before a long absence, which would bring back upstreams
// that all other hosts have forgotten.
BOOST_AUTO_TEST_CASE(old_view_is_not_loaded) {
  memory_storage files;
  recall_store store(files);
  BOOST_TEST(!store.load(saved_ms).value().has_value());
  BOOST_TEST(store.save(view_of(7)).has_value());
  BOOST_TEST(store.load(saved_ms + 5'000).value().has_value());
  BOOST_TEST(!store.load(saved_ms + 100'000).value().has_value());
  BOOST_TEST(!store.load(saved_ms - 100'000).value().has_value());
}

// Guards against a torn file being served, and against the process ending for it.
BOOST_AUTO_TEST_CASE(damaged_view_is_an_error) {
  memory_storage files;
  recall_store store(files);
  BOOST_TEST(store.save(view_of(7)).has_value());
  files.damage("recall", 20);
  BOOST_TEST((store.load(saved_ms).error().kind == error_kind::corrupted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
