#pragma once

#include "zinniarelay/core/time.h"

#include <algorithm>
#include <cstdint>

namespace zinnia {

/// The number in flow_load.format of the reports that this release sends and accepts.
inline constexpr std::uint32_t load_report_format = 1;
/// Flows by service and zone, and upstreams, in one report. Reports with more are malformed.
inline constexpr int max_reported_flows = 64;
inline constexpr int max_reported_upstreams = 32;
/// Observations and sums that are older are not used.
inline constexpr milliseconds load_report_lifetime{3'000};

/// Returns an age for a message; 0 for a time in the future.
inline std::uint32_t age_ms(time_point now, time_point since) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - since);
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(age.count(), 0));
}

} // namespace zinnia
