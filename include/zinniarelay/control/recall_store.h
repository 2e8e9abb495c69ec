#pragma once

#include "flow.pb.h"
#include "zinniarelay/replication/storage.h"

#include <optional>

namespace zinnia {

/// Keeps in a data folder what a control host serves between its start and its first
/// contact to a quorum (docs/design.md R39).
class recall_store {
public:
  explicit recall_store(storage& files) : files_(&files) {}

  /// No value when nothing was saved, or too long before `wall_ms` (Unix time) to be of
  /// use. Fails with error_kind::corrupted when the file is damaged.
  result<std::optional<wire::recalled_view>> load(std::uint64_t wall_ms) const;
  /// Synced when it returns.
  result<void> save(const wire::recalled_view& view);

private:
  storage* files_;
};

} // namespace zinnia
