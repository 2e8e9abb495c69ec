#pragma once

#include "control.pb.h"
#include "zinniarelay/replication/storage.h"

#include <memory>
#include <string_view>
#include <vector>

namespace zinnia {

/// The content of a data folder. Without an identity the folder is new, or its bootstrap was
/// interrupted; then the snapshot, if any, covers no entry and lists the founders.
struct stored_state {
  std::optional<wire::node_identity> identity;
  std::shared_ptr<const wire::stored_snapshot> snapshot;
  std::vector<wire::log_entry> entries; ///< may start before the end of the snapshot
  std::size_t truncated_bytes = 0;      ///< length of a removed incomplete append
};

/// Stores identity, vote, snapshot and log in the files of a data folder. Every write is
/// synced when the call returns (docs/design.md R25).
class log_store {
public:
  explicit log_store(storage& files) : files_(&files) {}

  storage& files() const { return *files_; }

  /// Reads all files and truncates an append that a crash left incomplete. Fails with
  /// error_kind::corrupted, naming file and byte, when synced content is damaged.
  result<stored_state> load();

  /// Writes and syncs every file again. After a failed sync, content that can be read is
  /// not necessarily on the disk.
  result<void> resync();

  result<void> write_identity(const wire::node_identity& identity);
  /// Appends entries. If the first one has the index of a stored entry, that entry and all
  /// later stored entries are replaced.
  result<void> append(const std::vector<wire::log_entry>& entries);
  /// Writes a snapshot, then replaces the log by the given entries.
  result<void> write_snapshot(const wire::stored_snapshot& snapshot,
                              const std::vector<wire::log_entry>& entries);

private:
  storage* files_;
};

} // namespace zinnia
