#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {

// Replication, the leader's side (docs/design.md R25).

wire::raft_message& raft_node::send(std::uint64_t to) {
  auto& message = effects_.messages.emplace_back();
  message.set_from(id());
  message.set_to(to);
  message.set_term(term());
  message.set_cluster(identity_.cluster());
  message.set_from_identity(identity_.identity());
  message.set_from_founder(identity_.founder());
  message.set_from_zone(identity_.zone());
  return message;
}

void raft_node::persist_identity() {
  effects_.identity = identity_;
}

void raft_node::append_own(wire::log_entry entry) {
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  effects_.appended.push_back(entry);
  log_.append(std::move(entry));
}

void raft_node::start_round() {
  rounds_.push_back({++round_, now_, commit_index_});
  while (now_ - rounds_.front().time > 2 * settings_.election_timeout)
    rounds_.pop_front();
}

void raft_node::broadcast() {
  next_heartbeat_ = now_ + settings_.heartbeat;
  start_round();
  for (const auto& member : membership().everyone())
    if (member.id() != id()) send_entries(member.id());
}

void raft_node::send_entries(std::uint64_t member) {
  auto& to = progress_of(member);
  if (to.snapshot || to.next <= log_.base_index()) return send_chunk(member);
  auto& message = send(member);
  auto& body = *message.mutable_append();
  body.set_previous_index(to.next - 1);
  body.set_previous_term(log_.term_at(to.next - 1).value());
  body.set_commit_index(commit_index_);
  body.set_round(round_);
  body.set_quorum_age_ms(age_for_message());
  for (auto& entry : log_.entries_from(to.next, settings_.append_bytes))
    *body.add_entries() = std::move(entry);
  // The next message continues here without waiting for the answer; a lost one is
  // noticed when the member refuses its successor.
  to.next += static_cast<std::uint64_t>(body.entries_size());
}

void raft_node::send_chunk(std::uint64_t member) {
  auto& to = progress_of(member);
  if (!to.snapshot) {
    to.snapshot = std::make_shared<const std::string>(log_.snapshot()->SerializeAsString());
    to.snapshot_index = log_.snapshot_index();
    to.snapshot_checksum = XXH64(to.snapshot->data(), to.snapshot->size(), 0);
    to.offset = 0;
  }
  auto& body = *send(member).mutable_snapshot();
  body.set_last_index(to.snapshot_index);
  body.set_offset(to.offset);
  // A member that does not answer is asked without data, because a chunk with
  // each heartbeat would exceed the limit of control traffic.
  to.is_probed = !is_reachable(member);
  if (!to.is_probed) {
    body.set_data(to.snapshot->substr(to.offset, settings_.chunk_bytes));
    body.set_done(to.offset + body.data().size() == to.snapshot->size());
  }
  body.set_checksum(to.snapshot_checksum);
  body.set_round(round_);
}

// An answer of another data folder under the id of a member says nothing about it.
raft_node::progress* raft_node::take_answer(const wire::raft_message& message,
                                            std::uint64_t round) {
  if (role_ != raft_role::leader || message.term() != term()) return nullptr;
  if (membership().find(message.from()) == nullptr) return nullptr;
  auto& from = progress_of(message.from());
  if (from.identity == 0) from.identity = message.from_identity();
  if (from.identity != message.from_identity()) return nullptr;
  from.zone = message.from_zone();
  note_answer(message.from(), round);
  return &from;
}

void raft_node::take(const wire::raft_message& message, const wire::append_reply& body) {
  auto* const answering = take_answer(message, body.round());
  if (answering == nullptr) return;
  auto& from = *answering;
  if (body.success()) {
    from.match = std::max(from.match, std::min(body.match_index(), log_.last_index()));
    from.next = std::max(from.next, from.match + 1);
    const auto committed_before = commit_index_;
    advance_commit();
    // Members apply what is committed; without a message of its own they would learn
    // of it with the next heartbeat.
    if (role_ == raft_role::leader && commit_index_ > committed_before) broadcast();
    if (role_ == raft_role::leader && from.next <= log_.last_index()) send_entries(message.from());
    return;
  }
  // One lost message makes the member refuse all that were sent after it; only the
  // first refusal starts a new transmission.
  if (body.round() <= from.rewound_round) return;
  from.rewound_round = round_;
  start_round();
  from.next = std::max(from.match, std::min(body.match_index(), log_.last_index())) + 1;
  send_entries(message.from());
}

void raft_node::take(const wire::raft_message& message, const wire::snapshot_reply& body) {
  auto* const answering = take_answer(message, body.round());
  if (answering == nullptr) return;
  auto& from = *answering;
  if (!from.snapshot || body.checksum() != from.snapshot_checksum) return;
  if (body.done()) {
    from.snapshot.reset();
    from.match = std::max(from.match, from.snapshot_index);
    from.next = from.match + 1;
    advance_commit();
    if (role_ == raft_role::leader) send_entries(message.from());
    return;
  }
  // A repeated answer asks for a chunk that is already on its way.
  const bool is_progress = body.offset() > from.offset || from.is_probed;
  from.offset = std::min<std::uint64_t>(body.offset(), from.snapshot->size());
  if (is_progress) send_chunk(message.from());
}

void raft_node::advance_commit() {
  if (role_ != raft_role::leader) return;
  const auto index = membership().quorum_value([this](std::uint64_t member) {
    return member == id() ? log_.last_index() : match_index(member);
  });
  if (index <= commit_index_ || log_.term_at(index) != term()) return;
  commit_to(index);
  finish_membership_change();
}

void raft_node::commit_to(std::uint64_t index) {
  while (commit_index_ < index)
    effects_.committed.push_back(log_.at(++commit_index_));
}

} // namespace zinnia
