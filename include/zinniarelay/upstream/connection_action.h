#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>

namespace zinnia {

/// What the daemon does with the connection to an upstream (docs/design.md R20).
struct connection_action {
  enum class kind : std::uint8_t {
    open,    ///< connect
    probe,   ///< call CheckConnection on this connection and report the result
    replace, ///< close `replaced` (its calls fail) and connect as `connection`
    close,   ///< the upstream is gone and has no running calls
  };

  kind action = kind::open;
  incarnation_id incarnation;
  endpoint address;
  std::uint64_t connection = 0;
  std::uint64_t replaced = 0;

  friend bool operator==(const connection_action&, const connection_action&) = default;
};

/// The answer to a probe; a probe without one is timed by the pool.
enum class probe_result : std::uint8_t { healthy, unhealthy, wrong_identity, failed };

} // namespace zinnia
