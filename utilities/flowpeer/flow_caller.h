#pragma once

#include "common/udp_socket.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/packet_head.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::flowpeer {

struct caller_options {
  endpoint address; ///< UDP; the entry hosts use the same port
  endpoint service; ///< destination of the flows
  std::vector<endpoint> entry_hosts;
  std::uint32_t flows = 100;
  std::uint32_t max_open_flows = 4;
  std::size_t answer_bytes = 600; ///< expected size of each answer
  std::string run = "1";          ///< distinguishes the requests of runs with the same address
};

struct caller_summary {
  std::uint32_t answered = 0;
  std::uint32_t refused = 0; ///< reset by the system before the flow was open
  std::uint32_t reset = 0;   ///< reset by the upstream
  std::uint32_t broken = 0;  ///< reset by the system while the flow was open
  std::uint32_t unanswered = 0;
  std::uint32_t damaged = 0; ///< answers that differ from the expected one

  friend bool operator==(const caller_summary&, const caller_summary&) = default;
};

/// Simulates callers of packet flows. Each packet goes to a random entry host, as with a fabric
/// that moves flows between entry hosts all the time.
class flow_caller {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<flow_caller> create(const caller_options& options, random_engine engine);

  /// Runs until all flows have ended. Opens no new flows once `stop` is set.
  caller_summary run(const std::atomic<bool>& stop);

private:
  struct open_flow {
    std::string request;
    std::uint32_t route_tag = 0;
    std::uint32_t open_resends = 0; ///< number of resent opening packets
    std::uint32_t acknowledged = 0; ///< sequence of the first upstream that answered
    bool is_open = false;
    time_point started;
    time_point next_send;
    std::map<std::uint32_t, std::string> parts; ///< of the answer, by offset
    bool has_last_part = false;
  };

  flow_caller(const caller_options& options, utilities::udp_socket socket, random_engine engine)
      : options_(options), socket_(std::move(socket)), engine_(engine) {}

  void start(std::uint16_t port);
  void resend(std::uint16_t port, open_flow& flow);
  void receive();
  /// Handles a packet of the flow. Returns true when the flow has ended.
  bool handle(std::uint16_t port, open_flow& flow, const packet_head& head, std::string_view data);
  /// Counts a reset. Returns true, because a reset ends the flow.
  bool record_reset(std::uint16_t port, const open_flow& flow, const packet_head& head);
  /// Checks the answer and closes the flow. Returns false while parts are missing.
  bool finish(std::uint16_t port, open_flow& flow);
  void send(std::uint16_t port, const open_flow& flow, packet_head head, std::string_view data);

  caller_options options_;
  utilities::udp_socket socket_;
  random_engine engine_;
  std::map<std::uint16_t, open_flow> flows_; ///< by the caller's port
  caller_summary summary_;
};

} // namespace zinnia::flowpeer
