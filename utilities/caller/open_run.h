#pragma once

#include "common/udp_socket.h"
#include "latency_histogram.h"
#include "zinniarelay/core/random.h"

#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>

namespace zinnia::utilities {

/// Opens flows and sends no requests, to measure how many a host opens a second.
class open_run {
public:
  struct options {
    endpoint service_address;
    std::string service;
    std::uint64_t count = 1; ///< flows
    double rate = 0;         ///< opens a second; 0 keeps a fixed number of opens unanswered
    std::uint64_t seed = 1;
  };

  static result<std::unique_ptr<open_run>> create(options chosen);

  /// Returns when every open was answered, or 5 s after the last one was sent.
  void run();
  void print(std::ostream& out) const;
  bool is_whole() const { return opened_ == options_.count; }

private:
  open_run(options chosen, udp_socket socket);

  void send_due(time_point now);
  void receive(time_point now);

  options options_;
  udp_socket socket_;
  random_engine random_;
  std::unordered_map<std::uint64_t, time_point> unanswered_; ///< by nonce
  std::uint64_t sent_ = 0;
  std::uint64_t opened_ = 0;
  std::uint64_t refused_ = 0;
  time_point started_;
  time_point last_sent_;
  time_point last_opened_;
  latency_histogram latency_;
};

} // namespace zinnia::utilities
