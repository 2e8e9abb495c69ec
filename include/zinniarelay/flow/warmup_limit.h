#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace zinnia {

/// The limit of a service for its upstreams after their start (docs/design.md R44).
struct warmup_limit {
  milliseconds duration{0}; ///< how long an upstream is cold after its start
  double rate = 0;          ///< opening packets a second to a cold upstream

  friend bool operator==(const warmup_limit&, const warmup_limit&) = default;
};

/// Limits by service; a service without a limit has no entry.
using warmup_limits = std::map<std::string, warmup_limit>;

/// `Services` is a list of wire::flow_service.
template <class Services>
warmup_limits warmup_limits_of(const Services& services) {
  warmup_limits out;
  for (const auto& it : services)
    if (it.warmup_rate() > 0) out[it.name()] = {milliseconds(it.warmup_ms()), it.warmup_rate()};
  return out;
}

/// Returns the part of the digest of a declaration for its limits; 0 without limits.
std::uint64_t digest_of(const warmup_limits& limits);

} // namespace zinnia
