#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/entry/entry_effect.h"

#include <optional>
#include <unordered_map>

namespace zinnia {

/// Connections to upstreams whose slots this host borrows (docs/design.md R24).
/// The upstream pool manages only the connections to the upstreams of this host.
class borrowed_connections {
public:
  /// Returns the connection for a call. Opens a connection when there is none. Empty until the
  /// time allowed for connecting has passed.
  std::optional<std::uint64_t> acquire(time_point now, incarnation_id upstream, endpoint address,
                                       entry_effects& out);

  /// Closes idle connections.
  void on_tick(time_point now, entry_effects& out);

private:
  struct connection {
    std::uint64_t number = 0;
    time_point opened_at;
    time_point last_used;
  };
  std::unordered_map<incarnation_id, connection> connections_;
  std::uint64_t opened_count_ = 0;
};

} // namespace zinnia
