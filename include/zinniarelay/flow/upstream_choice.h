#pragma once

#include "zinniarelay/core/random.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia {

/// What the choice of an upstream for a new flow is made from.
struct upstream_candidate {
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;
  double open_flows = 0; ///< that this host has carried lately
  bool is_own_zone = true;
  bool is_warming = false; ///< slow after its start
  bool is_suspect = false; ///< does not answer, or its reports have stopped

  friend bool operator==(const upstream_candidate&, const upstream_candidate&) = default;
};

struct choice_settings {
  /// Speed of an upstream that is warming up, relative to a warm one.
  double warming_speed = 0.5;
  /// What a flow to another zone costs, in runs that could have been waited for.
  double zone_cost = 0.6;

  friend bool operator==(const choice_settings&, const choice_settings&) = default;
};

/// Chooses the upstream on which a new flow is expected to wait least. Suspects
/// are chosen only when there is nothing else. No value without a candidate.
std::optional<std::uint64_t> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                             const choice_settings& settings,
                                             random_engine& engine);

} // namespace zinnia
