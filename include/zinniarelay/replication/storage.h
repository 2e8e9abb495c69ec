#pragma once

#include "zinniarelay/core/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace zinnia {

/// The files of a data folder. Content that is not synced may be lost in a crash. A
/// failed call leaves the file in an unknown state; the owner must stop writing to it.
class storage {
public:
  virtual ~storage() = default;

  /// Returns no value when the file does not exist.
  virtual result<std::optional<std::string>> read(const std::string& name) const = 0;

  /// Replaces a file atomically: a crash leaves either the old or the new content. The
  /// new content is synced when the call returns.
  virtual result<void> replace(const std::string& name, const std::string& content) = 0;

  /// Appends to a file and syncs it before the call returns.
  virtual result<void> append(const std::string& name, const std::string& content) = 0;
};

} // namespace zinnia
