#include "zinniarelay/flow/zone_health.h"

namespace zinnia {
namespace {

// Fewer timeouts may be lost packets or full upstreams.
constexpr std::uint32_t suspect_after_timeouts = 3;
// Ends the suspicion when this host gets no reports that could end it earlier.
constexpr milliseconds suspect_period{3'000};

} // namespace

void zone_health::record_timeout(time_point now, const std::string& zone, std::uint64_t upstream) {
  auto& observed = observations_[zone];
  if (now - observed.last_timeout >= suspect_period) observed = {};
  if (observed.timeouts++ == 0) observed.first_upstream = upstream;
  observed.has_other_upstreams |= upstream != observed.first_upstream;
  observed.last_timeout = now;
}

void zone_health::record_contact(const std::string& zone, time_point contact) {
  const auto it = observations_.find(zone);
  if (it != observations_.end() && contact >= it->second.last_timeout) observations_.erase(it);
}

bool zone_health::is_suspect(time_point now, const std::string& zone) const {
  const auto it = observations_.find(zone);
  if (it == observations_.end()) return false;
  const auto& observed = it->second;
  return observed.timeouts >= suspect_after_timeouts && observed.has_other_upstreams &&
         now - observed.last_timeout < suspect_period;
}

} // namespace zinnia
