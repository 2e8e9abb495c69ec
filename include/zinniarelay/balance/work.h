#pragma once

#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/upstream/upstream_slot.h"

#include "peer.pb.h"
#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

namespace zinnia {

/// Identifies a request by its flow id and request number.
struct work_key {
  std::uint64_t flow = 0;
  std::uint64_t number = 0;

  friend bool operator==(const work_key&, const work_key&) = default;
  friend bool operator<(const work_key& a, const work_key& b) {
    return std::tie(a.flow, a.number) < std::tie(b.flow, b.number);
  }
};

/// A request that waits for a slot.
struct work {
  work_key key;
  service_id service;
  time_point deadline;
};

enum class reject_reason : std::uint8_t {
  queue_full,
  deadline_unreachable, ///< it would not complete before its deadline
  expired,              ///< its deadline passed in the queue
  no_upstream,          ///< no upstream accepts work
  duplicate,            ///< the key is queued or running
};

/// Starts the call of a request on a slot; the call must start immediately.
struct start_work {
  work_key key;
  upstream_slot slot;
  bool is_borrowed = false; ///< the slot belongs to another host's upstream

  friend bool operator==(const start_work&, const start_work&) = default;
};

/// Refuses a request that was not run and is no longer queued.
struct reject_work {
  work_key key;
  reject_reason reason = reject_reason::queue_full;

  friend bool operator==(const reject_work&, const reject_work&) = default;
};

/// Sends a slot_ask, slot_given or slot_returned body to another host. The code that sends it
/// fills in from_host and from_incarnation.
struct send_slot_message {
  host_id to;
  wire::peer_packet packet;
};

using dispatch_effect = std::variant<start_work, reject_work, send_slot_message>;
using dispatch_effects = std::vector<dispatch_effect>;

} // namespace zinnia

template <>
struct std::hash<zinnia::work_key> {
  std::size_t operator()(const zinnia::work_key& key) const noexcept {
    return static_cast<std::size_t>((key.flow ^ (key.number << 32U | key.number >> 32U)) *
                                    0x9E3779B97F4A7C15ULL);
  }
};
