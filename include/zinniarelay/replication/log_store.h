#pragma once

#include "control.pb.h"
#include "zinniarelay/replication/storage.h"

#include <memory>
#include <string_view>
#include <vector>

namespace zinnia {

/// What a data folder holds. Without an identity the folder is new.
struct stored_state {
  std::optional<wire::node_identity> identity;
  std::shared_ptr<const wire::stored_snapshot> snapshot;
  std::vector<wire::log_entry> entries; ///< may start before the end of the snapshot
  std::size_t cut_bytes = 0;            ///< length of an incomplete tail that was cut
};

/// Keeps identity, vote, snapshot and log in the files of a data folder. Every
/// call is synced when it returns (docs/design.md R25).
class log_store {
public:
  explicit log_store(storage& files) : files_(&files) {}

  storage& files() const { return *files_; }

  /// Reads everything and cuts an append that a crash left incomplete. Fails with
  /// error_kind::corrupted, naming file and byte, when synced content is damaged.
  result<stored_state> load();

  /// Writes and syncs every file again: after a failed sync the content that is read may not
  /// be on the disk.
  result<void> resync();

  result<void> write_identity(const wire::node_identity& identity);
  /// Appends entries; the first may replace an earlier entry of its index, which
  /// drops that entry and all after it.
  result<void> append(const std::vector<wire::log_entry>& entries);
  /// Writes a snapshot, then the log anew with only the given entries.
  result<void> write_snapshot(const wire::stored_snapshot& snapshot,
                              const std::vector<wire::log_entry>& entries);

private:
  storage* files_;
};

} // namespace zinnia
