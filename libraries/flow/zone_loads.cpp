#include "zinniarelay/flow/zone_loads.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace zinnia {
namespace {

// Equal to the lifetime of a report in load_summary.
constexpr milliseconds max_age{3'000};
constexpr std::size_t max_loads = 4'096;

} // namespace

void zone_loads::merge(time_point now, std::vector<wire::zone_load> loads) {
  std::erase_if(loads_, [&](const auto& it) { return now - it.second.measured > max_age; });
  for (auto& it : loads) {
    const milliseconds age(it.age_ms());
    if (age > max_age) continue;
    const key sum{it.service(), it.caller_zone(), it.upstream_zone()};
    if (loads_.size() >= max_loads && !loads_.contains(sum)) continue;
    loads_[sum] = {std::move(it), now - age};
  }
}

std::vector<wire::zone_load> zone_loads::current(time_point now) const {
  std::vector<wire::zone_load> out;
  for (const auto& [sum, it] : loads_) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - it.measured);
    if (age > max_age) continue;
    out.push_back(it.load);
    out.back().set_age_ms(static_cast<std::uint32_t>(std::max(age, milliseconds(0)).count()));
  }
  return out;
}

} // namespace zinnia
