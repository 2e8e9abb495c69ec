#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>

namespace zinnia {

/// A renewal that an upstream sent, after its service and credential have been checked.
struct upstream_announcement {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint32_t slots = 0;
  bool is_leaving = false;
  std::uint32_t reported_outstanding = 0;
  bool is_reported_unhealthy = false;
  std::uint64_t lease_echo = 0; ///< lease_mark of the last reply received; 0 before the first
};

enum class announcement_result : std::uint8_t {
  accepted,
  superseded, ///< a newer incarnation has announced itself on the same address
  malformed,  ///< no slots, no address or an incarnation of another service
};

/// The reply to a renewal.
struct announcement_reply {
  announcement_result result = announcement_result::accepted;
  std::uint64_t lease_mark = 0; ///< to be echoed in the next renewal
  bool is_drain_requested = false;

  bool is_accepted() const { return result == announcement_result::accepted; }
};

} // namespace zinnia
