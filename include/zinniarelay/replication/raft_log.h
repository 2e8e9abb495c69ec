#pragma once

#include "control.pb.h"
#include "zinniarelay/replication/raft_membership.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace zinnia {

/// The log entries after the base index, and the snapshot that replaces earlier entries.
/// Some entries that the snapshot covers are kept: a member that lags by a few entries
/// then needs no snapshot.
class raft_log {
public:
  raft_log() = default;
  raft_log(std::shared_ptr<const wire::stored_snapshot> snapshot,
           std::vector<wire::log_entry> entries);

  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;
  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t snapshot_index() const { return snapshot_ ? snapshot_->last_index() : 0; }
  const std::shared_ptr<const wire::stored_snapshot>& snapshot() const { return snapshot_; }

  /// Returns no value for an index before the base or after the end.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const;
  const wire::log_entry& at(std::uint64_t index) const;
  /// Returns the first index of the run of entries that have the term of `index`.
  std::uint64_t first_index_of_term(std::uint64_t index) const;

  void append(wire::log_entry entry);
  /// Drops the entry at an index and all entries after it.
  void truncate_from(std::uint64_t index);
  /// Drops the entries up to the snapshot's last index, but keeps the last `retained` of
  /// them, or as many as have `retained_bytes`.
  void compact(std::shared_ptr<const wire::stored_snapshot> snapshot, std::uint64_t retained,
               std::size_t retained_bytes);
  /// Installs a snapshot from the leader. Entries after the snapshot are kept if the log
  /// contains the last entry of the snapshot.
  void install(std::shared_ptr<const wire::stored_snapshot> snapshot);

  /// Returns the entries from an index on, limited to `max_bytes` but at least one if there
  /// is one.
  std::vector<wire::log_entry> entries_from(std::uint64_t index, std::size_t max_bytes) const;
  std::vector<wire::log_entry> all_entries() const { return {entries_.begin(), entries_.end()}; }

  /// Returns the latest membership in the log, committed or not; membership_index()
  /// returns the index of its entry.
  const raft_membership& membership() const;
  std::uint64_t membership_index() const;
  raft_membership membership_at(std::uint64_t index) const;

private:
  void record_membership(const wire::log_entry& entry);

  std::shared_ptr<const wire::stored_snapshot> snapshot_;
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<wire::log_entry> entries_;
  std::map<std::uint64_t, raft_membership> memberships_;
};

} // namespace zinnia
