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
  std::vector<endpoint> control_hosts; ///< HTTP endpoints
  /// Addresses of the service. Packets to other addresses are reported. Empty: not checked.
  std::vector<std::uint32_t> service_addresses;
  milliseconds drain_time{3'000}; ///< from the stop request to the end of the process
  std::uint16_t caller_port = 0;  ///< port at which callers receive packets
  std::size_t answer_bytes = 600; ///< size of each answer
  bool reports_opens = false;     ///< writes a line for each new flow
};

/// Simulates an upstream of packet flows. Reports to a control host, sends answers directly to
/// the callers, and leaves the service when a stop is requested.
class flow_upstream {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<flow_upstream>> create(const upstream_options& options);

  /// Serves until `stop` is set, then drains and leaves.
  void run(const std::atomic<bool>& stop);

private:
  struct served_flow {
    std::uint32_t sequence = 0; ///< acknowledged by the caller; 0 before it is assigned
    std::string request;        ///< empty before the request has arrived
  };

  flow_upstream(const upstream_options& options, utilities::udp_socket socket)
      : options_(options), socket_(std::move(socket)) {}

  void run_reports(const std::stop_token& stop);
  void serve_packets();
  bool is_addressed(std::string_view packet) const;
  void report_events(const endpoint& sender, const packet_head& head);
  void serve(const packet_head& head, std::string_view data);
  void send(const packet_head& received, packet_head head, std::string_view data);
  void send_answer(const packet_head& head, const std::string& request);
  bool send_report(upstream_report::state condition);
  upstream_report next_report(upstream_report::state condition);
  bool send_leave();
  /// Posts to the control hosts in rotation until one accepts. Returns false when none does.
  bool post(const std::string& path, const std::string& body);

  upstream_options options_;
  utilities::udp_socket socket_;
  std::unordered_map<flow_key, served_flow> flows_;
  std::size_t control_index_ = 0; ///< control host that accepted the last report
  std::uint64_t sequence_ = 0;
  std::uint64_t started_ms_ = 0;
  std::uint32_t last_flow_sequence_ = 0;
  std::uint64_t executed_requests_ = 0;
  std::atomic<bool> is_draining_{false};
  /// Unix time of the first accepted report of draining, in milliseconds; 0 before it.
  std::atomic<std::uint64_t> leave_confirmed_ms_{0};
};

} // namespace zinnia::flowpeer
