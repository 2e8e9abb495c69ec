#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

/// A slot of an upstream that the holder may use for one call and must release.
struct upstream_slot {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint64_t connection = 0; ///< the connection to call on; 0 on a borrowed slot
  time_point valid_until;       ///< the call may start before this time

  friend bool operator==(const upstream_slot&, const upstream_slot&) = default;
};

/// How a call that held a slot ended, as evidence of the upstream's health (docs/design.md R19).
enum class call_result : std::uint8_t {
  completed,
  failed,
  refused,   ///< refused before start: busy or leaving, which is no sign of illness
  unused,    ///< the slot was not used
  abandoned, ///< cancelled by this host, which says nothing about the upstream
};

} // namespace zinnia
