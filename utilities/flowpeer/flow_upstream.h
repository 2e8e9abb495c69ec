#pragma once

#include "common/udp_socket.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/packet_head.h"
#include "zinniarelay/flow/upstream_report.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnia::flowpeer {

struct upstream_options {
  std::string id = "i-1";
  std::string service;
  std::string zone;
  endpoint address;
  std::vector<endpoint> controls; ///< HTTP of control hosts
  /// Addresses of the service; packets to others are reported. Empty: not checked.
  std::vector<std::uint32_t> service_addresses;
  milliseconds drain_time{3'000}; ///< from the stop to the end
  std::uint16_t caller_port = 0;  ///< at which callers receive packets
  std::size_t answer_bytes = 600; ///< of each answer
};

/// A stand-in of an upstream of packet flows: it reports to a control host, answers
/// the requests of callers directly, and leaves when it is told to stop.
class flow_upstream {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<flow_upstream>> create(const upstream_options& options);

  /// Serves until a stop is asked for, then drains.
  void run(const std::atomic<bool>& stop);

private:
  struct served_flow {
    std::uint32_t sequence = 0; ///< that the caller acknowledges; 0 before it is drawn
    std::string request;        ///< empty before it has arrived
  };

  flow_upstream(const upstream_options& options, utilities::udp_socket socket)
      : options_(options), socket_(std::move(socket)) {}

  void keep_reporting(const std::stop_token& end);
  void serve_packets();
  bool is_addressed(std::string_view packet) const;
  void note_violations(const endpoint& sender, const packet_head& head);
  void serve(const packet_head& head, std::string_view data);
  void send(const packet_head& to, packet_head head, std::string_view data);
  void send_answer(const packet_head& head, const std::string& request);
  bool report(upstream_report::state condition);
  upstream_report next_report(upstream_report::state condition);
  bool leave();
  bool post(const std::string& path, const std::string& body);

  upstream_options options_;
  utilities::udp_socket socket_;
  std::unordered_map<flow_key, served_flow> flows_;
  std::size_t control_ = 0; ///< that took the last report
  std::uint64_t sequence_ = 0;
  std::uint64_t started_ms_ = 0;
  std::uint32_t next_flow_ = 0; ///< sequence of the last flow
  std::uint64_t runs_ = 0;
  std::atomic<bool> is_draining_{false};
  /// Unix time of the first confirmation that this upstream leaves.
  std::atomic<std::uint64_t> leave_confirmed_ms_{0};
};

} // namespace zinnia::flowpeer
