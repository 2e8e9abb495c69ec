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

/// Three founders; further hosts ask to join as the daemon does.
struct forming {
  explicit forming(std::uint32_t losses = 1) : group(1, 3, self_forming(losses)) {
    group.run(milliseconds(3'000));
  }

  void run(milliseconds duration) {
    constexpr milliseconds asking{300};
    for (const auto end = group.now + duration; group.now < end; group.run(asking))
      for (const auto& [id, it] : group.members)
        if (group.is_up(id)) ask(id);
  }

  void ask(std::uint64_t id) {
    const auto request = group.host(id).join_request_due(group.now);
    const auto leader = group.leader();
    if (request && leader != 0 && group.cut.count({id, leader}) == 0)
      group.host(leader).join(group.now, *request);
  }

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

// Guards against a group that stays at its founders, or adds voters that it does not need.
BOOST_AUTO_TEST_CASE(spare_host_joins_as_a_learner) {
  forming it;
  it.add(4);
  it.run(milliseconds(3'000));
  BOOST_TEST(it.is_member(4));
  BOOST_TEST((it.voters() == ids{1, 2, 3}));
}

// Guards against a group that survives fewer losses than it is set up for.
BOOST_AUTO_TEST_CASE(voters_grow_to_what_the_losses_need) {
  forming it(2);
  it.add(4);
  it.add(5);
  it.run(milliseconds(4'000));
  BOOST_TEST((it.voters() == ids{1, 2, 3, 4, 5}));
}

// Guards against a second loss that stops the group, because nobody replaced the first.
BOOST_AUTO_TEST_CASE(lost_voter_is_replaced_and_a_second_loss_is_survived) {
  forming it;
  it.add(4);
  it.run(milliseconds(3'000));
  const auto first = it.group.leader();
  it.group.stop(first);
  it.run(milliseconds(8'000));
  BOOST_TEST((it.voters().size() == 3U));
  BOOST_TEST(it.is_voter(4));
  const auto second = it.group.leader();
  BOOST_REQUIRE(second != first);
  it.group.stop(second);
  it.run(milliseconds(4'000));
  BOOST_TEST(it.group.leader() != 0U);
}

// Guards against a replaced voter that returns with its old log and stays outside.
BOOST_AUTO_TEST_CASE(replaced_voter_returns_as_a_learner) {
  forming it;
  it.add(4);
  it.run(milliseconds(3'000));
  const auto lost = it.group.leader() == 1 ? 2U : 1U;
  it.group.stop(lost);
  it.run(milliseconds(5'000));
  BOOST_TEST(!it.is_voter(lost));
  it.group.start(lost);
  it.run(milliseconds(5'000));
  BOOST_TEST(it.is_member(lost));
  BOOST_TEST(it.voters().size() == 3U);
}

// Guards against a vote under the identity of a lost disk: the host that returns at the
// address of a voter is a new member, and takes the place of the lost one.
BOOST_AUTO_TEST_CASE(host_with_a_lost_disk_takes_the_place_of_its_former_self) {
  forming it;
  const auto lost = it.group.leader() == 1 ? 2U : 1U;
  it.group.stop(lost);
  auto& fresh = it.group.add(9);
  fresh.settings.self.set_address(control_group::named(lost).address());
  it.group.start(9);
  it.run(milliseconds(6'000));
  BOOST_TEST(it.is_voter(9));
  BOOST_TEST(!it.is_voter(lost));
  BOOST_TEST(!it.is_member(lost));
}

// Guards against a change of members by a side that has lost the quorum.
BOOST_AUTO_TEST_CASE(cut_off_leader_changes_nothing) {
  forming it;
  it.add(4);
  it.run(milliseconds(3'000));
  const auto old = it.group.leader();
  it.group.isolate(old);
  it.run(milliseconds(6'000));
  const auto& held = it.group.host(old).node().membership();
  BOOST_TEST(held.is_voter(1));
  BOOST_TEST(held.is_voter(2));
  BOOST_TEST(held.is_voter(3));
  BOOST_TEST(!it.is_voter(old));
}

// Guards against two groups at the first start, and against an empty folder that
// founds one later.
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

// Guards against a host that takes a new identity though its folder has one.
BOOST_AUTO_TEST_CASE(folder_in_use_names_the_host) {
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
