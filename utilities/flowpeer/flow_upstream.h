#pragma once

#include "common/udp_socket.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/flow/packet_head.h"
#include "zinniarelay/flow/upstream_report.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinnia::flowpeer {

struct upstream_options {
  std::string id = "i-1";
  std::string service;
  std::string zone;
  endpoint address;
  endpoint control;               ///< HTTP of a control host
  std::uint16_t caller_port = 0;  ///< at which callers receive packets
  std::size_t answer_bytes = 600; ///< of each answer
};

/// A stand-in of an upstream of packet flows: it reports to a control host, answers
/// the requests of callers directly, and leaves when it is told to stop.
class flow_upstream {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<flow_upstream> create(const upstream_options& options);

  /// Serves until a stop is asked for, then drains.
  void run(const std::atomic<bool>& stop);

private:
  struct served_flow {
    std::uint32_t next = 1; ///< sequence of the next packet to send
    std::string request;    ///< empty before it has arrived
  };

  flow_upstream(const upstream_options& options, utilities::udp_socket socket)
      : options_(options), socket_(std::move(socket)) {}

  void serve_packets();
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
  std::uint64_t sequence_ = 0;
  std::uint64_t started_ms_ = 0;
  std::uint64_t runs_ = 0;
};

} // namespace zinnia::flowpeer
