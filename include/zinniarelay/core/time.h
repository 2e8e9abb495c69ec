#pragma once

#include <chrono>

namespace zinnia {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Monotonic time as the daemons pass it into decisions. Never compared between hosts.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// The monotonic clock in the resolution of time_point; for daemons and tools only.
inline time_point monotonic_now() {
  return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

} // namespace zinnia
