#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <array>

namespace zinnia {

const char* name_of(raft_role role) {
  constexpr std::array names{"follower", "pre_candidate", "candidate", "leader"};
  return names.at(static_cast<std::size_t>(role));
}

raft_node::raft_node(const raft_settings& settings, stored_state state, random_engine engine,
                     time_point now)
    : settings_(settings), engine_(engine), identity_(std::move(state.identity).value()),
      log_(state.snapshot, std::move(state.entries)), commit_index_(log_.snapshot_index()),
      now_(now) {
  election_deadline_ = draw_time(settings_.first_election, 3 * settings_.first_election);
}

raft_effects raft_node::step(time_point now, raft_event event) {
  now_ = std::max(now_, now);
  effects_ = {};
  // A process that was frozen learns here, before it acts on anything else, that
  // its contact to the quorum is too old.
  if (role_ == raft_role::leader) step_down_without_quorum();
  std::visit([this](const auto& it) { on(it); }, event);
  return std::move(effects_);
}

void raft_node::on(const raft_tick& /*event*/) {
  if (role_ == raft_role::leader) {
    record_identities();
    if (now_ >= next_heartbeat_) broadcast();
    return;
  }
  if (now_ < election_deadline_) return;
  if (may_campaign())
    start_pre_vote();
  else
    schedule_election();
}

void raft_node::on(const raft_proposal& event) {
  if (role_ != raft_role::leader) {
    effects_.refusal = "not the leader";
    return;
  }
  if (log_.last_index() - commit_index_ >= settings_.max_uncommitted_entries) {
    effects_.refusal = "too many operations wait for a quorum";
    return;
  }
  wire::log_entry entry;
  entry.set_command(event.command);
  append_own(std::move(entry));
  effects_.proposed_index = log_.last_index();
  broadcast();
  advance_commit();
}

void raft_node::on(const raft_member_proposal& event) {
  if (role_ != raft_role::leader || !is_membership_settled()) {
    effects_.refusal = "not the leader, or another change of members is in progress";
    return;
  }
  wire::log_entry entry;
  entry.set_command(event.command);
  auto next = event.next;
  if (!has_same_voters(next.members, membership().members)) next.outgoing = membership().members;
  next.write_to(entry);
  append_own(std::move(entry));
  effects_.proposed_index = log_.last_index();
  broadcast();
  advance_commit();
}

void raft_node::on(const raft_compaction& event) {
  if (commit_index_ <= log_.snapshot_index()) return;
  auto snapshot = std::make_shared<wire::stored_snapshot>();
  snapshot->set_last_index(commit_index_);
  snapshot->set_last_term(log_.term_at(commit_index_).value());
  log_.membership_at(commit_index_).write_to(*snapshot);
  snapshot->set_state(event.state);
  log_.compact(snapshot, settings_.retained_entries);
  effects_.snapshot = std::move(snapshot);
  effects_.retained = log_.all_entries();
}

// Before the first entry of its own term is committed, a leader does not know what
// its predecessors committed.
void raft_node::on(const raft_read& /*event*/) {
  if (role_ != raft_role::leader || commit_index_ < own_term_index_) {
    effects_.refusal = "not the leader, or not yet confirmed as the leader";
    return;
  }
  broadcast();
  effects_.read_round = round_;
}

bool raft_node::is_acceptable(const wire::raft_message& message) {
  const auto refuse = [&](const std::string& cause) {
    effects_.complaints.push_back("message of control host " + std::to_string(message.from()) +
                                  " ignored: " + cause);
    return false;
  };
  if (message.cluster() != identity_.cluster()) return refuse("it is of another cluster");
  if (message.to() != id() || message.from() == id() || message.from() == 0)
    return refuse("it is for control host " + std::to_string(message.to()));
  const auto* known = membership().find(message.from());
  if (known != nullptr && known->identity() != 0 && known->identity() != message.from_identity())
    return refuse("its data folder is not the one that this member joined with");
  // Until a founder's folder is recorded, an emptied one must not pass for it.
  if (known != nullptr && known->identity() == 0 && !known->learner() && !message.from_founder())
    return refuse("its data folder is new, but the member is a voter; replace it");
  return true;
}

void raft_node::on(const raft_received& event) {
  const auto& message = event.message;
  if (!is_acceptable(message)) return;
  // A request for a pre-vote names the term of an election that may never start.
  const bool is_pre_vote =
      (message.has_vote() && message.vote().pre_vote()) ||
      (message.has_voted() && message.voted().pre_vote() && message.voted().granted());
  // A member that hears from a live leader does not help to replace it, so that a
  // removed member or one with a broken link does not disturb the others.
  if (message.has_vote()) {
    const bool has_leader =
        role_ == raft_role::leader ||
        (leader_ != 0 && leader_contact_ && now_ - *leader_contact_ < settings_.election_timeout);
    if (has_leader && message.term() > term()) return;
  }
  if (!is_pre_vote && message.term() > term()) {
    const bool is_from_leader = message.has_append() || message.has_snapshot();
    become_follower(message.term(), is_from_leader ? message.from() : 0);
  }
  switch (message.body_case()) {
  case wire::raft_message::kVote:
    return take(message, message.vote());
  case wire::raft_message::kVoted:
    return take(message, message.voted());
  case wire::raft_message::kAppend:
    return take(message, message.append());
  case wire::raft_message::kAppended:
    return take(message, message.appended());
  case wire::raft_message::kSnapshot:
    return take(message, message.snapshot());
  case wire::raft_message::kInstalled:
    return take(message, message.installed());
  case wire::raft_message::BODY_NOT_SET:
    effects_.complaints.push_back("message without a body ignored");
  }
}

} // namespace zinnia
