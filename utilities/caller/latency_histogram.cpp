#include "latency_histogram.h"

#include <iomanip>

namespace zinnia::utilities {

void latency_histogram::print(std::ostream& out) const {
  const double total = boost::histogram::algorithm::sum(bins_);
  if (total <= 0) return;
  out << "latency: up to ms, count, share up to there\n" << std::fixed << std::setprecision(2);
  double sum = 0;
  for (auto&& it : boost::histogram::indexed(bins_)) {
    if (*it <= 0) continue;
    sum += *it;
    out << std::setw(12) << it.bin().upper() << std::setw(10) << static_cast<std::uint64_t>(*it)
        << std::setw(9) << 100 * sum / total << "%\n";
  }
}

} // namespace zinnia::utilities
