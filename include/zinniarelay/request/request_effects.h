#pragma once

#include "caller.pb.h"
#include "declaration.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/request/request_key.h"

#include <string>
#include <variant>
#include <vector>

namespace zinnia {

/// Addresses of the packets to a caller: the destination, the service address that is
/// their source, and the fabric node that delivers them.
struct reply_route {
  endpoint caller;
  endpoint service;
  endpoint fabric{};

  friend auto operator<=>(const reply_route&, const reply_route&) = default;
};

/// Sends a packet to a caller.
struct send_packet {
  reply_route route;
  wire::caller_packet packet;
};

/// Puts an attempt into the dispatch queue. Nothing may be written to an upstream
/// before request_executor::on_dispatch_started has granted the start.
struct dispatch_request {
  attempt_key key;
  service_id service;
  std::string method;
  std::string payload;
  wire::content_range range;
  time_point deadline;
  wire::method_kind kind = wire::method_kind_unset;
};

/// Removes an attempt from the dispatch queue, or cancels its call if it was dispatched.
struct cancel_dispatch {
  attempt_key key;
};

using request_effect = std::variant<send_packet, dispatch_request, cancel_dispatch>;
using request_effects = std::vector<request_effect>;

} // namespace zinnia
