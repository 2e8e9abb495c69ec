#pragma once

#include "zinniarelay/core/endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace zinnia {

/// The two ends of a flow as its caller names them; identifies the flow.
struct flow_key {
  endpoint caller;
  endpoint service;

  friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// What the system reads of a packet.
struct packet_head {
  endpoint source;
  endpoint destination;
  bool is_open = false;   ///< asks for a new flow
  bool is_answer = false; ///< acknowledges a packet of the other end
  bool is_end = false;    ///< the sender has nothing more to send
  bool is_reset = false;
  /// Incarnation that holds the flow, as the sender last saw it; 0 before the first answer.
  std::uint32_t route_tag = 0;
  std::uint32_t sequence = 0;
  /// Of an opening packet: how many copies were sent before it.
  std::uint32_t acknowledged = 0;
  std::size_t data_bytes = 0;

  /// Valid for packets of the caller.
  flow_key key() const { return {source, destination}; }

  friend bool operator==(const packet_head&, const packet_head&) = default;
};

} // namespace zinnia

template <>
struct std::hash<zinnia::flow_key> {
  std::size_t operator()(const zinnia::flow_key& value) const noexcept {
    const std::hash<zinnia::endpoint> of;
    return of(value.caller) ^ (of(value.service) * 31);
  }
};
