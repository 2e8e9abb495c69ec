#pragma once

#include "common/udp_socket.h"
#include "latency_histogram.h"
#include "zinniarelay/core/random.h"

#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>

namespace zinnia::utilities {

/// Opens flows without sending requests, to measure how many flows a host opens per second.
class open_run {
public:
  struct options {
    endpoint service_address;
    std::string service;
    std::uint64_t count = 1; ///< flows
    double rate = 0;         ///< opens per second; 0 keeps a fixed number of opens unanswered
    std::uint64_t seed = 1;
  };

  static result<std::unique_ptr<open_run>> create(options opts);

  /// Runs until every open has a reply, at most 5 s after the last open was sent, or until a stop
  /// signal arrives.
  void run();
  void print(std::ostream& out) const;
  /// Returns true when every flow was opened.
  bool is_complete() const { return opened_ == options_.count; }

private:
  open_run(options opts, udp_socket socket);

  void send_due(time_point now);
  void receive(time_point now);

  options options_;
  udp_socket socket_;
  random_engine random_;
  std::unordered_map<std::uint64_t, time_point> unanswered_; ///< by nonce
  std::uint64_t sent_ = 0;
  std::uint64_t opened_ = 0;
  std::uint64_t refused_ = 0;
  time_point start_time_;
  time_point last_send_time_;
  time_point last_reply_time_;
  latency_histogram latency_;
};

} // namespace zinnia::utilities
