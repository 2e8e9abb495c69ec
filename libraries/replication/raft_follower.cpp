#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {

// Replication, the follower's side (docs/design.md R25).

void raft_node::hear_from_leader(const wire::raft_message& message) {
  role_ = raft_role::follower;
  leader_ = message.from();
  leader_contact_ = now_;
  schedule_election();
}

void raft_node::take(const wire::raft_message& message, const wire::append_request& body) {
  auto& reply = send(message.from());
  auto& answer = *reply.mutable_appended();
  answer.set_round(body.round());
  if (message.term() < term()) return;
  hear_from_leader(message);

  // Entries up to the commit index are settled, whatever part of them is still held.
  auto previous = body.previous_index();
  int skipped = 0;
  if (previous < commit_index_) {
    skipped = static_cast<int>(std::min<std::uint64_t>(
        commit_index_ - previous, static_cast<std::uint64_t>(body.entries_size())));
    previous += static_cast<std::uint64_t>(skipped);
  } else if (log_.term_at(previous) != body.previous_term()) {
    auto hint = std::min(previous - 1, log_.last_index());
    if (log_.term_at(previous) && previous > log_.base_index())
      hint = log_.first_of_term(previous) - 1;
    answer.set_match_index(std::max(hint, commit_index_));
    return;
  }
  for (int n = skipped; n < body.entries_size(); ++n) {
    const auto& entry = body.entries(n);
    ++previous;
    if (entry.index() != previous) {
      effects_.complaints.push_back("entries out of order ignored");
      --previous;
      break;
    }
    const auto held = log_.term_at(previous);
    if (held == entry.term()) continue;
    if (held) log_.truncate_from(previous);
    log_.append(entry);
    effects_.appended.push_back(entry);
  }
  answer.set_success(true);
  answer.set_match_index(previous);
  commit_to(std::min(body.commit_index(), previous));
  // Contact alone is not enough: entry hosts that poll a member which lags, or
  // whose copies the leader ignores, have to turn to another one (R28).
  if (commit_index_ >= body.commit_index())
    quorum_contact_ = now_ - milliseconds(body.quorum_age_ms());
}

void raft_node::take(const wire::raft_message& message, const wire::snapshot_request& body) {
  auto& answer = *send(message.from()).mutable_installed();
  answer.set_round(body.round());
  answer.set_checksum(body.checksum());
  if (message.term() < term()) return;
  hear_from_leader(message);
  if (body.last_index() <= commit_index_) {
    answer.set_done(true);
    return;
  }
  if (incoming_checksum_ != body.checksum()) {
    incoming_checksum_ = body.checksum();
    incoming_.clear();
  }
  if (body.offset() == incoming_.size()) {
    incoming_ += body.data();
    if (body.done()) {
      auto snapshot = std::make_shared<wire::stored_snapshot>();
      const bool is_intact = XXH64(incoming_.data(), incoming_.size(), 0) == body.checksum() &&
                             snapshot->ParseFromString(incoming_);
      incoming_.clear();
      incoming_checksum_ = 0;
      if (is_intact) {
        answer.set_done(true);
        restore(std::move(snapshot));
        return;
      }
      effects_.complaints.push_back("snapshot with a wrong checksum ignored");
    }
  }
  answer.set_offset(incoming_.size());
}

void raft_node::restore(std::shared_ptr<const wire::stored_snapshot> snapshot) {
  commit_index_ = snapshot->last_index();
  log_.install(snapshot);
  effects_.snapshot = snapshot;
  effects_.retained = log_.all_entries();
  effects_.restored = std::move(snapshot);
}

} // namespace zinnia
