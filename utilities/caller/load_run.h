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

/// Sends requests over many sessions, checks every answer and counts the outcomes.
class load_run {
public:
  enum class mode { lookup, certify, download };

  struct options {
    endpoint service_address;
    std::string service;
    mode kind = mode::lookup;
    std::uint64_t count = 1; ///< requests, or downloads
    double rate = 0;         ///< requests per second; 0 sends the next one when one has ended
    std::size_t flows = 1;
    milliseconds deadline{5'000};
    std::uint64_t answer_bytes = 0;    ///< requested length of each answer
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
    std::uint64_t wrong = 0;   ///< unexpected answers, and calls that ended more than once
    std::uint64_t foreign = 0; ///< packets that are invalid or belong to no session
    std::uint64_t content_bytes = 0;
  };

  static result<std::unique_ptr<load_run>> create(options opts);

  /// Runs until every request has ended or a stop signal arrives.
  void run();
  void print(std::ostream& out) const;
  /// Returns true when every request got a complete answer and no answer was wrong.
  bool is_complete() const;

private:
  struct open_request {
    std::size_t session = 0;
    std::string payload;
    time_point submitted_at;
  };

  load_run(options opts, udp_socket socket);

  void submit_due(time_point now);
  void submit(time_point now, std::size_t session);
  void receive(time_point now);
  std::optional<std::size_t> session_of(const wire::caller_packet& packet);
  void tick(time_point now);
  void step(time_point now, std::size_t session, const caller_event& event);
  void execute(time_point now, std::size_t session, const packet_to_send& effect);
  void execute(time_point now, std::size_t session, const call_ended& effect);
  bool is_expected_answer(const open_request& request, const call_ended& effect) const;
  void write_journal(const open_request& request, const call_ended& effect);
  void print_progress(time_point now);

  options options_;
  udp_socket socket_;
  std::vector<caller_session> sessions_;
  std::unordered_map<std::uint64_t, std::size_t> session_by_nonce_;
  std::unordered_map<std::uint64_t, std::size_t> session_by_flow_;
  std::unordered_map<std::uint64_t, open_request> open_requests_; ///< by call id
  std::vector<std::size_t> active_;                               ///< sessions with open calls
  std::vector<bool> is_active_;
  std::vector<std::size_t> idle_; ///< sessions without an open request; used when there is no rate
  time_point start_time_;
  time_point end_time_;
  time_point next_tick_;
  time_point next_progress_;
  counters counters_;
  std::map<std::string, std::uint64_t> reasons_;
  latency_histogram latency_;
  std::ofstream journal_;
};

} // namespace zinnia::utilities
