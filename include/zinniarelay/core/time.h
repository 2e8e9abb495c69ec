#pragma once

#include <chrono>
#include <ctime>

namespace zinnia {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Monotonic time as the daemons pass it into decisions. Never compared between hosts.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Time since the machine started, in the resolution of time_point; for daemons and
/// tools only. It includes time in which the machine was suspended, so that leases and
/// ages run out meanwhile.
inline time_point monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(
      std::chrono::duration_cast<microseconds>(std::chrono::seconds(now.tv_sec)) +
      std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace zinnia
