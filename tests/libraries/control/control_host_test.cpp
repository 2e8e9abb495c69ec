#include "zinniarelay/control/control_host.h"

#include "support/control_group.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

wire::sync_request poll_of(std::uint32_t host, std::uint64_t revision) {
  wire::sync_request out;
  out.set_revision(revision);
  out.mutable_status()->set_host(host);
  out.mutable_status()->set_peer_address("10.0.1.1:" + std::to_string(host));
  out.mutable_status()->set_revision(revision);
  return out;
}

wire::members_request request_of(wire::members_request::action_kind action,
                                 const std::string& operation, std::uint64_t id) {
  wire::members_request out;
  out.set_action(action);
  out.set_operation_id(operation);
  out.set_author("ana");
  *out.mutable_member() = control_group::control_member_of(id);
  return out;
}

struct founded_group {
  founded_group() { group.run(milliseconds(3'000)); }
  control_group group{1, 3, {}};
};

BOOST_AUTO_TEST_SUITE(control_host_test)

// Guards against using the data folder of another host or cluster.
BOOST_AUTO_TEST_CASE(foreign_folder_is_refused) {
  memory_storage files;
  random_engine engine(1);
  control_host_settings settings;
  settings.self = control_group::control_member_of(1);
  settings.founders = {control_group::control_member_of(1)};
  BOOST_TEST(control_host::initialize(files, settings, engine).has_value());
  BOOST_TEST(
      (control_host::initialize(files, settings, engine).error().kind == error_kind::conflict));
  settings.cluster = 8;
  BOOST_TEST(
      (control_host::open(files, settings, engine, {}).error().kind == error_kind::conflict));
  settings.cluster = 0;
  settings.self = control_group::control_member_of(2);
  BOOST_TEST(
      (control_host::open(files, settings, engine, {}).error().kind == error_kind::conflict));
}

// Guards against an even number of voters, which tolerates no more failures than one voter
// fewer and can be partitioned into equal halves.
BOOST_AUTO_TEST_CASE(even_number_of_founders_is_refused) {
  memory_storage files;
  random_engine engine(1);
  control_host_settings settings;
  settings.self = control_group::control_member_of(1);
  settings.founders = {control_group::control_member_of(1), control_group::control_member_of(2)};
  BOOST_TEST(
      (control_host::initialize(files, settings, engine).error().kind == error_kind::malformed));
}

// Guards against operators that cannot find the leader.
BOOST_FIXTURE_TEST_CASE(follower_reply_names_the_leader, founded_group) {
  const auto leader = group.leader();
  const auto follower = leader == 1 ? 2 : 1;
  const auto reply =
      group.host(follower).apply(group.now, 1, control_group::request_of("a", 0, {80})).reply;
  BOOST_TEST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->result() == wire::apply_reply::not_leader);
  BOOST_TEST(reply->leader_address() == control_group::control_member_of(leader).address());
}

// Guards against unattributed operations in the audit trail.
BOOST_FIXTURE_TEST_CASE(operation_without_identifier_or_author_is_refused, founded_group) {
  auto& host = group.host(group.leader());
  auto request = control_group::request_of("", 0, {80});
  BOOST_TEST(host.apply(group.now, 1, request).reply.value().result() ==
             wire::apply_reply::invalid);
  request.set_operation_id("a");
  request.clear_author();
  BOOST_TEST(host.apply(group.now, 1, request).reply.value().result() ==
             wire::apply_reply::invalid);
}

// Guards against accepting invalid declarations from a client that skips the checks of
// zinniactl, and against refused attempts without an audit record.
BOOST_FIXTURE_TEST_CASE(invalid_declaration_is_refused_and_audited, founded_group) {
  auto request = control_group::request_of("a", 0, {80, 81});
  request.mutable_services(0)->mutable_methods(0)->set_kind(wire::method_kind_unset);
  request.mutable_services(1)->set_address("10.9.0.1");
  const auto reply = group.apply(request, milliseconds(3'000));
  BOOST_TEST(reply.result() == wire::apply_reply::invalid);
  BOOST_TEST(reply.cause().find("services[0].methods[0].kind") != std::string::npos);
  BOOST_TEST(reply.cause().find("services[1].address") != std::string::npos);
  const auto& state = group.host(group.leader()).state();
  BOOST_TEST(state.revision() == 0U);
  BOOST_TEST(state.audit(0, 10).size() == 1U);
}

// Guards against a status that lists a stopped host as present.
BOOST_FIXTURE_TEST_CASE(host_statuses_age_and_expire, founded_group) {
  auto& host = group.host(1);
  host.sync(group.now, poll_of(9, 0));
  group.run(milliseconds(2'000));
  BOOST_TEST_REQUIRE(host.status(group.now).hosts_size() == 1);
  BOOST_TEST(host.status(group.now).hosts(0).age_ms() == 2'000U);
  group.run(control_host_settings{}.status_lifetime);
  BOOST_TEST(host.status(group.now).hosts_size() == 0);
}

// Guards against poll replies whose size grows with the number of hosts, and against listing
// hosts that no longer report.
BOOST_FIXTURE_TEST_CASE(sync_lists_a_bounded_number_of_recent_hosts, founded_group) {
  auto& host = group.host(1);
  for (std::uint32_t n = 1; n <= 100; ++n)
    host.sync(group.now, poll_of(n, 0));
  const auto reply = host.sync(group.now, poll_of(1, 0));
  BOOST_TEST(reply.hosts_size() == 16);
  for (const auto& it : reply.hosts())
    BOOST_TEST(it.host() != 1U);
  group.run(milliseconds(11'000));
  BOOST_TEST(host.sync(group.now, poll_of(1, 0)).hosts_size() == 0);
}

// Guards against an intermediate group of two voters on the way from one voter to three, and
// against membership changes without an audit record.
BOOST_AUTO_TEST_CASE(two_learners_become_voters_in_one_step) {
  control_group group(1, 1, {});
  group.run(milliseconds(3'000));
  for (const std::uint64_t id : {2U, 3U}) {
    group.add(id);
    group.start(id);
    const auto name = "add" + std::to_string(id);
    BOOST_TEST(
        group.change(request_of(wire::members_request::add_learner, name, id), milliseconds(3'000))
            .accepted());
  }
  group.run(milliseconds(1'000));
  auto promote = request_of(wire::members_request::promote, "alone", 2);
  BOOST_TEST(!group.change(promote, milliseconds(3'000)).accepted());
  promote.set_operation_id("both");
  promote.add_also(3);
  const auto reply = group.change(promote, milliseconds(3'000));
  BOOST_TEST(reply.accepted(), reply.cause());
  BOOST_TEST(group.host(group.leader()).node().membership().voter_count() == 3U);
  BOOST_TEST(group.change(promote, milliseconds(3'000)).accepted()); // a retry
  group.run(milliseconds(1'000));
  std::vector<std::pair<std::string, bool>> trail;
  for (const auto& it : group.host(2).state().audit(0, 10))
    trail.emplace_back(it.operation_id(), it.accepted());
  BOOST_TEST_REQUIRE(trail.size() == 4U);
  BOOST_TEST(trail[2].first.starts_with("alone"));
  BOOST_TEST(!trail[2].second);
  BOOST_TEST(trail[3].first == "both");
  BOOST_TEST(trail[3].second);
}

// Guards against a learner that never receives the state because it joins after compaction.
BOOST_AUTO_TEST_CASE(learner_gets_a_snapshot_in_chunks) {
  control_host_settings settings;
  settings.compaction_entries = 20;
  settings.raft.retained_entries = 2;
  settings.raft.chunk_bytes = 200;
  control_group group(1, 1, settings);
  group.run(milliseconds(3'000));
  for (std::uint64_t n = 0; n < 50; ++n)
    group.apply(control_group::request_of("op" + std::to_string(n), n,
                                          {static_cast<std::uint32_t>(100 + n)}),
                milliseconds(1'000));
  group.add(2);
  group.start(2);
  group.change(request_of(wire::members_request::add_learner, "add", 2), milliseconds(3'000));
  group.run(milliseconds(5'000));
  BOOST_TEST(group.host(2).node().log().snapshot_index() > 0U);
  BOOST_TEST(group.host(2).state().digest() == group.host(1).state().digest());
}

// Guards against a host that exits because its disk is full for a while, and against a host
// that continues with a log that is not on its disk.
BOOST_FIXTURE_TEST_CASE(host_survives_failed_writes, founded_group) {
  group.keeps_failed_hosts = true;
  const auto failed = group.leader();
  group.members.at(failed)->files.crash_after(0, 7);
  const auto unsaved = control_group::request_of("a", 0, {80});
  group.submit(failed, unsaved);
  BOOST_TEST_REQUIRE(group.has_failed(failed));
  BOOST_TEST((group.host(failed).reopen(group.now).error().kind == error_kind::io));
  group.run(milliseconds(3'000));
  BOOST_TEST(group.leader() != failed);
  group.reopen(failed);
  BOOST_TEST_REQUIRE(!group.has_failed(failed));
  BOOST_TEST(group.apply(control_group::request_of("b", 0, {81}), milliseconds(3'000)).result() ==
             wire::apply_reply::accepted);
  group.run(milliseconds(2'000));
  BOOST_TEST(group.host(failed).state().digest() == group.host(group.leader()).state().digest());
  BOOST_TEST(group.history.violation() == "");
}

// Guards against a second identity for the id of a host whose disk was lost.
BOOST_FIXTURE_TEST_CASE(emptied_folder_is_not_reopened, founded_group) {
  group.keeps_failed_hosts = true;
  group.members.at(1)->files.remove_all();
  const auto writes = group.members.at(1)->files.write_count();
  BOOST_TEST((group.host(1).reopen(group.now).error().kind == error_kind::conflict));
  BOOST_TEST(group.members.at(1)->files.write_count() == writes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
