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
  election_deadline_ =
      random_deadline(settings_.first_election_timeout, 3 * settings_.first_election_timeout);
}

raft_effects raft_node::step(time_point now, raft_event event) {
  now_ = std::max(now_, now);
  effects_ = {};
  // A leader whose process was suspended steps down here, before it handles any event,
  // when its last contact with a quorum is too old.
  if (role_ == raft_role::leader) step_down_without_quorum();
  std::visit([this](const auto& alternative) { on(alternative); }, event);
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
  append_as_leader(std::move(entry));
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
  append_as_leader(std::move(entry));
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
  log_.compact(snapshot, settings_.retained_entries, settings_.retained_bytes);
  effects_.snapshot = std::move(snapshot);
  effects_.retained_entries = log_.all_entries();
}

// A leader does not know the commit index of its predecessors until the first entry of its
// own term is committed.
void raft_node::on(const raft_read& /*event*/) {
  if (role_ != raft_role::leader || commit_index_ < term_start_index_) {
    effects_.refusal = "not the leader, or not yet confirmed as the leader";
    return;
  }
  broadcast();
  effects_.read_round = last_round_;
}

bool raft_node::is_acceptable(const wire::raft_message& message) {
  const auto refuse = [&](const std::string& cause) {
    effects_.warnings.push_back("ignored a message from control host " +
                                std::to_string(message.from()) + ": " + cause);
    return false;
  };
  if (message.cluster() != identity_.cluster()) return refuse("it belongs to another cluster");
  if (message.to() != id() || message.from() == id() || message.from() == 0)
    return refuse("it is addressed to control host " + std::to_string(message.to()));
  const auto* member = membership().find(message.from());
  if (member != nullptr && member->identity() != 0 && member->identity() != message.from_identity())
    return refuse("its data folder is not the one that is recorded for this member");
  // Until the folder of a founder is recorded, a new folder with its id must be refused.
  if (member != nullptr && member->identity() == 0 && !member->learner() && !message.from_founder())
    return refuse("its data folder is new, but the member is a voter; replace the member");
  return true;
}

void raft_node::on(const raft_received& event) {
  const auto& message = event.message;
  if (!is_acceptable(message)) return;
  // A pre-vote has the term of an election that may never start, so this member does not
  // adopt that term.
  const bool is_pre_vote =
      (message.has_vote() && message.vote().pre_vote()) ||
      (message.has_voted() && message.voted().pre_vote() && message.voted().granted());
  // A member that is in contact with a leader ignores vote requests of a higher term. A
  // removed member, or one with a broken link, then does not disturb the cluster.
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
    return handle(message, message.vote());
  case wire::raft_message::kVoted:
    return handle(message, message.voted());
  case wire::raft_message::kAppend:
    return handle(message, message.append());
  case wire::raft_message::kAppended:
    return handle(message, message.appended());
  case wire::raft_message::kSnapshot:
    return handle(message, message.snapshot());
  case wire::raft_message::kInstalled:
    return handle(message, message.installed());
  case wire::raft_message::BODY_NOT_SET:
    effects_.warnings.push_back("ignored a message without a body");
  }
}

} // namespace zinnia
