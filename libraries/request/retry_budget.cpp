#include "zinniarelay/request/retry_budget.h"

#include <algorithm>

namespace zinnia {

void retry_budget::on_first_attempt(std::uint32_t percent) {
  credit_ = std::min(cap_, credit_ + percent);
}

bool retry_budget::try_retry() {
  if (credit_ < hundredths_per_retry) return false;
  credit_ -= hundredths_per_retry;
  return true;
}

} // namespace zinnia
