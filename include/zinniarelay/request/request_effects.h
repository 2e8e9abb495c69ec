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

/// Where packets for a caller go: the caller, the service address they come from, and
/// the fabric node that delivers them.
struct reply_route {
  endpoint caller;
  endpoint service;
  endpoint fabric;

  friend auto operator<=>(const reply_route&, const reply_route&) = default;
};

/// Send a packet to a caller.
struct send_packet {
  reply_route route;
  wire::caller_packet packet;
};

/// Put an attempt into the dispatch queue. Before anything is written to an
/// upstream, request_executor::on_dispatch_started must grant the start.
struct dispatch_request {
  attempt_key key;
  service_id service;
  std::string method;
  std::string payload;
  wire::content_range range;
  time_point deadline;
  wire::method_kind kind = wire::method_kind_unset;
};

/// Remove an attempt from the dispatch queue, or cancel its call.
struct cancel_dispatch {
  attempt_key key;
};

using request_effect = std::variant<send_packet, dispatch_request, cancel_dispatch>;
using request_effects = std::vector<request_effect>;

} // namespace zinnia
