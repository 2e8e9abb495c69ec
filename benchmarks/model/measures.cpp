#include "model/measures.h"

#include <algorithm>

namespace zinnia::bench {

double service_measures::wait_percentile(double share) const {
  if (waits.empty()) return 0;
  auto sorted = waits;
  const auto rank = std::min(sorted.size() - 1, static_cast<std::size_t>(share * sorted.size()));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                   sorted.end());
  return sorted[rank];
}

double measures::useful_share() const {
  double useful = 0;
  double capacity = 0;
  for (const auto& it : services) {
    useful += it.useful_work;
    capacity += it.capacity;
  }
  return capacity > 0 ? useful / capacity : 0;
}

} // namespace zinnia::bench
