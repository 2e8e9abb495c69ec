#include "model/measures.h"

#include <algorithm>

namespace zinnia::bench {

double service_measures::wait_percentile(double percentile) const {
  if (waits.empty()) return 0;
  auto sorted = waits;
  const auto rank =
      std::min(sorted.size() - 1, static_cast<std::size_t>(percentile * sorted.size()));
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

double measures::retry_percent() const {
  const auto request_count = outage_requests > 0 ? outage_requests : requests;
  const auto retry_count = outage_requests > 0 ? outage_retries : retries;
  return request_count == 0
             ? 0
             : 1e2 * static_cast<double>(retry_count) / static_cast<double>(request_count);
}

void measures::add(const measures& other) {
  services.resize(other.services.size());
  for (std::size_t n = 0; n < services.size(); ++n) {
    const auto& from = other.services[n];
    auto& to = services[n];
    to.waits.insert(to.waits.end(), from.waits.begin(), from.waits.end());
    to.largest_sum += from.largest_sum;
    to.mean_sum += from.mean_sum;
    to.useful_work += from.useful_work;
    to.capacity += from.capacity;
  }
  flows += other.flows;
  broken_flows += other.broken_flows;
  requests += other.requests;
  retries += other.retries;
  outage_requests += other.outage_requests;
  outage_retries += other.outage_retries;
  control_bytes = std::max(control_bytes, other.control_bytes);
}

} // namespace zinnia::bench
