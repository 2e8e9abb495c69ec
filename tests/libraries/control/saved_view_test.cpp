#include "support/control_group.h"
#include "zinniarelay/control/view_store.h"

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

BOOST_AUTO_TEST_SUITE(saved_view_test)

// Guards against callers that wait for an election and for reports of all upstreams after all
// hosts have lost power, and against a partitioned host that serves an old declaration as
// current.
BOOST_AUTO_TEST_CASE(restored_view_is_served_for_limited_time) {
  control_group group(1, 3, {});
  auto& host = group.host(1); // has received no message yet
  BOOST_TEST(!host.updates(group.now, {}).has_declaration());
  host.restore_view(group.now, view_of(7));
  const auto reply = host.updates(group.now, {});
  BOOST_TEST(reply.recalled());
  BOOST_TEST(reply.declaration().version() == 7U);
  BOOST_TEST(reply.upstreams().reports_size() == 2);
  BOOST_TEST(!host.updates(group.now + milliseconds(5'000), {}).recalled());
}

// Guards against a restored declaration that stays in force after contact with a quorum, or
// that is reported as confirmed.
BOOST_AUTO_TEST_CASE(quorum_contact_ends_use_of_restored_view) {
  control_group group(1, 3, {});
  group.host(1).restore_view(group.now, view_of(7));
  group.run(milliseconds(3'000));
  const auto reply = group.host(1).updates(group.now, {});
  BOOST_TEST(!reply.recalled());
  BOOST_TEST(reply.quorum_age_ms() < 1'000U);
}

// Guards against a restart of a control host that puts a draining or gone upstream back into
// service.
BOOST_AUTO_TEST_CASE(view_keeps_draining_upstreams_and_omits_gone_ones) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.restore_view(group.now, view_of(7));
  auto gone = upstream_report::from_wire(report_of("i-1", wire::upstream_gone)).value();
  gone.sequence = 6;
  host.merge_report(group.now, gone);
  const auto view = host.current_view(group.now, saved_ms);
  BOOST_TEST(view.declaration().version() == 7U);
  BOOST_TEST_REQUIRE(view.upstreams_size() == 1);
  BOOST_TEST(view.upstreams(0).id() == "i-2");
  BOOST_TEST((view.upstreams(0).state() == wire::upstream_draining));
}

// Guards against restoring an upstream with each restart of a partitioned host, after the
// upstream has ended without a final report.
BOOST_AUTO_TEST_CASE(view_omits_upstreams_without_recent_reports) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.restore_view(group.now, view_of(7));
  BOOST_TEST(host.current_view(group.now + milliseconds(5'000), saved_ms).upstreams_size() == 2);
  BOOST_TEST(host.current_view(group.now + milliseconds(30'000), saved_ms).upstreams_size() == 0);
}

// Guards against changes that are not saved, and against a write for each refresh.
BOOST_AUTO_TEST_CASE(view_position_changes_only_with_content) {
  control_group group(1, 3, {});
  auto& host = group.host(1);
  host.restore_view(group.now, view_of(7));
  const auto before = host.current_view_position();
  auto report = upstream_report::from_wire(report_of("i-1", wire::upstream_ready)).value();
  report.sequence = 6;
  host.merge_report(group.now, report);
  BOOST_TEST((host.current_view_position() == before));
  report.sequence = 7;
  report.condition = upstream_report::state::draining;
  host.merge_report(group.now, report);
  BOOST_TEST(!(host.current_view_position() == before));
}

// Guards against loading a view after a long downtime. It would restore upstreams that all
// other hosts have removed.
BOOST_AUTO_TEST_CASE(old_view_is_not_loaded) {
  memory_storage files;
  view_store store(files);
  BOOST_TEST(!store.load(saved_ms).value().has_value());
  BOOST_TEST(store.save(view_of(7)).has_value());
  BOOST_TEST(store.load(saved_ms + 5'000).value().has_value());
  BOOST_TEST(!store.load(saved_ms + 100'000).value().has_value());
  BOOST_TEST(!store.load(saved_ms - 100'000).value().has_value());
}

// Guards against serving a torn file, and against a process that exits because of it.
BOOST_AUTO_TEST_CASE(damaged_view_is_an_error) {
  memory_storage files;
  view_store store(files);
  BOOST_TEST(store.save(view_of(7)).has_value());
  files.damage("recall", 20);
  BOOST_TEST((store.load(saved_ms).error().kind == error_kind::corrupted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
