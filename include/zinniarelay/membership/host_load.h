#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <vector>

namespace zinnia {

/// The load of one host for one service.
struct service_load {
  service_id service;
  std::uint32_t slots = 0;       ///< usable slots of its upstreams
  std::uint32_t outstanding = 0; ///< slots in use
  std::uint32_t queued = 0;      ///< requests waiting for a slot
  microseconds service_time{0};  ///< mean time that a request occupies a slot; 0 when unknown

  friend bool operator==(const service_load&, const service_load&) = default;
};

/// A host's load summary, disseminated with membership probes (docs/design.md R22).
struct host_load {
  std::uint64_t sequence = 0;     ///< within an incarnation, a higher sequence replaces a lower one
  std::uint32_t record_epoch = 0; ///< docs/design.md R8
  std::uint64_t revision = 0;     ///< revision of the configuration in force
  bool draining = false;          ///< accepts no new flows
  std::vector<service_load> services;
  endpoint registration; ///< where upstreams announce themselves
  /// No packet was received from the fabric for some time. Packets to callers may be lost too.
  bool is_without_fabric_packets = false;

  friend bool operator==(const host_load&, const host_load&) = default;
};

} // namespace zinnia
