#pragma once

#include "caller.pb.h"
#include "declaration.pb.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace zinnia {

/// Identifies one call or download of a session. The application assigns the value.
using call_id = identifier<struct call_tag, std::uint64_t>;

/// The application submits a request.
struct call_submitted {
  call_id id;
  wire::method_kind kind = wire::non_idempotent;
  std::string method;
  std::string payload;
  time_point deadline;
};

/// The application requests a complete content, which the session downloads in ranges.
struct download_submitted {
  call_id id;
  std::string method;
  std::string payload;
  time_point deadline;
};

/// A packet for the session has arrived.
struct packet_received {
  wire::caller_packet packet;
};

/// The time returned by caller_session::next_wakeup() has been reached.
struct timer_fired {};

using caller_event = std::variant<call_submitted, download_submitted, packet_received, timer_fired>;

struct packet_to_send {
  wire::caller_packet packet;
};

/// Reports the end of a call or download. The answer is complete if the kind is
/// outcome_answered, and empty otherwise.
struct call_ended {
  call_id id;
  wire::outcome_kind kind = wire::outcome_unknown;
  wire::outcome_reason reason = wire::reason_unset;
  std::string answer;
};

using caller_effect = std::variant<packet_to_send, call_ended>;
using caller_effects = std::vector<caller_effect>;

} // namespace zinnia
