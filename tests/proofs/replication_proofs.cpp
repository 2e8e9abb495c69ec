#include "proofs/proof.h"
#include "support/control_group.h"
#include "support/random_schedule.h"

namespace zinnia::proofs {
namespace {

using support::control_group;
using support::control_history;

constexpr milliseconds in_force_within{3'000}; // P8

control_host_settings default_settings() {
  return {};
}

// What went wrong, if anything; proofs end with verdict_of(it).
class checks {
public:
  void that(bool holds, const std::string& claim) {
    ++count_;
    if (!holds && first_.empty()) first_ = claim;
  }
  bool is_clean() const { return first_.empty(); }
  verdict verdict_of(const control_group& group) const {
    if (!first_.empty()) return {false, "not so: " + first_};
    if (const auto found = group.history.violation(); !found.empty()) return {false, found};
    return {true, std::to_string(count_) + " claims, " +
                      std::to_string(group.history.events.size()) + " events checked"};
  }

private:
  int count_ = 0;
  std::string first_;
};

bool is_accepted(const wire::apply_reply& reply) {
  return reply.result() == wire::apply_reply::accepted;
}

wire::members_request members_request(wire::members_request::action_kind action,
                                      const std::string& operation, std::uint64_t id) {
  wire::members_request out;
  out.set_action(action);
  out.set_operation_id(operation);
  out.set_author("operator");
  *out.mutable_member() = control_group::named(id);
  return out;
}

bool is_in_force(const control_group& group, std::uint64_t zone, std::uint64_t revision) {
  return group.members.at(zone)->directory.revision() == revision;
}

std::uint64_t follower_of(const control_group& group, std::uint64_t leader) {
  for (const auto& [id, it] : group.members)
    if (id != leader && group.is_up(id)) return id;
  return 0;
}

// A change reaches every zone in time, and a zone that was cut off in time after
// the healing.
verdict partitioned_zone_catches_up(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  const auto leader = group.leader();
  check.that(leader != 0, "a leader is elected");
  const auto cut_off = follower_of(group, leader);
  group.isolate(cut_off);
  const auto reply = group.apply(control_group::request_of("a", 0, {80, 81}), in_force_within);
  check.that(is_accepted(reply), "a majority accepts");
  group.run(in_force_within);
  for (const auto& [id, it] : group.members)
    check.that(is_in_force(group, id, id == cut_off ? 0 : 1), "in force only where reachable");
  check.that(group.host(cut_off).node().role() != raft_role::leader, "no leader in a minority");
  group.cut.clear();
  group.run(in_force_within);
  for (const auto& [id, it] : group.members)
    check.that(is_in_force(group, id, 1), "in force after the healing");
  return check.verdict_of(group);
}

// Four hosts split two against two: three voters and a learner, or five voters
// with one down. Operators race on both sides; at most one side may accept.
verdict equal_sides_with_racing_operators(std::uint64_t seed) {
  control_group group(seed, 5, default_settings());
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  const auto first = group.leader();
  check.that(is_accepted(group.apply(control_group::request_of("base", 0, {80}), in_force_within)),
             "the base is accepted");
  std::vector<std::uint64_t> others;
  for (const auto& [id, it] : group.members)
    if (id != first) others.push_back(id);
  group.stop(others[0]);
  for (const auto a : {first, others[1]})
    for (const auto b : {others[2], others[3]}) {
      group.cut.insert({a, b});
      group.cut.insert({b, a});
    }
  const auto left = group.submit(first, control_group::request_of("left", 1, {80, 81}));
  const auto right = group.submit(others[2], control_group::request_of("right", 1, {80, 82}));
  group.run(milliseconds(10'000));
  check.that(!is_accepted(group.operations[left].reply) &&
                 !is_accepted(group.operations[right].reply),
             "neither half accepts");
  check.that(group.leader() == 0, "neither half keeps a leader");
  group.cut.clear();
  group.start(others[0]);
  const auto again_left =
      group.apply(control_group::request_of("left", 1, {80, 81}), milliseconds(5'000));
  const auto again_right =
      group.apply(control_group::request_of("right", 1, {80, 82}), milliseconds(5'000));
  check.that(is_accepted(again_left) != is_accepted(again_right), "exactly one operator wins");
  const auto& loser = is_accepted(again_left) ? again_right : again_left;
  check.that(loser.result() == wire::apply_reply::stale_base && loser.revision() == 2 &&
                 loser.differences_size() > 0,
             "the other gets the revision and the difference");
  group.run(in_force_within);
  for (const auto& [id, it] : group.members)
    check.that(is_in_force(group, id, 2), "the winner is in force everywhere");
  return check.verdict_of(group);
}

// The answer is lost with the leader; the operator resends to the next one.
verdict resend_after_lost_answer(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  std::uint64_t revision = 0;
  for (int round = 0; round < 20; ++round) {
    const auto leader = group.leader();
    check.that(leader != 0, "a leader is elected");
    if (leader == 0) break;
    const auto request = control_group::request_of("op" + std::to_string(round), revision,
                                                   {80, static_cast<std::uint32_t>(100 + round)});
    group.submit(leader, request);
    // Copies arrive, answers to the leader do not.
    for (auto& message : std::exchange(group.in_flight, {}))
      if (message.from() == leader) group.deliver(std::move(message));
    group.in_flight.clear();
    group.stop(leader);
    const auto reply = group.apply(request, milliseconds(6'000));
    check.that(is_accepted(reply) && reply.revision() == revision + 1, "accepted once");
    group.start(leader);
    const auto again = group.apply(request, milliseconds(6'000));
    check.that(is_accepted(again) && again.revision() == revision + 1, "the same first result");
    ++revision;
    group.run(milliseconds(1'500));
  }
  std::set<std::string> accepted;
  for (const auto& it : group.host(group.leader()).state().audit(0, 1'000))
    check.that(!it.accepted() || accepted.insert(it.operation_id()).second,
               "one accepted audit record for each operation");
  return check.verdict_of(group);
}

// A leader that hears nobody must not go on as one, and must not unseat its
// successor when it returns.
verdict leader_silently_isolated(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  const auto old = group.leader();
  group.isolate(old);
  const auto lost = group.submit(old, control_group::request_of("lost", 0, {99}));
  group.run(milliseconds(1'500));
  check.that(group.host(old).node().role() != raft_role::leader, "it steps down");
  check.that(group.host(old).sync(group.now, {}).quorum_age_ms() > 1'000,
             "its answers show the age");
  for (std::uint64_t n = 0; n < 300; ++n)
    check.that(
        is_accepted(group.apply(control_group::request_of("n" + std::to_string(n), n,
                                                          {static_cast<std::uint32_t>(1'000 + n)}),
                                milliseconds(3'000))),
        "the others accept");
  group.run(milliseconds(600'000));
  check.that(!is_accepted(group.operations[lost].reply), "it accepts nothing");
  check.that(group.host(old).node().term() <= group.host(group.leader()).node().term(),
             "its term does not grow while it is alone");
  const auto successor = group.leader();
  const auto term = group.host(successor).node().term();
  group.cut.clear();
  group.run(in_force_within);
  check.that(group.leader() == successor && group.host(successor).node().term() == term,
             "its return disturbs no one");
  check.that(is_in_force(group, old, 300), "in force in its zone after the healing");
  return check.verdict_of(group);
}

// A frozen leader resumes with an operator's request in its queue.
verdict leader_frozen_and_resumed(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.run(milliseconds(3'000));
  const auto old = group.leader();
  group.members.at(old)->is_frozen = true;
  group.run(milliseconds(5'000));
  check.that(group.leader() != 0 && group.leader() != old, "another leader is elected");
  check.that(is_accepted(group.apply(control_group::request_of("a", 0, {80}), in_force_within)),
             "which accepts");
  group.members.at(old)->is_frozen = false;
  const auto place = group.submit(old, control_group::request_of("b", 0, {81}));
  check.that(group.operations[place].reply.result() == wire::apply_reply::not_leader,
             "the resumed one knows at once that it leads no more");
  group.run(milliseconds(2'000));
  return check.verdict_of(group);
}

// A voter loses its disk, is replaced by a learner, and right after the repair a
// second voter is lost.
verdict second_voter_lost_after_repair(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  std::uint64_t revision = 0;
  const auto change = [&](const std::string& name) {
    const auto reply = group.apply(
        control_group::request_of(name, revision, {static_cast<std::uint32_t>(100 + revision)}),
        in_force_within);
    check.that(is_accepted(reply), name + " is accepted");
    ++revision;
  };
  change("before");
  const auto lost = follower_of(group, group.leader());
  group.stop(lost);
  group.members.at(lost)->files.remove_all();
  change("with one lost");
  group.add(4);
  group.start(4);
  check.that(
      !group
           .change(members_request(wire::members_request::promote, "early", 4), milliseconds(3'000))
           .accepted(),
      "a host that is no learner is not promoted");
  check.that(group
                 .change(members_request(wire::members_request::add_learner, "add", 4),
                         milliseconds(3'000))
                 .accepted(),
             "a learner is added");
  group.run(milliseconds(1'500));
  auto swap = members_request(wire::members_request::replace, "swap", 4);
  swap.set_replaced(lost);
  const auto swapped = group.change(swap, milliseconds(3'000));
  check.that(swapped.accepted(), "it replaces the lost voter: " + swapped.cause());
  const auto second = group.leader();
  group.stop(second);
  group.members.at(second)->files.remove_all();
  group.run(milliseconds(3'000));
  change("after the second loss");
  check.that(group.leader() != 0, "the two that remain elect a leader");
  // Both lost hosts come back with empty folders.
  group.start(lost);
  group.start(second);
  group.run(milliseconds(3'000));
  check.that(group.host(group.leader()).node().membership().voter_count() == 3, "still 3 voters");
  change("with returned hosts");
  check.that(is_in_force(group, 4, revision) || (group.run(milliseconds(1'000)), true),
             "the repaired zone follows");
  check.that(is_in_force(group, 4, revision), "the repaired zone has the last revision");
  return check.verdict_of(group);
}

// An emptied folder under the id of a voter must not give its copy or its vote
// again: here it would elect a leader without the committed entries.
verdict lost_disk_never_votes(std::uint64_t seed) {
  control_group group(seed, 3, default_settings());
  checks check;
  group.run(milliseconds(3'000));
  const auto leader = group.leader();
  std::vector<std::uint64_t> others;
  for (const auto& [id, it] : group.members)
    if (id != leader) others.push_back(id);
  group.stop(others[1]); // lags
  check.that(is_accepted(group.apply(control_group::request_of("a", 0, {80}), in_force_within)),
             "two of three accept");
  group.stop(leader);
  group.stop(others[0]);
  group.members.at(others[0])->files.remove_all();
  group.start(others[0]);
  group.start(others[1]);
  group.run(milliseconds(20'000));
  check.that(group.leader() == 0, "the emptied and the lagging host elect nobody");
  group.start(leader);
  group.run(milliseconds(5'000));
  check.that(group.leader() != 0, "with the holder of the entry a leader is elected");
  if (group.leader() != 0)
    check.that(group.host(group.leader()).state().revision() == 1, "the accepted change is there");
  return check.verdict_of(group);
}

// Crashes at each write of an operation, with every length of the torn append.
verdict torn_write_then_restart(std::uint64_t seed) {
  checks check;
  control_group group(seed, 3, default_settings());
  group.run(milliseconds(3'000));
  std::uint64_t revision = 0;
  for (std::size_t n = 0; n < 60; ++n) {
    const auto victim = 1 + n % 3;
    group.members.at(victim)->files.crash_after(n % 4, (n * 7) % 90);
    const auto reply = group.apply(control_group::request_of("op" + std::to_string(n), revision,
                                                             {static_cast<std::uint32_t>(100 + n)}),
                                   milliseconds(8'000));
    check.that(is_accepted(reply), "accepted in spite of the crash");
    ++revision;
    group.stop(victim);
    group.start(victim);
    check.that(group.is_up(victim), "it restarts: " + group.members.at(victim)->open_failure);
    if (!check.is_clean()) break;
    group.run(milliseconds(1'500));
  }
  for (const auto& [id, it] : group.members)
    check.that(group.is_up(id) && group.host(id).state().revision() == revision,
               "all have every accepted change");
  return check.verdict_of(group);
}

// All hosts at once, and one at a time, after hundreds of changes and several
// snapshots: nothing old comes back.
verdict restart_after_hundreds_of_changes(std::uint64_t seed) {
  auto settings = default_settings();
  settings.compaction_entries = 100;
  settings.raft.retained_entries = 20;
  control_group group(seed, 3, settings);
  checks check;
  group.is_polling = true;
  group.run(milliseconds(3'000));
  std::uint64_t revision = 0;
  const auto change = [&] {
    const auto reply =
        group.apply(control_group::request_of("op" + std::to_string(revision), revision,
                                              {80, static_cast<std::uint32_t>(1'000 + revision)}),
                    milliseconds(6'000));
    check.that(is_accepted(reply), "change " + std::to_string(revision) + " is accepted");
    ++revision;
  };
  for (int n = 0; n < 450; ++n)
    change();
  const auto lagging = follower_of(group, group.leader());
  group.stop(lagging);
  for (int n = 0; n < 250; ++n)
    change();
  const auto digest = group.host(group.leader()).state().digest();
  for (const auto& [id, it] : group.members)
    group.stop(id);
  for (const auto& [id, it] : group.members) {
    group.start(id);
    check.that(group.is_up(id), "it restarts: " + it->open_failure);
  }
  group.run(milliseconds(6'000));
  for (const auto& [id, it] : group.members) {
    check.that(group.is_up(id) && group.host(id).state().revision() == revision &&
                   group.host(id).state().digest() == digest,
               "every host has the last state");
    check.that(is_in_force(group, id, revision), "every zone has the last state");
  }
  // The identifiers of the first operations still give their first results.
  const auto again =
      group.apply(control_group::request_of("op3", 3, {80, 1'003}), milliseconds(3'000));
  check.that(is_accepted(again) && again.revision() == 4, "a late retry gets its first result");
  check.that(group.host(group.leader()).state().audit(0, 10'000).size() >= revision,
             "the audit trail survives compaction");
  return check.verdict_of(group);
}

verdict run_schedules(std::uint64_t seed, support::random_schedule::failed_hosts kept) {
  constexpr std::uint64_t schedules = 10'000;
  constexpr int actions = 350;
  std::uint64_t events = 0;
  std::uint64_t elections = 0;
  std::uint64_t accepted = 0;
  for (std::uint64_t n = seed; n < seed + schedules; ++n) {
    support::random_schedule schedule(n, kept);
    const auto found = schedule.run(actions);
    if (!found.empty()) return {false, "schedule " + std::to_string(n) + ": " + found};
    for (const auto& it : schedule.group().history.events) {
      ++events;
      elections += it.what == control_history::event::kind::elected ? 1 : 0;
      accepted += it.is_accepted ? 1 : 0;
    }
  }
  return {true, std::to_string(schedules) + " schedules, " + std::to_string(events) + " events, " +
                    std::to_string(elections) + " elections, " + std::to_string(accepted) +
                    " accepted answers"};
}

verdict generated_schedules(std::uint64_t seed) {
  return run_schedules(seed, support::random_schedule::failed_hosts::restart);
}

verdict schedules_with_failing_disks(std::uint64_t seed) {
  return run_schedules(seed, support::random_schedule::failed_hosts::reopen);
}

const registration added({
    {"P8", "zone partitioned, then healed", 1, partitioned_zone_catches_up},
    {"P8", "equal sides, one host down, operators race", 2, equal_sides_with_racing_operators},
    {"P8", "leader lost with the answer, operator resends", 3, resend_after_lost_answer},
    {"P8", "leader silently isolated for 10 minutes", 4, leader_silently_isolated},
    {"P8", "leader frozen and resumed", 5, leader_frozen_and_resumed},
    {"P8", "second voter lost right after a repair", 6, second_voter_lost_after_repair},
    {"P8", "lost disk, lagging voter and leader down", 7, lost_disk_never_votes},
    {"P8", "torn write, then restart, 60 times", 8, torn_write_then_restart},
    {"P8", "restart of all after 700 changes", 9, restart_after_hundreds_of_changes},
    {"P8", "10000 generated schedules of faults", 1, generated_schedules},
    {"P8", "10000 generated schedules, hosts outlive failed writes", 20'001,
     schedules_with_failing_disks},
});

} // namespace
} // namespace zinnia::proofs
