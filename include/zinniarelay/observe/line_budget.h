#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

/// Bounds the log lines of frequent events: so many a second, and a burst of as many
/// more after a quiet time. What exceeds the bound is counted.
class line_budget {
public:
  explicit line_budget(std::uint32_t lines_per_second)
      : rate_(lines_per_second), available_(lines_per_second) {}

  bool take(time_point now);
  std::uint64_t dropped() const { return dropped_; }

private:
  double rate_;
  double available_;
  time_point last_{};
  std::uint64_t dropped_ = 0;
};

} // namespace zinnia
