#pragma once

#include "zinniarelay/core/time.h"

#include <map>
#include <optional>
#include <string>

namespace zinnia {

/// Measures by how much an answer from another zone takes longer than one from the own zone: the
/// difference of the least times from an opening packet to the first packet of the caller that
/// shows an answer. The least times contain no waits.
class zone_delays {
public:
  void record(time_point now, const std::string& zone, microseconds answered_after);
  /// Returns the added delay in milliseconds; no value before answers from both zones.
  std::optional<double> added_ms(const std::string& own_zone, const std::string& zone) const;

private:
  /// Least times of the present period and of the one before, so that a route that has become
  /// longer is noticed.
  struct least_times {
    time_point period_start;
    microseconds current{0};
    std::optional<microseconds> previous;
    microseconds least() const;
  };

  std::map<std::string, least_times> zones_;
};

} // namespace zinnia
