#pragma once

#include "zinniarelay/core/time.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace zinnia {

/// Converts an age to a message field. An age that does not fit becomes the maximum value.
inline std::uint32_t milliseconds_field(milliseconds age) {
  constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), highest));
}

} // namespace zinnia
