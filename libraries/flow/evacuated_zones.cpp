#include "zinniarelay/flow/evacuated_zones.h"

#include <utility>

namespace zinnia {

const char* name_of(evacuated_zones::change::kind value) {
  return value == evacuated_zones::change::kind::evacuated ? "zone_evacuated" : "zone_restored";
}

std::vector<evacuated_zones::change> evacuated_zones::apply(time_point now,
                                                            const wire::zone_evacuations& next) {
  std::vector<change> out;
  const auto previous = content_.version();
  const bool is_first = !std::exchange(has_content_, true);
  unconfirmed_.insert(next.unconfirmed().begin(), next.unconfirmed().end());
  if (next.version() <= previous) return out;
  for (const auto& it : next.zones()) {
    if (it.changed_version() <= previous) continue;
    if (it.active()) {
      restored_.erase(it.zone());
      if (active_.insert(it.zone()).second) out.push_back({it.zone(), change::kind::evacuated});
      continue;
    }
    const bool was_active = active_.erase(it.zone()) > 0;
    // This host may have missed the evacuation that has ended.
    if (!is_first) restored_[it.zone()] = now;
    if (was_active) out.push_back({it.zone(), change::kind::restored});
  }
  content_ = next;
  content_.clear_unconfirmed();
  return out;
}

bool evacuated_zones::drop_unconfirmed() {
  return !std::exchange(unconfirmed_, {}).empty();
}

std::optional<time_point> evacuated_zones::restored_at(const std::string& zone) const {
  const auto it = restored_.find(zone);
  return it == restored_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace zinnia
