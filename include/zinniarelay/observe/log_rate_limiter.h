#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

/// Limits the log lines of frequent events with a token bucket: a number of lines per
/// second, and a burst of the same number after a pause. Counts the lines over the limit.
class log_rate_limiter {
public:
  explicit log_rate_limiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second), available_lines_(lines_per_second) {}

  /// Returns true when a line may be written now; otherwise counts it as dropped.
  bool try_acquire(time_point now);
  std::uint64_t dropped() const { return dropped_; }

private:
  double lines_per_second_;
  double available_lines_;
  time_point last_update_{};
  std::uint64_t dropped_ = 0;
};

} // namespace zinnia
