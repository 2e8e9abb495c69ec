#pragma once

#include <chrono>
#include <ctime>

namespace zinnia {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Monotonic time that the daemons pass to decisions. Not comparable between hosts.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Returns the time since the machine started, in the resolution of time_point; for
/// daemons and tools only. The time includes suspension of the machine, so leases expire
/// and ages increase while the machine is suspended.
inline time_point monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(
      std::chrono::duration_cast<microseconds>(std::chrono::seconds(now.tv_sec)) +
      std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace zinnia
