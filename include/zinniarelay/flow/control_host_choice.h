#pragma once

#include "zinniarelay/core/time.h"

#include <map>
#include <string>
#include <vector>

namespace zinnia {

/// Selects the control host from which an entry host requests updates (docs/design.md R34).
class control_host_choice {
public:
  explicit control_host_choice(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

  /// Replaces the seeds; the control hosts named by replies stay.
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// Sets the control hosts that a reply names, the nearest first. An empty list changes nothing.
  void set_reported(std::vector<std::string> addresses);
  /// Records a failed request. Returns true unless a recent failure was already recorded.
  bool record_failure(time_point now, const std::string& address);
  /// Records a successful request. Returns true when a failure had been recorded before.
  bool record_success(const std::string& address) { return failed_.erase(address) > 0; }

  /// Returns the nearest control host without a recent failure; empty when all have failed.
  std::string preferred(time_point now) const;
  /// Returns all control hosts in the order in which to try them, those that failed last.
  std::vector<std::string> candidates(time_point now) const;

private:
  bool is_avoided(time_point now, const std::string& address) const;

  std::vector<std::string> seeds_;
  std::vector<std::string> reported_; ///< from the last reply that named any, nearest first
  std::map<std::string, time_point> failed_;
};

} // namespace zinnia
