#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

/// A slot of an upstream. Its owner may use it for one call and must release it.
struct upstream_slot {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint64_t connection = 0; ///< the connection to call on; 0 on a borrowed slot
  time_point valid_until;       ///< the call may start before this time

  friend bool operator==(const upstream_slot&, const upstream_slot&) = default;
};

/// How a call on a slot ended; an observation of the upstream's health (docs/design.md R19).
enum class call_result : std::uint8_t {
  completed,
  failed,
  refused,   ///< refused before start: busy or leaving, which does not count against health
  unused,    ///< the slot was not used
  abandoned, ///< cancelled by this host, which does not count for or against health
};

} // namespace zinnia
