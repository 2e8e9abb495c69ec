#include "zinniarelay/replication/raft_node.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

constexpr std::uint64_t cluster = 7;

std::uint64_t folder_of(std::uint64_t id) {
  return 1'000 + id;
}

wire::control_member member(std::uint64_t id, bool is_learner = false) {
  wire::control_member out;
  out.set_id(id);
  out.set_address("10.0.0." + std::to_string(id) + ":7000");
  out.set_learner(is_learner);
  out.set_identity(folder_of(id));
  return out;
}

wire::log_entry entry_of(std::uint64_t index, std::uint64_t term) {
  wire::log_entry out;
  out.set_index(index);
  out.set_term(term);
  out.set_command("c" + std::to_string(index));
  return out;
}

/// A single node; the test sends the messages of all other members.
struct node_fixture {
  explicit node_fixture(const raft_membership& members, std::vector<wire::log_entry> entries = {},
                        std::uint64_t term = 0) {
    stored_state state;
    state.identity.emplace();
    state.identity->set_cluster(cluster);
    state.identity->set_control(1);
    state.identity->set_identity(folder_of(1));
    state.identity->set_term(term);
    auto snapshot = std::make_shared<wire::stored_snapshot>();
    members.write_to(*snapshot);
    state.snapshot = snapshot;
    state.entries = std::move(entries);
    node = std::make_unique<raft_node>(raft_settings{}, std::move(state), random_engine(1), now);
  }

  raft_effects advance(milliseconds duration) {
    now += duration;
    return node->step(now, raft_tick{});
  }

  raft_effects receive(std::uint64_t from, std::uint64_t term,
                       const std::function<void(wire::raft_message&)>& fill) {
    wire::raft_message message;
    message.set_from(from);
    message.set_to(1);
    message.set_term(term);
    message.set_cluster(cluster);
    message.set_from_identity(folder_of(from));
    fill(message);
    return node->step(now, raft_received{message});
  }

  raft_effects grant_vote(std::uint64_t from, std::uint64_t term, bool is_pre_vote) {
    return receive(from, term, [&](auto& message) {
      message.mutable_voted()->set_pre_vote(is_pre_vote);
      message.mutable_voted()->set_granted(true);
    });
  }

  raft_effects request_vote(std::uint64_t from, std::uint64_t term, std::uint64_t last_index,
                            std::uint64_t last_term) {
    return receive(from, term, [&](auto& message) {
      message.mutable_vote()->set_last_index(last_index);
      message.mutable_vote()->set_last_term(last_term);
    });
  }

  raft_effects acknowledge(std::uint64_t from, std::uint64_t match, std::uint64_t round) {
    return receive(from, node->term(), [&](auto& message) {
      message.mutable_appended()->set_success(true);
      message.mutable_appended()->set_match_index(match);
      message.mutable_appended()->set_round(round);
    });
  }

  void become_leader() {
    advance(milliseconds(2'000));
    grant_vote(2, node->term() + 1, true);
    grant_vote(2, node->term(), false);
    BOOST_TEST_REQUIRE((node->role() == raft_role::leader));
  }

  time_point now{milliseconds(1'000'000)};
  std::unique_ptr<raft_node> node;
};

const raft_membership three_voters{{member(1), member(2), member(3)}, {}};

BOOST_AUTO_TEST_SUITE(raft_node_test)

// Guards against committing an entry of an earlier term because a majority stores it: a
// leader of a later term may still replace the entry.
BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_commit_only_with_current_term) {
  node_fixture fixture(three_voters, {entry_of(1, 1), entry_of(2, 2)}, 3);
  fixture.become_leader();
  BOOST_TEST(fixture.acknowledge(2, 2, 1).committed.empty());
  BOOST_TEST(fixture.node->commit_index() == 0U);
  BOOST_TEST(fixture.acknowledge(2, 3, 1).committed.size() == 3U);
}

// Guards against two votes in one term, the second after a restart that lost the first.
BOOST_AUTO_TEST_CASE(vote_is_persisted_and_granted_once_per_term) {
  node_fixture fixture(three_voters);
  const auto first = fixture.request_vote(2, 5, 0, 0);
  BOOST_TEST(first.identity.value().voted_for() == 2U);
  BOOST_TEST(first.messages.at(0).voted().granted());
  BOOST_TEST(!fixture.request_vote(3, 5, 9, 4).messages.at(0).voted().granted());
}

// Guards against electing a leader whose log lacks committed entries.
BOOST_AUTO_TEST_CASE(candidate_with_outdated_log_gets_no_vote) {
  node_fixture fixture(three_voters, {entry_of(1, 1), entry_of(2, 2)}, 2);
  BOOST_TEST(!fixture.request_vote(2, 5, 1, 1).messages.at(0).voted().granted());
  BOOST_TEST(!fixture.request_vote(2, 5, 9, 1).messages.at(0).voted().granted());
  BOOST_TEST(fixture.request_vote(2, 5, 2, 2).messages.at(0).voted().granted());
}

// Guards against deposing a working leader: a member that returns from a partition requests
// votes with a higher term.
BOOST_AUTO_TEST_CASE(member_in_contact_with_leader_ignores_vote_requests) {
  node_fixture fixture(three_voters);
  fixture.receive(2, 1, [](auto& message) { message.mutable_append(); });
  BOOST_TEST(fixture.request_vote(3, 8, 0, 0).messages.empty());
  BOOST_TEST(fixture.node->term() == 1U);
}

// Guards against a leader that continues to serve without contact with a quorum, and against
// counting replies to old rounds as current contact.
BOOST_AUTO_TEST_CASE(leader_without_acknowledged_rounds_steps_down) {
  node_fixture fixture(three_voters);
  fixture.become_leader();
  fixture.advance(milliseconds(400));
  fixture.acknowledge(2, 1, 1); // the first round, sent 400 ms ago
  BOOST_TEST(fixture.node->quorum_age(fixture.now).count() == 400);
  fixture.advance(milliseconds(201));
  BOOST_TEST((fixture.node->role() == raft_role::follower));
}

// Guards against a second vote in one term by an emptied folder, or by a new folder with the
// id of a voter whose folder was lost.
BOOST_AUTO_TEST_CASE(unrecorded_folder_neither_votes_nor_campaigns) {
  auto lost = member(1);
  lost.set_identity(99);
  auto unrecorded = member(1);
  unrecorded.set_identity(0);
  for (const auto& members : {std::vector<wire::control_member>{},
                              {lost, member(2), member(3)},
                              {unrecorded, member(2), member(3)}}) {
    node_fixture fixture({members, {}});
    BOOST_TEST(!fixture.request_vote(2, 5, 9, 4).messages.at(0).voted().granted());
    BOOST_TEST(fixture.advance(milliseconds(5'000)).messages.empty());
  }
}

// Guards against entry hosts of a zone that keep an old configuration, because they poll a
// member that is in contact with the leader but lacks committed entries.
BOOST_AUTO_TEST_CASE(lagging_member_reports_no_quorum_contact) {
  node_fixture fixture(three_voters);
  const auto append = [&](std::uint64_t previous, std::uint64_t commit) {
    fixture.receive(2, 1, [&](auto& message) {
      message.mutable_append()->set_previous_index(previous);
      message.mutable_append()->set_previous_term(previous == 0 ? 0 : 1);
      message.mutable_append()->set_commit_index(commit);
      message.mutable_append()->set_quorum_age_ms(40);
    });
  };
  append(5, 5);
  BOOST_TEST((fixture.node->quorum_age(fixture.now) == milliseconds::max()));
  append(0, 5);
  BOOST_TEST((fixture.node->quorum_age(fixture.now) == milliseconds::max()));
  append(0, 0);
  BOOST_TEST(fixture.node->quorum_age(fixture.now).count() == 40);
}

// Guards against counting the vote of a host whose data folder was emptied as the vote of
// the recorded member.
BOOST_AUTO_TEST_CASE(reply_from_another_folder_is_ignored) {
  node_fixture fixture(three_voters);
  fixture.advance(milliseconds(2'000));
  const auto ignored = fixture.receive(2, 1, [](auto& message) {
    message.set_from_identity(99);
    message.mutable_voted()->set_pre_vote(true);
    message.mutable_voted()->set_granted(true);
  });
  BOOST_TEST(ignored.warnings.size() == 1U);
  BOOST_TEST((fixture.node->role() == raft_role::pre_candidate));
}

// Guards against membership changes that lose the quorum: without a confirmed leader, with an
// even number of voters, with an unresponsive or lagging learner, or with too few reachable
// voters.
BOOST_AUTO_TEST_CASE(membership_changes_that_endanger_the_quorum_are_refused) {
  node_fixture fixture({{member(1), member(2), member(3), member(4, true), member(5, true)}, {}});
  fixture.become_leader();
  member_change change;
  change.action = member_change::kind::remove;
  change.member = member(3);
  const auto refusal = [&] { return fixture.node->plan(fixture.now, change).error(); };
  BOOST_TEST(refusal().cause == "the leader is not confirmed by a quorum");
  fixture.acknowledge(2, 1, 1);
  BOOST_TEST(refusal().cause == "would leave 2 voters; the number of voters must be odd");
  change.action = member_change::kind::replace;
  change.member = member(4);
  change.replaced_id = 2;
  BOOST_TEST(refusal().cause == "does not answer");
  fixture.advance(milliseconds(200)); // a second round, after the first entry is committed
  fixture.acknowledge(2, 1, 2);
  fixture.acknowledge(4, 0, 2);
  BOOST_TEST(refusal().cause == "has synced 0 of 1 committed entries");
  fixture.acknowledge(4, 1, 2);
  BOOST_TEST(fixture.node->plan(fixture.now, change).has_value());
  // Host 3 has not replied and would be the only voter.
  change.action = member_change::kind::remove;
  change.member = member(1);
  change.additional_ids = {2};
  BOOST_TEST(refusal().cause == "would lose the quorum: too few voters answer");
}

// Guards against two disjoint majorities during a change of voters.
BOOST_AUTO_TEST_CASE(joint_consensus_needs_both_majorities) {
  node_fixture fixture({{member(1), member(2), member(3), member(4, true), member(5, true)}, {}});
  fixture.become_leader();
  fixture.acknowledge(2, 1, 1);
  fixture.acknowledge(4, 1, 1);
  fixture.acknowledge(5, 1, 1);
  member_change change;
  change.action = member_change::kind::promote;
  change.member = member(4);
  change.additional_ids = {5};
  const auto next = fixture.node->plan(fixture.now, change).value();
  BOOST_TEST(
      fixture.node->step(fixture.now, raft_member_proposal{next, "x"}).proposed_index.value() ==
      2U);
  fixture.acknowledge(4, 2, 1);
  fixture.acknowledge(5, 2, 1);
  BOOST_TEST(fixture.node->commit_index() == 1U); // no majority of the outgoing voters
  fixture.acknowledge(2, 2, 1);
  BOOST_TEST(fixture.node->commit_index() == 2U);
  BOOST_TEST(fixture.node->log().last_index() == 3U); // the entry that ends joint consensus
  BOOST_TEST(!fixture.node->is_membership_settled());
}

// Guards against a cluster without a leader, as in generated schedule 4: a removed leader had
// the longest log, so no other member could be elected, and the removed leader did not campaign.
BOOST_AUTO_TEST_CASE(voter_removed_by_uncommitted_entry_still_campaigns) {
  auto removal = entry_of(1, 1);
  raft_membership{{member(3)}, {}}.write_to(removal);
  node_fixture fixture(three_voters, {removal}, 1);
  BOOST_TEST(!fixture.advance(milliseconds(2'000)).messages.empty());
  fixture.grant_vote(3, 2, true);
  fixture.grant_vote(3, 2, false);
  BOOST_TEST((fixture.node->role() == raft_role::leader));
  fixture.acknowledge(3, 2, 1);
  BOOST_TEST((fixture.node->role() == raft_role::follower));
  BOOST_TEST(fixture.advance(milliseconds(5'000)).messages.empty());
}

// Guards against installing a snapshot with a missing or damaged chunk.
BOOST_AUTO_TEST_CASE(incomplete_or_damaged_snapshot_is_not_installed) {
  node_fixture follower(three_voters);
  wire::stored_snapshot snapshot;
  three_voters.write_to(snapshot);
  snapshot.set_last_index(9);
  snapshot.set_last_term(1);
  snapshot.set_state(std::string(100, 'x'));
  const auto bytes = snapshot.SerializeAsString();
  const auto chunk = [&](std::size_t offset, std::size_t size, std::uint64_t checksum) {
    return follower.receive(2, 1, [&](auto& message) {
      auto& body = *message.mutable_snapshot();
      body.set_last_index(9);
      body.set_offset(offset);
      body.set_data(bytes.substr(offset, size));
      body.set_done(offset + size >= bytes.size());
      body.set_checksum(checksum);
    });
  };
  const auto checksum = 0x1234U;
  BOOST_TEST(chunk(0, 50, checksum).messages.at(0).installed().offset() == 50U);
  BOOST_TEST(chunk(80, 200, checksum).messages.at(0).installed().offset() == 50U);
  const auto damaged = chunk(50, 200, checksum);
  BOOST_TEST(damaged.warnings.size() == 1U);
  BOOST_TEST(damaged.messages.at(0).installed().offset() == 0U);
  BOOST_TEST(follower.node->commit_index() == 0U);
}

// Guards against unbounded memory for proposals while no quorum replies.
BOOST_AUTO_TEST_CASE(proposals_without_a_quorum_are_limited) {
  node_fixture fixture(three_voters);
  fixture.become_leader();
  std::string refusal;
  std::size_t accepted = 0;
  while (refusal.empty() && accepted < 10'000) {
    const auto effects = fixture.node->step(fixture.now, raft_proposal{"x"});
    refusal = effects.refusal;
    accepted += effects.proposed_index ? 1U : 0U;
  }
  BOOST_TEST(accepted == raft_settings{}.max_uncommitted_entries - 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
