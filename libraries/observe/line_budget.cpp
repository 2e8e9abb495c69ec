#include "zinniarelay/observe/line_budget.h"

#include <algorithm>

namespace zinnia {

bool line_budget::take(time_point now) {
  const std::chrono::duration<double> elapsed = now - last_;
  last_ = now;
  available_ = std::min(rate_, available_ + rate_ * elapsed.count());
  if (available_ < 1) {
    ++dropped_;
    return false;
  }
  available_ -= 1;
  return true;
}

} // namespace zinnia
