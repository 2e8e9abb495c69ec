#pragma once

#include "zinniarelay/core/time.h"

#include "caller.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::utilities {

/// What a caller asks for in one request.
struct request_spec {
  std::string method;
  std::string payload;
  milliseconds deadline{0};
  std::optional<wire::content_range> range;
};

/// How one request ended.
struct request_end {
  enum class outcome { answered, not_run, unknown, no_reply };

  std::uint64_t number = 0; ///< as submit() returned it
  std::uint64_t flow = 0;   ///< 0 when the flow was never opened
  outcome kind = outcome::no_reply;
  wire::outcome_reason reason = wire::reason_unset;
  std::string payload;
  wire::content_info content;
};

/// The caller's side of the protocol for one flow: open, send, resend, assemble, acknowledge.
class flow_client {
public:
  flow_client(std::string service, std::uint64_t nonce);

  std::uint64_t nonce() const { return nonce_; }
  std::uint64_t flow() const { return flow_; }
  bool is_open() const { return !token_.empty(); }
  bool has_requests() const { return !pending_.empty(); }

  void open(time_point now);
  std::uint64_t submit(time_point now, request_spec spec);
  void receive(time_point now, const wire::caller_packet& packet);
  /// Sends again what got no reply for a while, and gives up what is overdue.
  void tick(time_point now);

  std::vector<std::string> take_packets();
  std::vector<request_end> take_ends();
  std::uint64_t resent() const { return resent_; }
  std::uint64_t malformed() const { return malformed_; }
  std::optional<wire::refusal_cause> refused() const { return refused_; }

private:
  struct pending_request {
    request_spec spec;
    time_point deadline;
    time_point next_send;
    std::uint32_t attempt = 0;
    std::string digest;
    std::string data;
    std::map<std::uint32_t, std::uint32_t> received; ///< offset to end of received intervals
    wire::content_info content;
  };

  void send_open(time_point now);
  void send_request(time_point now, std::uint64_t number, pending_request& it);
  void take_part(time_point now, const wire::answer_part& part);
  void take_opened(time_point now, const wire::open_reply& reply);
  void take_refusal(const wire::refusal& refused);
  void end(std::uint64_t number, request_end::outcome kind, wire::outcome_reason reason);
  static std::uint32_t lowest_missing(const pending_request& it);
  void queue(const wire::caller_packet& packet);

  std::string service_;
  std::uint64_t nonce_;
  std::uint64_t flow_ = 0;
  std::string token_;
  std::optional<time_point> next_open_;
  std::optional<wire::refusal_cause> refused_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, pending_request> pending_;
  std::vector<std::string> packets_;
  std::vector<request_end> ends_;
  std::uint64_t resent_ = 0;
  std::uint64_t malformed_ = 0;
};

} // namespace zinnia::utilities
