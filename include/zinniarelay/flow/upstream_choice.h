#pragma once

#include "zinniarelay/core/random.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace zinnia {

/// The properties of an upstream that decide whether it gets a new flow.
struct upstream_candidate {
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;
  double open_flows = 0; ///< with recent packets on this host
  bool is_local_zone = true;
  bool is_warming = false; ///< runs slower for a while after its start
  bool is_suspect = false; ///< does not answer, or its reports have stopped arriving

  friend bool operator==(const upstream_candidate&, const upstream_candidate&) = default;
};

struct choice_settings {
  /// Speed of an upstream that is warming up, relative to a warm one.
  double warming_speed = 0.5;
  /// Cost of sending a flow to another zone, in service times of a warm upstream.
  double zone_cost = 0.6;

  friend bool operator==(const choice_settings&, const choice_settings&) = default;
};

/// Returns true when the upstream starts a new flow at once and at full speed. Another zone's
/// upstream has no lower cost.
bool is_free(const upstream_candidate& candidate);

/// Returns the upstream with the lowest expected completion time of a new flow. A suspect
/// upstream is chosen only when all are suspect. Returns no value without candidates.
std::optional<std::uint64_t> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                             const choice_settings& settings,
                                             random_engine& engine);

} // namespace zinnia
