#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"

#include <vector>

namespace zinnia::utilities {

/// Faults that the fabric applies to packets. A share is the probability, from 0 to 1, that the
/// fault applies to a packet.
struct impairments {
  double loss = 0;
  double duplicate = 0;
  double reorder = 0; ///< share of packets that get reorder_delay in addition
  milliseconds delay{0};
  milliseconds jitter{0}; ///< maximum of a uniformly distributed addition to the delay

  static constexpr milliseconds reorder_delay{20};

  /// Returns the delivery times of the copies of a packet that arrives now. Empty when the
  /// packet is lost.
  std::vector<time_point> delivery_times(time_point now, random_engine& random) const {
    std::vector<time_point> times;
    if (random_bool(random, loss)) return times;
    times.push_back(now + random_delay(random));
    if (random_bool(random, duplicate)) times.push_back(now + random_delay(random));
    return times;
  }

private:
  static bool random_bool(random_engine& random, double share) {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  microseconds random_delay(random_engine& random) const {
    microseconds total = delay;
    if (jitter.count() > 0) {
      std::uniform_int_distribution<std::int64_t> distribution(0, microseconds(jitter).count());
      total += microseconds(distribution(random));
    }
    if (random_bool(random, reorder)) total += reorder_delay;
    return total;
  }
};

} // namespace zinnia::utilities
