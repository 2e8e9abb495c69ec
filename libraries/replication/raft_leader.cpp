#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {

// Replication on the leader (docs/design.md R25).

wire::raft_message& raft_node::add_message(std::uint64_t to) {
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

void raft_node::append_as_leader(wire::log_entry entry) {
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  effects_.appended.push_back(entry);
  log_.append(std::move(entry));
}

void raft_node::start_round() {
  rounds_.push_back({++last_round_, now_, commit_index_});
  while (now_ - rounds_.front().sent_at > 2 * settings_.election_timeout)
    rounds_.pop_front();
}

void raft_node::broadcast() {
  next_heartbeat_ = now_ + settings_.heartbeat_interval;
  start_round();
  for (const auto& member : membership().all_members())
    if (member.id() != id()) send_entries(member.id());
}

void raft_node::send_entries(std::uint64_t member) {
  auto& peer = progress_of(member);
  if (peer.snapshot || peer.next_index <= log_.base_index()) return send_chunk(member);
  auto& message = add_message(member);
  auto& body = *message.mutable_append();
  body.set_previous_index(peer.next_index - 1);
  body.set_previous_term(log_.term_at(peer.next_index - 1).value());
  body.set_commit_index(commit_index_);
  body.set_round(last_round_);
  body.set_quorum_age_ms(quorum_age_field());
  for (auto& entry : log_.entries_from(peer.next_index, settings_.max_append_bytes))
    *body.add_entries() = std::move(entry);
  // The next message continues after these entries without waiting for the reply. When
  // this message is lost, the member rejects the next one.
  peer.next_index += static_cast<std::uint64_t>(body.entries_size());
}

void raft_node::send_chunk(std::uint64_t member) {
  auto& peer = progress_of(member);
  if (!peer.snapshot) {
    peer.snapshot = std::make_shared<const std::string>(log_.snapshot()->SerializeAsString());
    peer.snapshot_index = log_.snapshot_index();
    peer.snapshot_checksum = XXH64(peer.snapshot->data(), peer.snapshot->size(), 0);
    peer.snapshot_offset = 0;
  }
  auto& body = *add_message(member).mutable_snapshot();
  body.set_last_index(peer.snapshot_index);
  body.set_offset(peer.snapshot_offset);
  // A member that does not reply gets a message without data, because a chunk with each
  // heartbeat would exceed the limit for control traffic.
  peer.is_probed = !is_reachable(member);
  if (!peer.is_probed) {
    body.set_data(peer.snapshot->substr(peer.snapshot_offset, settings_.chunk_bytes));
    body.set_done(peer.snapshot_offset + body.data().size() == peer.snapshot->size());
  }
  body.set_checksum(peer.snapshot_checksum);
  body.set_round(last_round_);
}

// A reply from another data folder with the id of a member is ignored: it does not show
// what the member has stored.
raft_node::progress* raft_node::accept_reply(const wire::raft_message& message,
                                             std::uint64_t round) {
  if (role_ != raft_role::leader || message.term() != term()) return nullptr;
  if (membership().find(message.from()) == nullptr) return nullptr;
  auto& peer = progress_of(message.from());
  if (peer.identity == 0) peer.identity = message.from_identity();
  if (peer.identity != message.from_identity()) return nullptr;
  peer.zone = message.from_zone();
  record_reply(message.from(), round);
  return &peer;
}

void raft_node::handle(const wire::raft_message& message, const wire::append_reply& body) {
  auto* const sender = accept_reply(message, body.round());
  if (sender == nullptr) return;
  auto& peer = *sender;
  if (body.success()) {
    peer.match_index = std::max(peer.match_index, std::min(body.match_index(), log_.last_index()));
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    const auto committed_before = commit_index_;
    advance_commit();
    // Sends the new commit index immediately. Otherwise the members would apply the
    // entries only with the next heartbeat.
    if (role_ == raft_role::leader && commit_index_ > committed_before) broadcast();
    if (role_ == raft_role::leader && peer.next_index <= log_.last_index())
      send_entries(message.from());
    return;
  }
  // After one lost message the member rejects all messages that were sent after it. Only
  // the first rejection starts a retransmission.
  if (body.round() <= peer.rewound_round) return;
  peer.rewound_round = last_round_;
  start_round();
  peer.next_index = std::max(peer.match_index, std::min(body.match_index(), log_.last_index())) + 1;
  send_entries(message.from());
}

void raft_node::handle(const wire::raft_message& message, const wire::snapshot_reply& body) {
  auto* const sender = accept_reply(message, body.round());
  if (sender == nullptr) return;
  auto& peer = *sender;
  if (!peer.snapshot || body.checksum() != peer.snapshot_checksum) return;
  if (body.done()) {
    peer.snapshot.reset();
    peer.match_index = std::max(peer.match_index, peer.snapshot_index);
    peer.next_index = peer.match_index + 1;
    advance_commit();
    if (role_ == raft_role::leader) send_entries(message.from());
    return;
  }
  // A duplicate reply requests a chunk that has already been sent.
  const bool is_progress = body.offset() > peer.snapshot_offset || peer.is_probed;
  peer.snapshot_offset = std::min<std::uint64_t>(body.offset(), peer.snapshot->size());
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
