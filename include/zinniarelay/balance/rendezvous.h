#pragma once

#include "zinniarelay/core/identifiers.h"

#include <cstdint>
#include <optional>
#include <span>

namespace zinnia {

struct weighted_host {
  host_id id;
  double weight = 1;
};

/// Returns the host with the highest weighted hash for the key (docs/design.md R21). A host that
/// joins moves only the keys that are assigned to it, and a host that leaves moves only the keys
/// that were assigned to it. Hosts without a positive weight are skipped.
std::optional<host_id> rendezvous(std::uint64_t key, std::span<const weighted_host> hosts);

/// Returns the host with the highest hash for the key, with equal weights for all hosts.
std::optional<host_id> rendezvous(std::uint64_t key, std::span<const host_id> hosts);

} // namespace zinnia
