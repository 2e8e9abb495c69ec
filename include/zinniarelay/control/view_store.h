#pragma once

#include "flow.pb.h"
#include "zinniarelay/replication/storage.h"

#include <optional>

namespace zinnia {

/// Stores in a data folder the view that a control host serves between its start and its
/// first contact with a quorum (docs/design.md R39).
class view_store {
public:
  explicit view_store(storage& files) : files_(&files) {}

  /// Returns no value when no view was saved, or when the view is too old at `wall_ms` (Unix
  /// time). Fails with error_kind::corrupted when the file is damaged.
  result<std::optional<wire::recalled_view>> load(std::uint64_t wall_ms) const;
  /// Saves a view, which is synced when the call returns.
  result<void> save(const wire::recalled_view& view);

private:
  storage* files_;
};

} // namespace zinnia
