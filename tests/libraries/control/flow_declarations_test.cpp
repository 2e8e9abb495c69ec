#include "zinniarelay/control/control_host.h"

#include "support/control_group.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

wire::version_request version_of(std::uint64_t version, const std::string& document = "") {
  wire::version_request out;
  out.set_author("ana");
  out.mutable_proposed()->mutable_declaration()->set_version(version);
  out.mutable_proposed()->set_document(document.empty() ? std::to_string(version) : document);
  return out;
}

struct founded_group {
  founded_group() { group.run(milliseconds(3'000)); }

  wire::version_reply apply(std::uint64_t id, const wire::version_request& request) {
    const auto submitted = group.host(id).apply_version(group.now, 1, request);
    group.observe(id);
    if (submitted.reply) return *submitted.reply;
    for (int n = 0; n < 50; ++n) {
      group.run(control_group::step_time);
      if (const auto reply = group.host(id).version_reply_for(submitted.pending)) return *reply;
    }
    return group.host(id).unconfirmed_version();
  }

  wire::read_reply read(std::uint64_t id) {
    const auto pending = group.host(id).begin_read(group.now);
    if (!pending) return {};
    group.observe(id);
    for (int n = 0; n < 20; ++n) {
      group.run(control_group::step_time);
      if (const auto reply = group.host(id).read_reply_for(*pending)) return *reply;
    }
    return {};
  }

  control_group group{1, 3, {}};
};

BOOST_FIXTURE_TEST_SUITE(flow_declarations_test, founded_group)

// Guards against replacing a declaration by an older one, and against refusing a declaration
// that is sent again.
BOOST_AUTO_TEST_CASE(highest_version_is_in_force) {
  const auto leader = group.leader();
  BOOST_TEST((apply(leader, version_of(5)).result() == wire::version_reply::accepted));
  BOOST_TEST((apply(leader, version_of(3)).result() == wire::version_reply::accepted));
  BOOST_TEST((apply(leader, version_of(5)).result() == wire::version_reply::accepted));
  BOOST_TEST((apply(leader, version_of(5, "other")).result() == wire::version_reply::accepted));
  group.run(milliseconds(500));
  for (std::uint64_t id = 1; id <= 3; ++id)
    BOOST_TEST(group.host(id).flows().document() == "5");
}

// Guards against putting the lower of two concurrent declarations in force because its log
// entry is the later one.
BOOST_AUTO_TEST_CASE(higher_of_two_concurrent_versions_is_in_force) {
  const auto leader = group.leader();
  auto& host = group.host(leader);
  host.apply_version(group.now, 1, version_of(9));
  host.apply_version(group.now, 1, version_of(8));
  group.observe(leader);
  group.run(milliseconds(500));
  BOOST_TEST(host.flows().declaration().version() == 9U);
}

// Guards against losing the declaration in a restart or a compaction.
BOOST_AUTO_TEST_CASE(declaration_survives_restarts_and_snapshots) {
  const auto leader = group.leader();
  for (std::uint64_t version = 1; version <= 20; ++version)
    apply(leader, version_of(version));
  for (std::uint64_t id = 1; id <= 3; ++id)
    group.stop(id);
  for (std::uint64_t id = 1; id <= 3; ++id)
    group.start(id);
  group.run(milliseconds(3'000));
  BOOST_TEST(group.host(1).flows().document() == "20");
  const auto copy = control_state::decode(group.host(1).state().encode());
  BOOST_TEST(copy.value().flows().version() == 20U);
}

// Guards against a deposed leader that replies to a read with an older declaration.
BOOST_AUTO_TEST_CASE(read_needs_a_quorum) {
  const auto leader = group.leader();
  BOOST_TEST(read(leader).confirmed());
  const auto follower = leader == 1 ? 2U : 1U;
  BOOST_TEST(!read(follower).confirmed());
  const auto pending = group.host(leader).begin_read(group.now);
  BOOST_REQUIRE(pending.has_value());
  group.isolate(leader);
  group.observe(leader);
  group.run(milliseconds(3'000));
  const auto reply = group.host(leader).read_reply_for(*pending);
  BOOST_TEST((!reply || !reply->confirmed()));
}

// Guards against a read that misses a declaration that was acknowledged earlier.
BOOST_AUTO_TEST_CASE(read_covers_acknowledged_entries) {
  const auto leader = group.leader();
  apply(leader, version_of(4));
  const auto acknowledged = group.host(leader).applied_index();
  BOOST_TEST(read(leader).index() >= acknowledged);
}

// Guards against delaying a newer declaration for entry hosts, and against sending them the
// declaration that they already have.
BOOST_AUTO_TEST_CASE(updates_contain_only_newer_declarations) {
  const auto leader = group.leader();
  apply(leader, version_of(4));
  auto& host = group.host(leader);
  wire::news_request request;
  request.set_source(host.source());
  BOOST_TEST(host.has_urgent_update(group.now, request));
  BOOST_TEST(host.updates(group.now, request).declaration().version() == 4U);
  request.set_version(4);
  BOOST_TEST(!host.has_urgent_update(group.now, request));
  BOOST_TEST(!host.updates(group.now, request).has_declaration());
  request.set_source(host.source() + 1);
  BOOST_TEST(host.has_urgent_update(group.now, request));
}

// Guards against sending each entry host all routes for a change of one, and against a change for
// a host that has an unknown version or does not understand changes.
BOOST_AUTO_TEST_CASE(updates_contain_a_change_where_it_is_accepted) {
  const auto leader = group.leader();
  apply(leader, version_of(4));
  apply(leader, version_of(5));
  auto& host = group.host(leader);
  wire::news_request request;
  request.set_version(4);
  BOOST_TEST(host.updates(group.now, request).has_declaration());
  request.set_accepts_changes(true);
  const auto reply = host.updates(group.now, request);
  BOOST_TEST(!reply.has_declaration());
  BOOST_TEST(reply.change().base_version() == 4U);
  BOOST_TEST(reply.change().version() == 5U);
  request.set_version(3);
  BOOST_TEST(host.updates(group.now, request).has_declaration());
}

// Guards against requests that entry hosts repeat all the time while there is no quorum.
BOOST_AUTO_TEST_CASE(request_that_requires_a_quorum_waits_for_one) {
  auto& host = group.host(group.leader());
  wire::news_request request;
  request.set_quorum_required(true);
  BOOST_TEST(host.has_urgent_update(group.now, request));
  BOOST_TEST(!host.has_urgent_update(group.now + milliseconds(5'000), request));
  request.set_quorum_required(false);
  BOOST_TEST(host.has_urgent_update(group.now + milliseconds(5'000), request));
}

// Guards against a process that exits because a declaration on its disk is damaged.
BOOST_AUTO_TEST_CASE(damaged_declaration_is_a_warning) {
  memory_storage files;
  random_engine engine(1);
  control_host_settings settings;
  settings.self = control_group::control_member_of(1);
  settings.founders = {control_group::control_member_of(1)};
  BOOST_TEST_REQUIRE(control_host::initialize(files, settings, engine).has_value());
  wire::control_command command;
  command.set_operation_id("version 3");
  command.set_author("ana");
  command.mutable_version()->set_version(3);
  command.mutable_version()->set_content("not compressed");
  control_state state;
  state.apply(1, command);
  log_store store(files);
  auto snapshot = *store.load().value().snapshot;
  snapshot.set_state(state.encode());
  BOOST_TEST_REQUIRE(store.write_snapshot(snapshot, {}).has_value());
  auto host = control_host::open(files, settings, engine, {});
  BOOST_TEST_REQUIRE(host.has_value());
  BOOST_TEST(host.value().flows().declaration().version() == 0U);
  BOOST_TEST(host.value().take_warnings().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
