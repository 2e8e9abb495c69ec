#pragma once

#include <cstdint>
#include <vector>

namespace zinnia::bench {

/// The measures of one service over a run.
struct service_measures {
  std::vector<double> waits; ///< queue waits, as multiples of the mean service time
  double largest_sum = 0;    ///< sum over samples of the largest outstanding work per slot
  double mean_sum = 0;       ///< sum over samples of the mean outstanding work per slot
  double useful_work = 0;    ///< slot time of requests answered in time, in microseconds
  double capacity = 0;       ///< slot time available, in microseconds

  /// Returns the ratio of the largest to the mean outstanding work per slot.
  double imbalance() const { return mean_sum > 0 ? largest_sum / mean_sum : 0; }
  /// Returns a percentile of the queue waits; the 99th for 0.99.
  double wait_percentile(double percentile) const;
};

/// The measures of a run.
struct measures {
  std::vector<service_measures> services;
  std::uint64_t flows = 0;
  std::uint64_t broken_flows = 0;
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  std::uint64_t outage_requests = 0; ///< while a zone is down or cut off
  std::uint64_t outage_retries = 0;
  double control_bytes = 0; ///< per second of the busiest host, the larger of sent and received

  double broken_per_ten_thousand() const {
    return flows == 0 ? 0 : 1e4 * static_cast<double>(broken_flows) / static_cast<double>(flows);
  }
  /// Returns the retries in percent of the requests, counted while a zone is down or cut off.
  /// In a run without such an outage, counts the whole run.
  double retry_percent() const;
  /// Returns the useful work as a share of capacity, over all services.
  double useful_share() const;
  /// Adds the measures of a run with another seed.
  void add(const measures& other);
};

} // namespace zinnia::bench
