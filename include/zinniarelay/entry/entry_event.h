#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/request/dispatch_result.h"
#include "zinniarelay/token/key_ring.h"

#include "control.pb.h"
#include "upstream.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace zinnia {

/// A datagram from a fabric node.
struct fabric_datagram {
  endpoint from;
  std::string data;
};

/// A datagram from another entry host.
struct peer_datagram {
  endpoint from;
  std::string data;
};

/// An upstream's announcement; the reply contains the same ticket.
struct announcement_received {
  std::uint64_t ticket = 0;
  wire::announcement announcement;
};

/// A call to an upstream has ended.
struct call_finished {
  std::uint64_t call = 0;
  dispatch_result result;
};

/// A probe of an upstream's connection has ended. The status is empty when the probe failed or
/// timed out.
struct connection_checked {
  incarnation_id upstream;
  std::uint64_t connection = 0;
  std::optional<wire::connection_status> status;
};

/// A poll of a control host has ended. The reply is empty when the poll failed.
struct sync_finished {
  std::optional<wire::sync_reply> reply;
};

/// The keys file has changed.
struct keys_loaded {
  key_ring keys;
};

/// A planned stop of this process was requested.
struct drain_requested {};

/// Time has passed; delivered at least every 20 ms.
struct timer_tick {};

using entry_event =
    std::variant<fabric_datagram, peer_datagram, announcement_received, call_finished,
                 connection_checked, sync_finished, keys_loaded, drain_requested, timer_tick>;

} // namespace zinnia
