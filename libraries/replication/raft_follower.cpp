#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {

// Replication on a follower (docs/design.md R25).

void raft_node::record_leader_contact(const wire::raft_message& message) {
  role_ = raft_role::follower;
  leader_ = message.from();
  leader_contact_ = now_;
  schedule_election();
}

void raft_node::handle(const wire::raft_message& message, const wire::append_request& body) {
  auto& reply_message = add_message(message.from());
  auto& reply = *reply_message.mutable_appended();
  reply.set_round(body.round());
  if (message.term() < term()) return;
  record_leader_contact(message);

  // Entries up to the commit index cannot change, and some may have been compacted; they
  // are skipped without a comparison.
  auto previous = body.previous_index();
  int skipped = 0;
  if (previous < commit_index_) {
    skipped = static_cast<int>(std::min<std::uint64_t>(
        commit_index_ - previous, static_cast<std::uint64_t>(body.entries_size())));
    previous += static_cast<std::uint64_t>(skipped);
  } else if (log_.term_at(previous) != body.previous_term()) {
    auto hint = std::min(previous - 1, log_.last_index());
    if (log_.term_at(previous) && previous > log_.base_index())
      hint = log_.first_index_of_term(previous) - 1;
    reply.set_match_index(std::max(hint, commit_index_));
    return;
  }
  for (int n = skipped; n < body.entries_size(); ++n) {
    const auto& entry = body.entries(n);
    ++previous;
    if (entry.index() != previous) {
      effects_.warnings.push_back("ignored log entries that are out of order");
      --previous;
      break;
    }
    const auto existing_term = log_.term_at(previous);
    if (existing_term == entry.term()) continue;
    if (existing_term) log_.truncate_from(previous);
    log_.append(entry);
    effects_.appended.push_back(entry);
  }
  reply.set_success(true);
  reply.set_match_index(previous);
  commit_to(std::min(body.commit_index(), previous));
  // A member that lags, or whose replies the leader ignores, must not report contact with a
  // quorum: entry hosts that poll it have to switch to another control host (R28).
  if (commit_index_ >= body.commit_index())
    reported_quorum_contact_ = now_ - milliseconds(body.quorum_age_ms());
}

void raft_node::handle(const wire::raft_message& message, const wire::snapshot_request& body) {
  auto& reply = *add_message(message.from()).mutable_installed();
  reply.set_round(body.round());
  reply.set_checksum(body.checksum());
  if (message.term() < term()) return;
  record_leader_contact(message);
  if (body.last_index() <= commit_index_) {
    reply.set_done(true);
    return;
  }
  if (incoming_snapshot_checksum_ != body.checksum()) {
    incoming_snapshot_checksum_ = body.checksum();
    incoming_snapshot_.clear();
  }
  if (body.offset() == incoming_snapshot_.size()) {
    incoming_snapshot_ += body.data();
    if (body.done()) {
      auto snapshot = std::make_shared<wire::stored_snapshot>();
      const bool is_intact =
          XXH64(incoming_snapshot_.data(), incoming_snapshot_.size(), 0) == body.checksum() &&
          snapshot->ParseFromString(incoming_snapshot_);
      incoming_snapshot_.clear();
      incoming_snapshot_checksum_ = 0;
      if (is_intact) {
        reply.set_done(true);
        restore(std::move(snapshot));
        return;
      }
      effects_.warnings.push_back("ignored a snapshot with a wrong checksum");
    }
  }
  reply.set_offset(incoming_snapshot_.size());
}

void raft_node::restore(std::shared_ptr<const wire::stored_snapshot> snapshot) {
  commit_index_ = snapshot->last_index();
  log_.install(snapshot);
  effects_.snapshot = snapshot;
  effects_.retained_entries = log_.all_entries();
  effects_.restored_snapshot = std::move(snapshot);
}

} // namespace zinnia
