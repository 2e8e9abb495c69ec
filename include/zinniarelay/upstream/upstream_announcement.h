#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>

namespace zinnia {

/// What an upstream says about itself in a renewal, after its service and credential
/// have been checked.
struct upstream_announcement {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint32_t slots = 0;
  bool leaving = false;
  std::uint32_t reported_outstanding = 0;
  bool reported_unhealthy = false;
  std::uint64_t lease_echo = 0; ///< lease_mark of the last reply; 0 when there was none
};

enum class announcement_result : std::uint8_t {
  accepted,
  superseded, ///< a newer incarnation has announced itself on the same address
  malformed,  ///< no slots, no address or an incarnation of another service
};

/// What the upstream is told.
struct announcement_answer {
  announcement_result result = announcement_result::accepted;
  std::uint64_t lease_mark = 0; ///< to be echoed in the next renewal
  bool drain_requested = false;

  bool is_accepted() const { return result == announcement_result::accepted; }
};

} // namespace zinnia
