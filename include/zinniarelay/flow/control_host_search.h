#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/// Schedules the requests of an entry host that searches for a control host in contact with a
/// quorum (docs/design.md R34). Answers the load pattern in which all entry hosts search at the
/// same time: each has at most one request outstanding at each control host, and asks a host that
/// failed again after a pause that grows and differs between entry hosts.
class control_host_search {
public:
  /// A request that is due.
  struct request {
    std::string address;
    milliseconds connect_timeout; ///< grows with each failure of the host

    friend bool operator==(const request&, const request&) = default;
  };

  /// `preferred` is the host to ask first, and its reply may take until `patience` has passed
  /// before the next host is asked; empty for none.
  control_host_search(time_point now, random_engine engine, const std::string& preferred = "",
                      milliseconds patience = milliseconds(0));

  /// Adds the addresses that are not candidates yet, in the order in which to try them.
  void add(const std::vector<std::string>& addresses);
  /// Returns a control host to which a request is due, which then counts as outstanding.
  std::optional<request> take_due(time_point now);
  /// Returns when the next request becomes due; no value when all candidates have one outstanding.
  std::optional<time_point> next_due() const;
  /// Ends the outstanding request to a host that failed or that has lost its quorum.
  void record_failure(time_point now, const std::string& address);
  /// Makes a request to a host due that has started just now. No request to it is outstanding.
  void record_start(time_point now, const std::string& address);
  /// Ends the outstanding request to a host that refused the connection: it has power, and its
  /// process is about to start.
  void record_refusal(time_point now, const std::string& address);

private:
  struct candidate {
    std::string address;
    time_point retry;
    milliseconds pause{0}; ///< before the last retry
    milliseconds connect_timeout{0};
    std::uint32_t refusals = 0;
    bool is_outstanding = false;
    bool is_new = true; ///< has not been tried
  };

  bool has_outstanding() const;
  candidate* find(const std::string& address);
  milliseconds jittered(milliseconds value);

  std::vector<candidate> candidates_;
  time_point next_new_; ///< when the next candidate that has not been tried is due
  milliseconds hedge_;  ///< between the last new candidate and the next
  bool is_first_ = true;
  random_engine engine_;
};

} // namespace zinnia
