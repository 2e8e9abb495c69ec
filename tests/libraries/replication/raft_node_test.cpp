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

/// One node; the test plays all other members.
struct single {
  explicit single(const raft_membership& members, std::vector<wire::log_entry> entries = {},
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

  raft_effects pass(milliseconds time) {
    now += time;
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

  raft_effects vote(std::uint64_t from, std::uint64_t term, bool is_pre_vote) {
    return receive(from, term, [&](auto& it) {
      it.mutable_voted()->set_pre_vote(is_pre_vote);
      it.mutable_voted()->set_granted(true);
    });
  }

  raft_effects ask(std::uint64_t from, std::uint64_t term, std::uint64_t last_index,
                   std::uint64_t last_term) {
    return receive(from, term, [&](auto& it) {
      it.mutable_vote()->set_last_index(last_index);
      it.mutable_vote()->set_last_term(last_term);
    });
  }

  raft_effects acknowledge(std::uint64_t from, std::uint64_t match, std::uint64_t round) {
    return receive(from, node->term(), [&](auto& it) {
      it.mutable_appended()->set_success(true);
      it.mutable_appended()->set_match_index(match);
      it.mutable_appended()->set_round(round);
    });
  }

  void lead() {
    pass(milliseconds(2'000));
    vote(2, node->term() + 1, true);
    vote(2, node->term(), false);
    BOOST_TEST_REQUIRE((node->role() == raft_role::leader));
  }

  time_point now{milliseconds(1'000'000)};
  std::unique_ptr<raft_node> node;
};

const raft_membership three{{member(1), member(2), member(3)}, {}};

BOOST_AUTO_TEST_SUITE(raft_node_test)

// Guards against an entry of an earlier term counting as committed because a
// majority holds it: a leader of a later term may still replace it.
BOOST_AUTO_TEST_CASE(copies_of_an_earlier_term_commit_nothing_by_themselves) {
  single it(three, {entry_of(1, 1), entry_of(2, 2)}, 3);
  it.lead();
  BOOST_TEST(it.acknowledge(2, 2, 1).committed.empty());
  BOOST_TEST(it.node->commit_index() == 0U);
  BOOST_TEST(it.acknowledge(2, 3, 1).committed.size() == 3U);
}

// Guards against two votes in one term, the second after a restart.
BOOST_AUTO_TEST_CASE(vote_is_written_and_given_once_in_a_term) {
  single it(three);
  const auto first = it.ask(2, 5, 0, 0);
  BOOST_TEST(first.identity.value().voted_for() == 2U);
  BOOST_TEST(first.messages.at(0).voted().granted());
  BOOST_TEST(!it.ask(3, 5, 9, 4).messages.at(0).voted().granted());
}

// Guards against a leader that lacks committed entries.
BOOST_AUTO_TEST_CASE(candidate_with_a_shorter_log_gets_no_vote) {
  single it(three, {entry_of(1, 1), entry_of(2, 2)}, 2);
  BOOST_TEST(!it.ask(2, 5, 1, 1).messages.at(0).voted().granted());
  BOOST_TEST(!it.ask(2, 5, 9, 1).messages.at(0).voted().granted());
  BOOST_TEST(it.ask(2, 5, 2, 2).messages.at(0).voted().granted());
}

// Guards against a member that returns from a partition unseating the leader.
BOOST_AUTO_TEST_CASE(member_that_hears_a_leader_refuses_candidates) {
  single it(three);
  it.receive(2, 1, [](auto& message) { message.mutable_append(); });
  BOOST_TEST(it.ask(3, 8, 0, 0).messages.empty());
  BOOST_TEST(it.node->term() == 1U);
}

// Guards against a leader that nobody hears serving on, and against answers to old
// rounds counting as present contact.
BOOST_AUTO_TEST_CASE(leader_without_answered_rounds_steps_down) {
  single it(three);
  it.lead();
  it.pass(milliseconds(400));
  it.acknowledge(2, 1, 1); // the first round, sent 400 ms ago
  BOOST_TEST(it.node->quorum_age(it.now).count() == 400);
  it.pass(milliseconds(201));
  BOOST_TEST((it.node->role() == raft_role::follower));
}

// Guards against an emptied folder, or a new one under the id of a lost voter,
// giving a vote a second time in a term.
BOOST_AUTO_TEST_CASE(folder_that_the_members_do_not_name_neither_votes_nor_stands) {
  auto lost = member(1);
  lost.set_identity(99);
  auto unrecorded = member(1);
  unrecorded.set_identity(0);
  for (const auto& members : {std::vector<wire::control_member>{},
                              {lost, member(2), member(3)},
                              {unrecorded, member(2), member(3)}}) {
    single it({members, {}});
    BOOST_TEST(!it.ask(2, 5, 9, 4).messages.at(0).voted().granted());
    BOOST_TEST(it.pass(milliseconds(5'000)).messages.empty());
  }
}

// Guards against a zone staying behind because its entry hosts poll a member that
// hears the leader but lacks entries.
BOOST_AUTO_TEST_CASE(lagging_member_reports_no_contact) {
  single it(three);
  const auto append = [&](std::uint64_t previous, std::uint64_t commit) {
    it.receive(2, 1, [&](auto& message) {
      message.mutable_append()->set_previous_index(previous);
      message.mutable_append()->set_previous_term(previous == 0 ? 0 : 1);
      message.mutable_append()->set_commit_index(commit);
      message.mutable_append()->set_quorum_age_ms(40);
    });
  };
  append(5, 5);
  BOOST_TEST((it.node->quorum_age(it.now) == milliseconds::max()));
  append(0, 5);
  BOOST_TEST((it.node->quorum_age(it.now) == milliseconds::max()));
  append(0, 0);
  BOOST_TEST(it.node->quorum_age(it.now).count() == 40);
}

// Guards against a host with an emptied folder voting under its old identity.
BOOST_AUTO_TEST_CASE(answers_from_another_folder_do_not_count) {
  single it(three);
  it.pass(milliseconds(2'000));
  const auto ignored = it.receive(2, 1, [](auto& message) {
    message.set_from_identity(99);
    message.mutable_voted()->set_pre_vote(true);
    message.mutable_voted()->set_granted(true);
  });
  BOOST_TEST(ignored.complaints.size() == 1U);
  BOOST_TEST((it.node->role() == raft_role::pre_candidate));
}

BOOST_AUTO_TEST_CASE(changes_that_endanger_the_quorum_are_refused) {
  single it({{member(1), member(2), member(3), member(4, true), member(5, true)}, {}});
  it.lead();
  member_change change;
  change.action = member_change::kind::remove;
  change.member = member(3);
  const auto refusal = [&] { return it.node->plan(it.now, change).error(); };
  BOOST_TEST(refusal().cause == "the leader is not confirmed by a quorum");
  it.acknowledge(2, 1, 1);
  BOOST_TEST(refusal().cause == "would leave 2 voters; the number of voters must be odd");
  change.action = member_change::kind::replace;
  change.member = member(4);
  change.replaced = 2;
  BOOST_TEST(refusal().cause == "does not answer");
  it.pass(milliseconds(200)); // a second round, after the first entry is committed
  it.acknowledge(2, 1, 2);
  it.acknowledge(4, 0, 2);
  BOOST_TEST(refusal().cause == "has synced 0 of 1 committed entries");
  it.acknowledge(4, 1, 2);
  BOOST_TEST(it.node->plan(it.now, change).has_value());
  // Host 3 has not answered and would be the only voter.
  change.action = member_change::kind::remove;
  change.member = member(1);
  change.also = {2};
  BOOST_TEST(refusal().cause == "would lose the quorum: too few voters answer");
}

// Guards against two disjoint majorities during a change of voters.
BOOST_AUTO_TEST_CASE(change_of_voters_needs_both_majorities) {
  single it({{member(1), member(2), member(3), member(4, true), member(5, true)}, {}});
  it.lead();
  it.acknowledge(2, 1, 1);
  it.acknowledge(4, 1, 1);
  it.acknowledge(5, 1, 1);
  member_change change;
  change.action = member_change::kind::promote;
  change.member = member(4);
  change.also = {5};
  const auto next = it.node->plan(it.now, change).value();
  BOOST_TEST(it.node->step(it.now, raft_member_proposal{next, "x"}).proposed_index.value() == 2U);
  it.acknowledge(4, 2, 1);
  it.acknowledge(5, 2, 1);
  BOOST_TEST(it.node->commit_index() == 1U); // no majority of the outgoing voters
  it.acknowledge(2, 2, 1);
  BOOST_TEST(it.node->commit_index() == 2U);
  BOOST_TEST(it.node->log().last_index() == 3U); // the entry that ends the change
  BOOST_TEST(!it.node->is_membership_settled());
}

// Guards against a stall that generated schedule 4 found: the removed leader held
// the longest log, nobody else could be elected, and it did not stand.
BOOST_AUTO_TEST_CASE(voter_removed_by_an_uncommitted_entry_still_stands) {
  auto removal = entry_of(1, 1);
  raft_membership{{member(3)}, {}}.write_to(removal);
  single it(three, {removal}, 1);
  BOOST_TEST(!it.pass(milliseconds(2'000)).messages.empty());
  it.vote(3, 2, true);
  it.vote(3, 2, false);
  BOOST_TEST((it.node->role() == raft_role::leader));
  it.acknowledge(3, 2, 1);
  BOOST_TEST((it.node->role() == raft_role::follower));
  BOOST_TEST(it.pass(milliseconds(5'000)).messages.empty());
}

// Guards against a snapshot with a missing or damaged chunk being installed.
BOOST_AUTO_TEST_CASE(snapshot_is_installed_only_when_whole) {
  single source(three);
  wire::stored_snapshot snapshot;
  three.write_to(snapshot);
  snapshot.set_last_index(9);
  snapshot.set_last_term(1);
  snapshot.set_state(std::string(100, 'x'));
  const auto bytes = snapshot.SerializeAsString();
  const auto chunk = [&](std::size_t offset, std::size_t size, std::uint64_t sum) {
    return source.receive(2, 1, [&](auto& message) {
      auto& body = *message.mutable_snapshot();
      body.set_last_index(9);
      body.set_offset(offset);
      body.set_data(bytes.substr(offset, size));
      body.set_done(offset + size >= bytes.size());
      body.set_checksum(sum);
    });
  };
  const auto sum = 0x1234U;
  BOOST_TEST(chunk(0, 50, sum).messages.at(0).installed().offset() == 50U);
  BOOST_TEST(chunk(80, 200, sum).messages.at(0).installed().offset() == 50U);
  const auto wrong = chunk(50, 200, sum);
  BOOST_TEST(wrong.complaints.size() == 1U);
  BOOST_TEST(wrong.messages.at(0).installed().offset() == 0U);
  BOOST_TEST(source.node->commit_index() == 0U);
}

// Guards against proposals piling up in memory while no quorum answers.
BOOST_AUTO_TEST_CASE(proposals_without_a_quorum_are_limited) {
  single it(three);
  it.lead();
  std::string refusal;
  std::size_t accepted = 0;
  while (refusal.empty() && accepted < 10'000) {
    const auto effects = it.node->step(it.now, raft_proposal{"x"});
    refusal = effects.refusal;
    accepted += effects.proposed_index ? 1U : 0U;
  }
  BOOST_TEST(accepted == raft_settings{}.max_uncommitted_entries - 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
