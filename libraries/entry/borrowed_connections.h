#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/entry/entry_effect.h"

#include <optional>
#include <unordered_map>

namespace zinnia {

/// Connections to upstreams whose slots this host borrows (docs/design.md R24).
/// The upstream pool manages only those of its own upstreams.
class borrowed_connections {
public:
  /// The connection to call on. Opens one when there is none, and is empty until
  /// it had time to connect.
  std::optional<std::uint64_t> use(time_point now, incarnation_id upstream, endpoint address,
                                   entry_effects& out);

  /// Closes connections that were not used for a while.
  void on_tick(time_point now, entry_effects& out);

private:
  struct connection {
    std::uint64_t number = 0;
    time_point opened;
    time_point last_used;
  };
  std::unordered_map<incarnation_id, connection> connections_;
  std::uint64_t opened_ = 0;
};

} // namespace zinnia
