#pragma once

#include "zinniarelay/core/identifiers.h"

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// Identifies the flow of a caller's packets, its service, and the host incarnation that
/// executes its requests. Every packet of the flow contains the sealed token
/// (docs/design.md R2).
struct flow_token {
  service_id service;
  std::uint32_t service_generation = 0;
  zone_id zone;
  host_id executing_host;
  incarnation_id executing_incarnation;
  std::uint32_t record_epoch = 0;
  flow_id flow;

  friend bool operator==(const flow_token&, const flow_token&) = default;
};

/// Size of a sealed token in bytes.
inline constexpr std::size_t sealed_token_size = 52;

} // namespace zinnia
