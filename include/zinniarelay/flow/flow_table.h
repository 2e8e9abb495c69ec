#pragma once

#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/packet_head.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace zinnia {

/// The flows whose packets this host has forwarded recently. The table serves only to
/// estimate load and to observe health: any host routes any packet without it.
class flow_table {
public:
  struct flow {
    std::uint64_t upstream = 0; ///< incarnation
    time_point opened;
    time_point last_packet;
    std::uint32_t opening_copies = 0;    ///< repetitions of the opening packet so far
    std::uint32_t last_timeout_copy = 0; ///< the last copy that was recorded as a timeout
    bool is_answered = false;            ///< the caller has received a packet of the upstream
    bool is_closed = false;              ///< kept for packets that arrive after the end of the flow
  };

  /// Returns the flow, or null.
  flow* find(const flow_key& key);
  /// Adds a flow, or replaces the entry of a flow that is closed or moves to another upstream.
  flow& open(time_point now, const flow_key& key, std::uint64_t upstream);
  /// Records a packet of a flow. Adds the flow when the table lacks it.
  flow& record_packet(time_point now, const flow_key& key, std::uint64_t upstream);
  void close(const flow_key& key);
  /// Removes the flows without a packet for longer than the timeout. An upstream that ends a
  /// flow sends the reset directly to the caller; this host sees only that packets stop.
  void expire(time_point now, milliseconds timeout);

  /// Returns the number of open flows of an upstream in this table.
  std::uint32_t open_flows(std::uint64_t upstream) const;
  /// Returns the numbers of open flows by upstream, without those that have none.
  const std::unordered_map<std::uint64_t, std::uint32_t>& open_flows() const { return open_flows_; }
  std::size_t size() const { return flows_.size(); }

private:
  void decrement_open_flows(const flow& flow);

  absl::flat_hash_map<flow_key, flow, std::hash<flow_key>> flows_;
  std::unordered_map<std::uint64_t, std::uint32_t> open_flows_; ///< by incarnation
};

} // namespace zinnia
