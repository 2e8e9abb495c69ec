#pragma once

#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/packet_head.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace zinnia {

/// Packets of callers that wait for the first declaration and upstreams of this host
/// (docs/design.md R40). Answers the load pattern after a loss of all power, in which the packets
/// of all callers arrive before the first reply of a control host: a caller repeats a packet that
/// is dropped only after 200 ms to 1.6 s.
class held_packets {
public:
  struct packet {
    packet_head head;
    std::vector<std::byte> bytes;
    time_point arrived;
  };

  explicit held_packets(std::size_t max_packets = 512) : max_packets_(max_packets) {}

  /// Holds a copy of a packet. It replaces an earlier copy of the same opening packet; when too
  /// many packets are held, it replaces the oldest one.
  void add(time_point arrived, const packet_head& head, std::span<const std::byte> bytes);
  /// Removes and returns all packets for which their callers still wait, in the order of arrival.
  std::vector<packet> take(time_point now);

  std::size_t size() const { return packets_.size(); }
  /// Returns the number of packets that were dropped, because they waited for too long or because
  /// too many were held.
  std::uint64_t dropped() const { return dropped_; }

private:
  std::size_t max_packets_;
  std::deque<packet> packets_;
  std::uint64_t dropped_ = 0;
};

} // namespace zinnia
