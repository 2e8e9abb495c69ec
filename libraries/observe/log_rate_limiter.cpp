#include "zinniarelay/observe/log_rate_limiter.h"

#include <algorithm>

namespace zinnia {

bool log_rate_limiter::try_acquire(time_point now) {
  const std::chrono::duration<double> elapsed = now - last_update_;
  last_update_ = now;
  available_lines_ =
      std::min(lines_per_second_, available_lines_ + lines_per_second_ * elapsed.count());
  if (available_lines_ < 1) {
    ++dropped_;
    return false;
  }
  available_lines_ -= 1;
  return true;
}

} // namespace zinnia
