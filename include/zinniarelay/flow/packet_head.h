#pragma once

#include "zinniarelay/core/endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace zinnia {

/// Identifies a flow by its two ends, as the caller addresses them.
struct flow_key {
  endpoint caller;
  endpoint service;

  friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// The fields of a packet's head that routing uses.
struct packet_head {
  endpoint source;
  endpoint destination;
  bool is_open = false;   ///< requests a new flow
  bool is_answer = false; ///< acknowledges a packet of the peer
  bool is_end = false;    ///< the sender will send no more data
  bool is_reset = false;
  /// Tag of the incarnation that serves the flow, echoed from the last packet that the sender
  /// received; 0 before the first answer.
  std::uint32_t route_tag = 0;
  std::uint32_t sequence = 0;
  /// In an opening packet: the number of copies that the caller sent before it.
  std::uint32_t acknowledged = 0;
  std::size_t data_bytes = 0;

  /// Returns the flow of a packet that a caller sent.
  flow_key key() const { return {source, destination}; }

  friend bool operator==(const packet_head&, const packet_head&) = default;
};

} // namespace zinnia

template <>
struct std::hash<zinnia::flow_key> {
  std::size_t operator()(const zinnia::flow_key& value) const noexcept {
    const std::hash<zinnia::endpoint> endpoint_hash;
    return endpoint_hash(value.caller) ^ (endpoint_hash(value.service) * 31);
  }
};
