#pragma once

#include "zinniarelay/core/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace zinnia {

/// The files of a data folder. What is not synced may be lost in a crash. A
/// failed call leaves the file in an unknown state, and its owner stops.
class storage {
public:
  virtual ~storage() = default;

  /// No value when there is no such file.
  virtual result<std::optional<std::string>> read(const std::string& name) const = 0;

  /// Replaces a file so that a crash leaves either the old or the new content;
  /// the new content is synced when this returns.
  virtual result<void> replace(const std::string& name, const std::string& content) = 0;

  /// Appends to a file and syncs it before it returns.
  virtual result<void> append(const std::string& name, const std::string& content) = 0;
};

} // namespace zinnia
