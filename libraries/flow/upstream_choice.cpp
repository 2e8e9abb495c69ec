#include "zinniarelay/flow/upstream_choice.h"

#include <algorithm>
#include <limits>

namespace zinnia {
namespace {

// Returns the expected time until a new flow completes, in service times of a warm upstream.
// A flow starts immediately on a free slot and otherwise waits in the queue.
double expected_completion_time(const upstream_candidate& candidate,
                                const choice_settings& settings) {
  const auto speed = candidate.is_warming ? settings.warming_speed : 1.0;
  const auto slots = static_cast<double>(std::max(candidate.slots, 1U));
  const auto waiting = std::max(0.0, candidate.open_flows + 1 - slots) / slots;
  // Prefers the least loaded of several upstreams with a free slot, because the estimate of
  // open flows lags.
  const auto load_penalty = 0.25 * std::min(1.0, candidate.open_flows / slots);
  return (1 + waiting + load_penalty) / speed + (candidate.is_local_zone ? 0 : settings.zone_cost);
}

} // namespace

bool is_free(const upstream_candidate& candidate) {
  return candidate.is_local_zone && !candidate.is_warming && !candidate.is_suspect &&
         candidate.open_flows < std::max(candidate.slots, 1U);
}

std::optional<std::uint64_t> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                             const choice_settings& settings,
                                             random_engine& engine) {
  constexpr double suspect_cost = 1e6;
  constexpr double tolerance = 1e-9;
  double best = std::numeric_limits<double>::infinity();
  std::uint32_t ties = 0;
  std::optional<std::uint64_t> out;
  for (const auto& it : candidates) {
    const auto cost = expected_completion_time(it, settings) + (it.is_suspect ? suspect_cost : 0);
    if (cost > best + tolerance) continue;
    if (cost < best - tolerance) ties = 0;
    best = std::min(best, cost);
    // Chooses among equal candidates with equal probability. If all hosts chose the first
    // one, they would overload it together.
    std::uniform_int_distribution<std::uint32_t> distribution(0, ties++);
    if (distribution(engine) == 0) out = it.incarnation;
  }
  return out;
}

} // namespace zinnia
