#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include "control.pb.h"
#include "upstream.pb.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace zinnia {

/// Sends a datagram from the fabric socket.
struct send_to_fabric {
  endpoint to;
  std::string data;
};

/// Sends a datagram from the peer socket.
struct send_to_peer {
  endpoint to;
  std::string data;
};

/// Replies to an announcement.
struct reply_to_announcement {
  std::uint64_t ticket = 0;
  wire::announcement_reply reply;
};

/// Starts a call on a connection, if the connection is established.
struct start_call {
  std::uint64_t call = 0;
  std::uint64_t connection = 0;
  wire::serve_request request;
};

/// Cancels a running call; its end is reported by call_finished.
struct cancel_call {
  std::uint64_t call = 0;
};

/// Opens a connection to an upstream.
struct open_connection {
  std::uint64_t connection = 0;
  std::string address;
};

/// Closes a connection and cancels its calls; their ends are reported by call_finished.
struct close_connection {
  std::uint64_t connection = 0;
};

/// Probes an upstream by a call on one of its connections.
struct check_connection {
  incarnation_id upstream;
  std::uint64_t connection = 0;
};

/// Saves a copy of the configuration in force for the next start.
struct save_configuration {
  wire::configuration configuration;
};

/// Reports the requests, answers and tokens that a planned stop still waits for.
struct report_drain {
  std::string state;
  std::uint64_t pending_requests = 0;
  std::uint64_t unacknowledged_answers = 0;
  std::uint64_t token_validity_ms = 0; ///< remaining validity of the tokens that name this host
};

/// Polls a control host.
struct poll_control {
  std::string address;
  wire::sync_request request;
};

using entry_effect = std::variant<send_to_fabric, send_to_peer, reply_to_announcement, start_call,
                                  cancel_call, open_connection, close_connection, check_connection,
                                  save_configuration, report_drain, poll_control>;
using entry_effects = std::vector<entry_effect>;

} // namespace zinnia
