#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"

#include <vector>

namespace zinnia::utilities {

/// What the fabric does to packets. Shares are probabilities from 0 to 1.
struct impairments {
  double loss = 0;
  double duplicate = 0;
  double reorder = 0; ///< share of packets held back by reorder_hold
  milliseconds delay{0};
  milliseconds jitter{0}; ///< added to the delay, uniformly between 0 and this

  static constexpr milliseconds reorder_hold{20};

  /// When the copies of a packet that arrives now are delivered; empty when it is lost.
  std::vector<time_point> deliveries(time_point now, random_engine& random) const {
    std::vector<time_point> times;
    if (draw(random, loss)) return times;
    times.push_back(now + extra(random));
    if (draw(random, duplicate)) times.push_back(now + extra(random));
    return times;
  }

private:
  static bool draw(random_engine& random, double share) {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  microseconds extra(random_engine& random) const {
    microseconds wait = delay;
    if (jitter.count() > 0) {
      std::uniform_int_distribution<std::int64_t> spread(0, microseconds(jitter).count());
      wait += microseconds(spread(random));
    }
    if (draw(random, reorder)) wait += reorder_hold;
    return wait;
  }
};

} // namespace zinnia::utilities
