#pragma once

#include "zinniarelay/core/time.h"

#include <boost/histogram.hpp>

#include <ostream>

namespace zinnia::utilities {

/// Latencies from 10 microseconds to 100 s in 60 logarithmic bins.
class latency_histogram {
public:
  void add(microseconds latency) { bins_(static_cast<double>(latency.count()) / 1000); }

  /// One line for each bin that is not empty.
  void print(std::ostream& out) const;

private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(axis())) bins_ =
      boost::histogram::make_histogram(axis(60, 0.01, 100'000));
};

} // namespace zinnia::utilities
