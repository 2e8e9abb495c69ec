#include "support/control_group.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/control/group_identity.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;
using ticket = control_host::ticket;

constexpr milliseconds join_interval{100};
constexpr milliseconds reply_limit{200};
constexpr milliseconds wait_limit = group_settings().full_size_wait;

control_host_settings self_forming(std::uint32_t losses) {
  control_host_settings out;
  out.group.emplace();
  out.group->tolerated_losses = losses;
  // Small limits make short runs write snapshots.
  out.compaction_entries = 4;
  out.raft.retained_entries = 2;
  return out;
}

wire::version_request version_of(std::uint64_t version) {
  wire::version_request out;
  out.set_author("ana");
  out.mutable_proposed()->mutable_declaration()->set_version(version);
  out.mutable_proposed()->set_document(std::to_string(version));
  return out;
}

/// Three founders and further hosts that request to join as the daemon does.
struct forming_group {
  forming_group(std::uint64_t seed, std::uint32_t losses, std::uint64_t hosts = 3)
      : group(seed, 3, self_forming(losses)) {
    for (std::uint64_t id = 4; id <= hosts; ++id)
      add(id);
  }

  void add(std::uint64_t id) {
    group.add(id);
    group.start(id);
  }

  void run(milliseconds duration) { group.run_joining(duration, join_interval); }

  /// Waits until there is a leader that is in contact with a quorum.
  std::uint64_t elect() {
    for (int n = 0; n < 50; ++n, run(join_interval))
      if (const auto id = group.leader(); id != 0 && group.host(id).begin_read(group.now))
        return id;
    return 0;
  }

  /// Sends a declaration to a host again until it is acknowledged. Returns whether it was.
  bool is_acknowledged(std::uint64_t version, milliseconds limit) {
    for (const auto end = group.now + limit; group.now < end; run(join_interval)) {
      const auto id = group.leader();
      if (id == 0) continue;
      const auto submitted = group.host(id).apply_version(group.now, 1, version_of(version));
      group.observe(id);
      if (submitted.reply && submitted.reply->result() == wire::version_reply::accepted)
        return true;
      if (submitted.reply) continue;
      for (const auto retry = group.now + reply_limit; group.now < retry && group.is_up(id);) {
        group.run(control_group::step_time);
        const auto reply = group.host(id).version_reply_for(submitted.pending);
        if (reply && reply->result() == wire::version_reply::accepted) return true;
      }
    }
    return false;
  }

  double metric(std::uint64_t id, const std::string& name) {
    const auto report = group.host(id).metrics(group.now);
    for (const auto& it : report.metrics())
      if (it.name() == name) return it.value();
    return -1;
  }

  bool has_warning(const std::string& text) const {
    return std::any_of(group.warnings.begin(), group.warnings.end(),
                       [&](const auto& it) { return it.find(text) != std::string::npos; });
  }

  /// Replaces the disk of a host by an empty one; the host is a new member at the same address.
  void lose_disk(std::uint64_t id, std::uint64_t next_id) {
    group.stop(id);
    auto& replacement = group.add(next_id);
    replacement.settings.self.set_address(control_group::control_member_of(id).address());
    group.start(next_id);
  }

  control_group group;
};

BOOST_AUTO_TEST_SUITE(group_start_test)

// Guards against a group without a quorum after as many losses as it is configured to tolerate,
// because it acknowledged a declaration while only its founders were voters.
BOOST_AUTO_TEST_CASE(first_acknowledgement_survives_configured_losses) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    forming_group fixture(seed, 2);
    auto& group = fixture.group;
    fixture.run(milliseconds(300));
    fixture.add(4);
    fixture.add(5);
    BOOST_TEST_REQUIRE(fixture.is_acknowledged(7, milliseconds(6'000)), "seed " << seed);
    const auto first = group.leader();
    fixture.lose_disk(first, 11);
    fixture.lose_disk(first % 3 + 1, 12);
    fixture.run(milliseconds(15'000));
    const auto leader = fixture.elect();
    BOOST_TEST_REQUIRE(leader != 0U, "seed " << seed);
    BOOST_TEST(group.host(leader).flows().declaration().version() == 7U, "seed " << seed);
    BOOST_TEST(fixture.is_acknowledged(8, milliseconds(3'000)), "seed " << seed);
  }
}

// Guards against an acknowledgement of any operator's request before the group has its full size,
// also of a request that is sent again, and to a host that has applied it.
BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_before_the_group_has_its_full_size) {
  forming_group fixture(1, 2);
  auto& group = fixture.group;
  const auto leader = fixture.elect();
  auto& host = group.host(leader);
  const auto declaration = host.apply_version(group.now, 1, version_of(7));
  const auto request = control_group::request_of("a", 0, {80});
  const auto services = host.apply(group.now, 1, request);
  wire::drain_request drain;
  drain.set_operation_id("d");
  drain.set_author("ana");
  drain.mutable_drain()->set_target(9);
  drain.mutable_drain()->set_active(true);
  const auto drained = host.drain(group.now, 1, drain);
  group.observe(leader);
  const auto has_reply = [&] {
    return host.version_reply_for(declaration.pending) ||
           host.apply_reply_for(services.pending, request) || host.drain_reply_for(drained.pending);
  };
  for (const auto end = group.now + wait_limit / 2; group.now < end; fixture.run(join_interval)) {
    BOOST_TEST_REQUIRE(!has_reply());
    for (std::uint64_t id = 1; id <= 3; ++id) {
      const auto again = group.host(id).apply_version(group.now, 1, version_of(7)).reply;
      BOOST_TEST_REQUIRE((!again || again->result() != wire::version_reply::accepted));
    }
  }
  BOOST_TEST(host.flows().declaration().version() == 7U);
  BOOST_TEST(fixture.metric(leader, "control_acknowledgements_held") == 1.0);
  fixture.add(4);
  fixture.add(5);
  fixture.run(milliseconds(4'000));
  BOOST_TEST(fixture.metric(leader, "control_acknowledgements_held") == 0.0);
  BOOST_TEST((host.version_reply_for(declaration.pending).value().result() ==
              wire::version_reply::accepted));
  BOOST_TEST((host.apply_reply_for(services.pending, request).value().result() ==
              wire::apply_reply::accepted));
  BOOST_TEST(host.drain_reply_for(drained.pending).has_value());
}

// Guards against a group that accepts no change any more because it has fewer hosts than its
// configuration requires, and against serving so without a warning.
BOOST_AUTO_TEST_CASE(group_with_fewer_hosts_acknowledges_after_a_bounded_wait) {
  forming_group fixture(1, 2);
  const auto leader = fixture.elect();
  BOOST_TEST(!fixture.has_warning("tolerates"));
  BOOST_TEST(fixture.is_acknowledged(7, wait_limit + milliseconds(1'000)));
  BOOST_TEST(fixture.has_warning("3 of 5 voters; the group tolerates 1 instead of 2 losses"));
  BOOST_TEST(fixture.metric(leader, "control_voters") == 3.0);
  BOOST_TEST(fixture.metric(leader, "control_tolerated_losses") == 1.0);
  fixture.group.stop(leader % 3 + 1);
  fixture.run(milliseconds(2'000));
  BOOST_TEST(fixture.metric(leader, "control_tolerated_losses") == 0.0);
}

// Guards against an acknowledgement that the wait of an earlier leader permits: the next leader
// does not know how far the group had grown.
BOOST_AUTO_TEST_CASE(next_leader_waits_again) {
  forming_group fixture(1, 2);
  auto& group = fixture.group;
  const auto first = fixture.elect();
  fixture.run(wait_limit - milliseconds(1'000));
  group.stop(first);
  const auto second = fixture.elect();
  BOOST_TEST_REQUIRE(second != 0U);
  BOOST_TEST(!fixture.is_acknowledged(7, milliseconds(2'000)));
  BOOST_TEST(fixture.is_acknowledged(7, wait_limit));
}

// Guards against a delay while the group repairs itself: with one voter fewer, an acknowledged
// change still survives the remaining losses.
BOOST_AUTO_TEST_CASE(acknowledgements_continue_during_a_repair) {
  forming_group fixture(1, 1, 4);
  fixture.run(milliseconds(3'000));
  fixture.group.stop(fixture.group.leader() % 3 + 1);
  for (std::uint64_t version = 1; version <= 30; ++version)
    BOOST_TEST(fixture.is_acknowledged(version, milliseconds(300)), "version " << version);
}

// Guards against a group that cannot repair the loss of a founder before it has its full size.
BOOST_AUTO_TEST_CASE(disk_lost_during_the_wait_is_repaired) {
  forming_group fixture(1, 2, 5);
  const auto lost = fixture.elect();
  fixture.lose_disk(lost, 11);
  BOOST_TEST(fixture.is_acknowledged(7, wait_limit));
  const auto leader = fixture.group.leader();
  BOOST_TEST(fixture.group.host(leader).node().membership().voter_count() == 5U);
}

// Interrupted starts.

// Guards against a folder from which no start succeeds because the process was killed during the
// bootstrap. The second start may already have settings without `first_start`.
BOOST_AUTO_TEST_CASE(bootstrap_continues_after_a_kill_at_each_write) {
  const std::vector<endpoint> seeds{{0x0A00'0001, 7000}, {0x0A00'0002, 7000}, {0x0A00'0003, 7000}};
  for (const bool is_first_start_repeated : {true, false}) {
    for (std::size_t writes = 0; writes < 4; ++writes) {
      memory_storage files;
      random_engine engine(3);
      const auto start = [&](bool is_first_start) -> result<control_host> {
        auto settings = self_forming(1);
        settings.self.set_address(seeds[1].to_string());
        ZINNIA_TRY(assign_identity(files, settings, seeds, is_first_start, engine));
        return control_host::open(files, settings, engine, {});
      };
      files.crash_after(writes, 0);
      static_cast<void>(start(true));
      files.restart();
      // Without any file the folder is that of a host with an empty disk.
      const bool has_begun = writes > 0;
      const auto host = start(is_first_start_repeated);
      BOOST_TEST_REQUIRE(host.has_value(), "writes " << writes);
      const bool is_founder = is_first_start_repeated || has_begun;
      BOOST_TEST((host.value().node().id() == founder_id(seeds[1])) == is_founder);
      BOOST_TEST(host.value().node().membership().voter_count() == (is_founder ? 3U : 0U));
      BOOST_TEST(start(false).has_value(), "writes " << writes);
    }
  }
}

// Guards against an interrupted bootstrap whose founders stay in the folder of a host that then
// joins as a new member at another address.
BOOST_AUTO_TEST_CASE(interrupted_bootstrap_is_discarded_at_another_address) {
  const std::vector<endpoint> seeds{{0x0A00'0001, 7000}};
  for (std::size_t writes = 0; writes < 4; ++writes) {
    memory_storage files;
    random_engine engine(3);
    auto settings = self_forming(1);
    settings.self.set_address(seeds[0].to_string());
    files.crash_after(1, 0);
    BOOST_TEST(!assign_identity(files, settings, seeds, true, engine).has_value());
    files.restart();
    const auto start = [&]() -> result<control_host> {
      auto moved = self_forming(1);
      moved.self.set_address("10.0.0.9:7000");
      ZINNIA_TRY(assign_identity(files, moved, seeds, false, engine));
      return control_host::open(files, moved, engine, {});
    };
    files.crash_after(writes, 0);
    static_cast<void>(start());
    files.restart();
    for (int n = 0; n < 2; ++n) {
      const auto host = start();
      const auto failure_cause = host.has_value() ? "" : host.error().cause;
      BOOST_TEST_REQUIRE(failure_cause == "", "writes " << writes << ": " << failure_cause);
      BOOST_TEST(host.value().node().membership().members.empty());
    }
  }
}

// Guards against a group that never forms because its founders were killed during their first
// start.
BOOST_AUTO_TEST_CASE(group_forms_after_founders_were_killed_at_each_write) {
  for (std::size_t writes = 0; writes < 4; ++writes) {
    forming_group fixture(writes + 1, 1);
    auto& group = fixture.group;
    for (const std::uint64_t id : {2U, 3U}) {
      group.stop(id);
      auto& member = *group.members.at(id);
      member.files.remove_all();
      member.files.crash_after(writes, 0);
      static_cast<void>(control_host::initialize(member.files, member.settings, group.engine));
      member.files.restart();
      static_cast<void>(control_host::initialize(member.files, member.settings, group.engine));
      group.start(id);
      BOOST_TEST_REQUIRE(member.open_failure == "", "writes " << writes);
    }
    BOOST_TEST(fixture.is_acknowledged(1, milliseconds(4'000)), "writes " << writes);
  }
}

/// Runs a host that crashes after some of its writes and restarts. Returns whether it crashed.
bool run_and_restart(forming_group& fixture, std::uint64_t id, std::size_t writes) {
  auto& member = *fixture.group.members.at(id);
  member.files.crash_after(writes, 7);
  fixture.run(milliseconds(4'000));
  const bool has_crashed = member.host == nullptr;
  fixture.group.stop(id);
  fixture.group.start(id);
  BOOST_TEST_REQUIRE(member.open_failure == "", "writes " << writes);
  fixture.run(milliseconds(4'000));
  return has_crashed;
}

// Guards against a folder from which no start succeeds because the process was killed while it
// joined a group, and received its state as a snapshot and entries.
BOOST_AUTO_TEST_CASE(join_continues_after_a_kill_at_each_write) {
  bool has_crashed = true;
  std::size_t writes = 0;
  for (; has_crashed; ++writes) {
    forming_group fixture(5, 1);
    for (std::uint64_t version = 1; version <= 10; ++version)
      BOOST_TEST_REQUIRE(fixture.is_acknowledged(version, milliseconds(3'000)));
    fixture.add(4);
    has_crashed = run_and_restart(fixture, 4, writes);
    const auto& joined = fixture.group.host(4);
    BOOST_TEST(joined.flows().declaration().version() == 10U, "writes " << writes);
    BOOST_TEST(joined.node().membership().find(4) != nullptr, "writes " << writes);
    BOOST_TEST_REQUIRE(writes < 100U);
  }
  BOOST_TEST(writes > 3U);
}

// Guards against a folder from which no start succeeds because the process was killed while it
// replaced a voter whose disk was lost.
BOOST_AUTO_TEST_CASE(repair_continues_after_a_kill_at_each_write) {
  bool has_crashed = true;
  std::size_t writes = 0;
  for (; has_crashed; ++writes) {
    forming_group fixture(6, 1);
    for (std::uint64_t version = 1; version <= 10; ++version)
      BOOST_TEST_REQUIRE(fixture.is_acknowledged(version, milliseconds(3'000)));
    fixture.lose_disk(fixture.group.leader() % 3 + 1, 9);
    has_crashed = run_and_restart(fixture, 9, writes);
    BOOST_TEST(fixture.group.host(9).node().membership().is_voter(9), "writes " << writes);
    BOOST_TEST(fixture.is_acknowledged(11, milliseconds(2'000)), "writes " << writes);
    BOOST_TEST_REQUIRE(writes < 100U);
  }
  BOOST_TEST(writes > 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
