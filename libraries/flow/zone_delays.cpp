#include "zinniarelay/flow/zone_delays.h"

#include <algorithm>

namespace zinnia {
namespace {

// A host gets 10 to 30 flows a second, and few of them go to a certain other zone.
constexpr std::chrono::seconds period{60};

} // namespace

microseconds zone_delays::least_times::least() const {
  return previous ? std::min(*previous, current) : current;
}

void zone_delays::record(time_point now, const std::string& zone, microseconds answered_after) {
  const auto [it, is_new] = zones_.try_emplace(zone);
  auto& times = it->second;
  if (is_new || now - times.period_start >= period) {
    if (!is_new) times.previous = times.current;
    times.period_start = now;
    times.current = answered_after;
  }
  times.current = std::min(times.current, answered_after);
}

std::optional<double> zone_delays::added_ms(const std::string& own_zone,
                                            const std::string& zone) const {
  const auto own = zones_.find(own_zone);
  const auto other = zones_.find(zone);
  if (own == zones_.end() || other == zones_.end()) return std::nullopt;
  const auto added = std::max(other->second.least() - own->second.least(), microseconds(0));
  return std::chrono::duration<double, std::milli>(added).count();
}

} // namespace zinnia
