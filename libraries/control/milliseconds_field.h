#pragma once

#include "zinniarelay/core/time.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace zinnia {

/// An age as messages carry it; one that does not fit is shown as the longest.
inline std::uint32_t milliseconds_field(milliseconds age) {
  constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), highest));
}

} // namespace zinnia
