#pragma once

#include <ctime>

namespace zinnia::bench {

/// Processor time that this process has used, in microseconds.
inline double processor_microseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace zinnia::bench
