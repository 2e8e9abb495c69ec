#include "zinniarelay/control/group_policy.h"

#include "support/control_group.h"
#include "zinniarelay/control/group_identity.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

control_host_settings self_forming(std::uint32_t losses) {
  control_host_settings out;
  out.group.emplace();
  out.group->tolerated_losses = losses;
  return out;
}

/// A group of three founders; further hosts request to join as the daemon does.
struct group_fixture {
  explicit group_fixture(std::uint32_t losses = 1) : group(1, 3, self_forming(losses)) {
    group.run(milliseconds(3'000));
  }

  void run(milliseconds duration) { group.run_joining(duration, milliseconds(300)); }

  void add(std::uint64_t id) {
    group.add(id);
    group.start(id);
  }

  std::vector<std::uint64_t> voters() {
    std::vector<std::uint64_t> out;
    for (const auto& it : group.host(group.leader()).node().membership().members)
      if (!it.learner()) out.push_back(it.id());
    std::sort(out.begin(), out.end());
    return out;
  }

  bool is_voter(std::uint64_t id) {
    const auto list = voters();
    return std::find(list.begin(), list.end(), id) != list.end();
  }

  bool is_member(std::uint64_t id) {
    return group.host(group.leader()).node().membership().find(id) != nullptr;
  }

  control_group group;
};

using ids = std::vector<std::uint64_t>;

BOOST_AUTO_TEST_SUITE(group_policy_test)

// Guards against a group that adds no further hosts, or more voters than configured.
BOOST_AUTO_TEST_CASE(additional_host_joins_as_learner) {
  group_fixture fixture;
  fixture.add(4);
  fixture.run(milliseconds(3'000));
  BOOST_TEST(fixture.is_member(4));
  BOOST_TEST((fixture.voters() == ids{1, 2, 3}));
}

// Guards against a group that tolerates fewer losses than configured.
BOOST_AUTO_TEST_CASE(learners_are_promoted_until_configured_losses_are_tolerated) {
  group_fixture fixture(2);
  fixture.add(4);
  fixture.add(5);
  fixture.run(milliseconds(4'000));
  BOOST_TEST((fixture.voters() == ids{1, 2, 3, 4, 5}));
}

// Guards against losing the quorum with a second loss because the first lost voter was not
// replaced.
BOOST_AUTO_TEST_CASE(lost_voter_is_replaced_before_second_loss) {
  group_fixture fixture;
  fixture.add(4);
  fixture.run(milliseconds(3'000));
  const auto first = fixture.group.leader();
  fixture.group.stop(first);
  fixture.run(milliseconds(8'000));
  BOOST_TEST((fixture.voters().size() == 3U));
  BOOST_TEST(fixture.is_voter(4));
  const auto second = fixture.group.leader();
  BOOST_REQUIRE(second != first);
  fixture.group.stop(second);
  fixture.run(milliseconds(4'000));
  BOOST_TEST(fixture.group.leader() != 0U);
}

// Guards against a replaced voter that returns with its old log and cannot join again.
BOOST_AUTO_TEST_CASE(replaced_voter_rejoins_as_learner) {
  group_fixture fixture;
  fixture.add(4);
  fixture.run(milliseconds(3'000));
  const auto lost = fixture.group.leader() == 1 ? 2U : 1U;
  fixture.group.stop(lost);
  fixture.run(milliseconds(5'000));
  BOOST_TEST(!fixture.is_voter(lost));
  fixture.group.start(lost);
  fixture.run(milliseconds(5'000));
  BOOST_TEST(fixture.is_member(lost));
  BOOST_TEST(fixture.voters().size() == 3U);
}

// Guards against a vote with the identity of a lost disk. A host that returns with an empty
// disk at the address of a voter is a new member and replaces that voter.
BOOST_AUTO_TEST_CASE(host_with_empty_disk_replaces_voter_at_its_address) {
  group_fixture fixture;
  const auto lost = fixture.group.leader() == 1 ? 2U : 1U;
  fixture.group.stop(lost);
  auto& replacement = fixture.group.add(9);
  replacement.settings.self.set_address(control_group::control_member_of(lost).address());
  fixture.group.start(9);
  fixture.run(milliseconds(6'000));
  BOOST_TEST(fixture.is_voter(9));
  BOOST_TEST(!fixture.is_voter(lost));
  BOOST_TEST(!fixture.is_member(lost));
}

// Guards against a membership change by a leader that has lost the quorum.
BOOST_AUTO_TEST_CASE(partitioned_leader_makes_no_membership_change) {
  group_fixture fixture;
  fixture.add(4);
  fixture.run(milliseconds(3'000));
  const auto old_leader = fixture.group.leader();
  fixture.group.isolate(old_leader);
  fixture.run(milliseconds(6'000));
  const auto& membership = fixture.group.host(old_leader).node().membership();
  BOOST_TEST(membership.is_voter(1));
  BOOST_TEST(membership.is_voter(2));
  BOOST_TEST(membership.is_voter(3));
  BOOST_TEST(!fixture.is_voter(old_leader));
}

// Guards against founding two groups at the first start, and against founding a group from an
// empty folder later.
BOOST_AUTO_TEST_CASE(only_seeds_found_the_group_at_the_first_start) {
  const std::vector<endpoint> seeds{{0x0A00'0001, 7000}, {0x0A00'0002, 7000}, {0x0A00'0003, 7000}};
  const auto id_of = [&](const std::string& address, bool is_first_start) {
    memory_storage files;
    random_engine engine(3);
    control_host_settings settings;
    settings.self.set_address(address);
    BOOST_REQUIRE(assign_identity(files, settings, seeds, is_first_start, engine).has_value());
    return settings.self.id();
  };
  BOOST_TEST(id_of("10.0.0.2:7000", true) == founder_id(seeds[1]));
  BOOST_TEST(id_of("10.0.0.2:7000", false) != founder_id(seeds[1]));
  for (const auto& it : seeds)
    BOOST_TEST(id_of("10.0.0.4:7000", true) != founder_id(it));
}

// Guards against a new identity for a host whose folder already has one.
BOOST_AUTO_TEST_CASE(folder_in_use_determines_host_id) {
  memory_storage files;
  random_engine engine(3);
  control_host_settings settings;
  settings.self.set_address("10.0.0.1:7000");
  const std::vector<endpoint> seeds{{0x0A00'0001, 7000}};
  BOOST_REQUIRE(assign_identity(files, settings, seeds, true, engine).has_value());
  const auto first = settings.self.id();
  settings.self.set_id(0);
  BOOST_REQUIRE(assign_identity(files, settings, {}, false, engine).has_value());
  BOOST_TEST(settings.self.id() == first);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
