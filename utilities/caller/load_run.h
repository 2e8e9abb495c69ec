#pragma once

#include "common/generated_content.h"
#include "common/udp_socket.h"
#include "flow_client.h"
#include "zinniarelay/core/random.h"

#include <boost/histogram.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::utilities {

/// Sends requests over many flows, checks every answer and counts how they ended.
class load_run {
public:
  enum class mode { open, lookup, certify, download };

  struct options {
    endpoint service_address;
    std::string service;
    mode kind = mode::lookup;
    std::uint64_t count = 1; ///< requests; downloads in mode download; flows in mode open
    double rate = 0;         ///< requests a second; 0 sends the next when one has ended
    std::size_t flows = 1;
    milliseconds deadline{5'000};
    std::uint64_t answer_bytes = 0; ///< wanted length of each answer
    std::uint64_t seed = 1;
    std::string journal;
  };

  struct counters {
    std::uint64_t asked = 0;
    std::uint64_t ended = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t no_reply = 0;
    std::uint64_t wrong = 0;      ///< answers that are not the answer to their request
    std::uint64_t foreign = 0;    ///< packets that belong to no flow of this caller
    std::uint64_t not_opened = 0; ///< flows that got no token
    std::uint64_t repeated_ranges = 0;
    std::uint64_t content_bytes = 0;
  };

  static result<std::unique_ptr<load_run>> create(options chosen);

  /// Returns when every request has ended or a stop signal came.
  void run();
  void print(std::ostream& out) const;
  /// True when every request was answered, and each answer was whole and its own.
  bool is_whole() const;

private:
  struct asked_request {
    std::string method;
    std::string payload;
    time_point since;
  };

  struct running_download {
    std::string data;
    wire::content_info content;
    int repeats = 0;
  };

  struct caller_flow {
    explicit caller_flow(flow_client made) : client(std::move(made)) {}

    flow_client client;
    time_point opened_at;
    std::map<std::uint64_t, asked_request> asked;
    running_download download;
    bool is_active = false;
  };

  using histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>()));

  load_run(options chosen, udp_socket socket);

  void open_flows(time_point now);
  void ask_due(time_point now);
  void ask(time_point now, std::size_t index);
  void ask_range(time_point now, std::size_t index);
  void receive(time_point now);
  std::optional<std::size_t> flow_of(const wire::caller_packet& packet) const;
  void tick(time_point now);
  void settle(time_point now, std::size_t index);
  void take_end(time_point now, std::size_t index, request_end& it);
  void take_range(time_point now, std::size_t index, const request_end& it);
  void finish_download(std::size_t index);
  void count(const request_end& it);
  void write_journal(const caller_flow& flow, const asked_request& asked, const request_end& it);
  void activate(std::size_t index);
  void print_progress(time_point now);
  bool is_done() const;

  options options_;
  udp_socket socket_;
  random_engine random_;
  std::vector<caller_flow> flows_;
  std::unordered_map<std::uint64_t, std::size_t> by_nonce_;
  std::unordered_map<std::uint64_t, std::size_t> by_flow_;
  std::vector<std::size_t> active_; ///< flows with something to resend
  time_point started_;
  time_point ended_;
  time_point next_tick_;
  time_point next_progress_;
  std::uint64_t submitted_ = 0;
  std::size_t submitted_opens_ = 0;
  std::uint64_t open_flows_ = 0;
  counters counters_;
  std::map<std::string, std::uint64_t> reasons_;
  histogram latency_;
  std::ofstream journal_;
};

} // namespace zinnia::utilities
