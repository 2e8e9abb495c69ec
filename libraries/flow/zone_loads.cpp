#include "zinniarelay/flow/zone_loads.h"

#include "zinniarelay/flow/load_report.h"

#include <utility>

namespace zinnia {
namespace {

constexpr std::size_t max_loads = 4'096;

} // namespace

void zone_loads::merge(time_point now, std::vector<wire::zone_load> loads) {
  std::erase_if(loads_,
                [&](const auto& it) { return now - it.second.measured > load_report_lifetime; });
  for (auto& it : loads) {
    const milliseconds age(it.age_ms());
    if (age > load_report_lifetime) continue;
    const key sum{it.service(), it.caller_zone(), it.upstream_zone()};
    if (loads_.size() >= max_loads && !loads_.contains(sum)) continue;
    loads_[sum] = {std::move(it), now - age};
  }
}

std::vector<wire::zone_load> zone_loads::current(time_point now) const {
  std::vector<wire::zone_load> out;
  for (const auto& [sum, it] : loads_) {
    const auto age = age_ms(now, it.measured);
    if (milliseconds(age) > load_report_lifetime) continue;
    out.push_back(it.load);
    out.back().set_age_ms(age);
  }
  return out;
}

} // namespace zinnia
