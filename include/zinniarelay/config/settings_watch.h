#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>
#include <filesystem>

namespace zinnia {

/// Detects changes of a settings file, also those that no signal announces. Compares
/// the content: writing the same content again is no change.
class settings_watch {
public:
  /// Records the digest of the file's present content.
  explicit settings_watch(std::filesystem::path path);

  /// Returns true once for each change. Without `is_signalled` the file is read at most
  /// once in a read interval.
  bool has_changed(time_point now, bool is_signalled);

private:
  std::uint64_t read_digest() const;

  std::filesystem::path path_;
  std::uint64_t digest_ = 0;
  time_point next_read_{};
};

} // namespace zinnia
