#pragma once

#include "common/udp_socket.h"
#include "latency_histogram.h"
#include "zinniarelay/caller/caller_session.h"

#include <fstream>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia::utilities {

/// Sends requests over many sessions, checks every answer and counts how they ended.
class load_run {
public:
  enum class mode { lookup, certify, download };

  struct options {
    endpoint service_address;
    std::string service;
    mode kind = mode::lookup;
    std::uint64_t count = 1; ///< requests, or downloads
    double rate = 0;         ///< requests a second; 0 sends the next when one has ended
    std::size_t flows = 1;
    milliseconds deadline{5'000};
    std::uint64_t answer_bytes = 0;    ///< wanted length of each answer
    std::string content_version = "1"; ///< expected of downloads
    std::uint64_t seed = 1;
    std::string journal;
  };

  struct counters {
    std::uint64_t asked = 0;
    std::uint64_t ended = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong = 0;   ///< answers that are not the answer to their request
    std::uint64_t foreign = 0; ///< packets that belong to no session of this caller
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
    std::size_t session = 0;
    std::string payload;
    time_point since;
  };

  load_run(options chosen, udp_socket socket);

  void ask_due(time_point now);
  void ask(time_point now, std::size_t session);
  void receive(time_point now);
  std::optional<std::size_t> session_of(const wire::caller_packet& packet);
  void tick(time_point now);
  void step(time_point now, std::size_t session, const caller_event& event);
  void apply(time_point now, std::size_t session, const packet_to_send& effect);
  void apply(time_point now, std::size_t session, const call_ended& effect);
  bool is_right(const asked_request& asked, const call_ended& effect) const;
  void write_journal(const asked_request& asked, const call_ended& effect);
  void print_progress(time_point now);

  options options_;
  udp_socket socket_;
  std::vector<caller_session> sessions_;
  std::unordered_map<std::uint64_t, std::size_t> by_nonce_;
  std::unordered_map<std::uint64_t, std::size_t> by_flow_;
  std::unordered_map<std::uint64_t, asked_request> asked_; ///< by call id
  std::vector<std::size_t> active_;                        ///< sessions with open calls
  std::vector<bool> is_active_;
  std::vector<std::size_t> idle_; ///< sessions to ask next when there is no rate
  time_point started_;
  time_point ended_;
  time_point next_tick_;
  time_point next_progress_;
  counters counters_;
  std::map<std::string, std::uint64_t> reasons_;
  latency_histogram latency_;
  std::ofstream journal_;
};

} // namespace zinnia::utilities
