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

/// The host with the highest weighted hash for the key (docs/design.md R21): a host that
/// joins or leaves moves only the keys that it wins or held. Hosts without a positive
/// weight are skipped.
std::optional<host_id> rendezvous(std::uint64_t key, std::span<const weighted_host> hosts);

/// The same with equal weights.
std::optional<host_id> rendezvous(std::uint64_t key, std::span<const host_id> hosts);

} // namespace zinnia
