#include "zinniarelay/replication/raft_log.h"

#include <glog/logging.h>

namespace zinnia {

raft_log::raft_log(std::shared_ptr<const wire::stored_snapshot> snapshot,
                   std::vector<wire::log_entry> entries)
    : snapshot_(std::move(snapshot)) {
  if (snapshot_) {
    memberships_[snapshot_->last_index()] = raft_membership::from_message(*snapshot_);
    base_index_ = snapshot_->last_index();
    base_term_ = snapshot_->last_term();
  }
  auto it = entries.begin();
  if (it != entries.end() && it->index() <= base_index_) {
    base_index_ = it->index();
    base_term_ = it->term();
    ++it;
  }
  for (; it != entries.end(); ++it)
    append(std::move(*it));
}

std::uint64_t raft_log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term();
}

std::optional<std::uint64_t> raft_log::term_at(std::uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return at(index).term();
}

const wire::log_entry& raft_log::at(std::uint64_t index) const {
  CHECK(index > base_index_ && index <= last_index()) << "no log entry " << index;
  return entries_[index - base_index_ - 1];
}

std::uint64_t raft_log::first_index_of_term(std::uint64_t index) const {
  const auto term = at(index).term();
  while (index - 1 > base_index_ && at(index - 1).term() == term)
    --index;
  return index;
}

void raft_log::append(wire::log_entry entry) {
  CHECK_EQ(entry.index(), last_index() + 1);
  record_membership(entry);
  entries_.push_back(std::move(entry));
}

void raft_log::record_membership(const wire::log_entry& entry) {
  // The members of the snapshot already include the changes of the entries that it covers.
  if (entry.members_size() > 0 && entry.index() > snapshot_index())
    memberships_[entry.index()] = raft_membership::from_message(entry);
}

void raft_log::truncate_from(std::uint64_t index) {
  CHECK_GT(index, snapshot_index());
  while (last_index() >= index)
    entries_.pop_back();
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
}

void raft_log::compact(std::shared_ptr<const wire::stored_snapshot> snapshot,
                       std::uint64_t retained, std::size_t retained_bytes) {
  const auto index = snapshot->last_index();
  CHECK_LE(index, last_index());
  auto base = index;
  for (std::size_t bytes = 0; base > base_index_ && index - base < retained; --base) {
    bytes += at(base).ByteSizeLong();
    if (bytes > retained_bytes) break;
  }
  while (base_index_ < base) {
    base_term_ = entries_.front().term();
    ++base_index_;
    entries_.pop_front();
  }
  memberships_.erase(memberships_.begin(), memberships_.upper_bound(index));
  memberships_[index] = raft_membership::from_message(*snapshot);
  snapshot_ = std::move(snapshot);
}

void raft_log::install(std::shared_ptr<const wire::stored_snapshot> snapshot) {
  const auto index = snapshot->last_index();
  if (term_at(index) == snapshot->last_term()) {
    compact(std::move(snapshot), 0, 0);
    return;
  }
  entries_.clear();
  memberships_.clear();
  base_index_ = index;
  base_term_ = snapshot->last_term();
  memberships_[index] = raft_membership::from_message(*snapshot);
  snapshot_ = std::move(snapshot);
}

std::vector<wire::log_entry> raft_log::entries_from(std::uint64_t index,
                                                    std::size_t max_bytes) const {
  std::vector<wire::log_entry> out;
  std::size_t bytes = 0;
  for (; index <= last_index(); ++index) {
    const auto& entry = at(index);
    bytes += entry.ByteSizeLong();
    if (!out.empty() && bytes > max_bytes) break;
    out.push_back(entry);
  }
  return out;
}

const raft_membership& raft_log::membership() const {
  static const raft_membership empty;
  return memberships_.empty() ? empty : memberships_.rbegin()->second;
}

std::uint64_t raft_log::membership_index() const {
  return memberships_.empty() ? 0 : memberships_.rbegin()->first;
}

raft_membership raft_log::membership_at(std::uint64_t index) const {
  const auto it = memberships_.upper_bound(index);
  return it == memberships_.begin() ? raft_membership{} : std::prev(it)->second;
}

} // namespace zinnia
