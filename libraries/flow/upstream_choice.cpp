#include "zinniarelay/flow/upstream_choice.h"

#include <algorithm>
#include <limits>

namespace zinnia {
namespace {

// The time until a new flow is done, in runs of a warm upstream: it runs at once
// on a free slot and waits its turn otherwise.
double expected_runs(const upstream_candidate& it, const choice_settings& settings) {
  const auto speed = it.is_warming ? settings.warming_speed : 1.0;
  const auto slots = static_cast<double>(std::max(it.slots, 1U));
  const auto waiting = std::max(0.0, it.open_flows + 1 - slots) / slots;
  // Among upstreams with a free slot the least used one is preferred, because the
  // estimate of open flows lags.
  const auto tie = 0.25 * std::min(1.0, it.open_flows / slots);
  return (1 + waiting + tie) / speed + (it.is_own_zone ? 0 : settings.zone_cost);
}

} // namespace

std::optional<std::uint64_t> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                             const choice_settings& settings,
                                             random_engine& engine) {
  constexpr double suspect_cost = 1e6;
  constexpr double equal = 1e-9;
  double best = std::numeric_limits<double>::infinity();
  std::uint32_t ties = 0;
  std::optional<std::uint64_t> out;
  for (const auto& it : candidates) {
    const auto cost = expected_runs(it, settings) + (it.is_suspect ? suspect_cost : 0);
    if (cost > best + equal) continue;
    if (cost < best - equal) ties = 0;
    best = std::min(best, cost);
    // Equal candidates are chosen with equal probability: hosts that all took the
    // first one would overload it together.
    std::uniform_int_distribution<std::uint32_t> draw(0, ties++);
    if (draw(engine) == 0) out = it.incarnation;
  }
  return out;
}

} // namespace zinnia
