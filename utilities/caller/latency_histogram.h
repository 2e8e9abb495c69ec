#pragma once

#include "zinniarelay/core/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <iomanip>
#include <ostream>
#include <vector>

namespace zinnia::utilities {

/// Counts latencies from 10 microseconds to 100 s in 60 logarithmic bins.
class latency_histogram {
public:
  void add(microseconds latency) { bins_(static_cast<double>(latency.count()) / 1000); }

  /// Prints a heading and one line for each nonempty bin. Prints nothing without latencies.
  void print(std::ostream& out) const;

private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  // The cells are plain integers. With the default storage of Boost.Histogram 1.74, the comparison
  // of a cell with an integer recurses endlessly.
  using storage = std::vector<std::uint64_t>;

  decltype(boost::histogram::make_histogram_with(storage(), axis())) bins_ =
      boost::histogram::make_histogram_with(storage(), axis(60, 0.01, 100'000));
};

inline void latency_histogram::print(std::ostream& out) const {
  const auto total = boost::histogram::algorithm::sum(bins_);
  if (total == 0) return;
  out << "latency: up to ms, count, share up to there\n" << std::fixed << std::setprecision(2);
  std::uint64_t cumulative = 0;
  for (auto&& it : boost::histogram::indexed(bins_)) {
    if (*it == 0) continue;
    cumulative += *it;
    out << std::setw(12) << it.bin().upper() << std::setw(10) << *it << std::setw(9)
        << 100 * static_cast<double>(cumulative) / static_cast<double>(total) << "%\n";
  }
}

} // namespace zinnia::utilities
