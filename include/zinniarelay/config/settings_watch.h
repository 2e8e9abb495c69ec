#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>
#include <filesystem>

namespace zinnia {

/// Notices that a settings file has changed, also when nobody signals it. Only the
/// content counts: a file that is written again unchanged is no change.
class settings_watch {
public:
  /// Notes the present content of the file.
  explicit settings_watch(std::filesystem::path path);

  /// True once for each change. Without `is_signalled` the file is read at most once
  /// in a period.
  bool has_changed(time_point now, bool is_signalled);

private:
  std::uint64_t read_digest() const;

  std::filesystem::path path_;
  std::uint64_t digest_ = 0;
  time_point next_read_{};
};

} // namespace zinnia
