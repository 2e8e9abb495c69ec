#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>

namespace zinnia {

/// An action that the daemon executes on the connection to an upstream (docs/design.md R20).
struct connection_action {
  enum class kind : std::uint8_t {
    open,    ///< connect
    probe,   ///< call CheckConnection on this connection and report the result
    replace, ///< close `replaced` (its calls fail) and connect as `connection`
    close,   ///< close; the upstream was removed and has no running calls
  };

  kind action = kind::open;
  incarnation_id incarnation;
  endpoint address;
  std::uint64_t connection = 0;
  std::uint64_t replaced = 0;

  friend bool operator==(const connection_action&, const connection_action&) = default;
};

/// The result of a probe. The pool itself times out a probe without a result.
enum class probe_result : std::uint8_t { healthy, unhealthy, wrong_identity, failed };

} // namespace zinnia
