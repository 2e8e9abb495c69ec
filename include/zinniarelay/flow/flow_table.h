#pragma once

#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/packet_head.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace zinnia {

/// The flows whose packets this host has carried lately. It is a memory of load
/// and evidence only: any host routes any packet without it.
class flow_table {
public:
  struct flow {
    std::uint64_t upstream = 0; ///< incarnation
    time_point opened;
    time_point seen;
    std::uint32_t copies = 0; ///< of the opening packet, sent so far
    bool is_answered = false; ///< the caller has heard from the upstream
    bool is_closed = false;   ///< kept for the last packets, which arrive after the end
  };

  /// The flow, or null.
  flow* find(const flow_key& key);
  /// Adds a flow, replaces a closed one, or moves a known one to another upstream.
  flow& open(time_point now, const flow_key& key, std::uint64_t upstream);
  /// Notes a packet of a flow, which is added when it is not known.
  flow& touch(time_point now, const flow_key& key, std::uint64_t upstream);
  void close(const flow_key& key);
  /// Drops the flows without a packet for the given time. An upstream that ends a flow
  /// tells only the caller, so that silence is the only sign of it here.
  void expire(time_point now, milliseconds silence);

  /// Open flows of an upstream that this host knows of.
  std::uint32_t open_of(std::uint64_t upstream) const;
  std::size_t size() const { return flows_.size(); }

private:
  void drop_count(const flow& it);

  absl::flat_hash_map<flow_key, flow, std::hash<flow_key>> flows_;
  std::unordered_map<std::uint64_t, std::uint32_t> open_;
};

} // namespace zinnia
