#pragma once

#include "zinniarelay/core/time.h"

#include <map>
#include <string>
#include <vector>

namespace zinnia {

/// Which control host an entry host asks for news (docs/design.md R34).
class control_host_choice {
public:
  explicit control_host_choice(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

  /// Replaces the seeds; control hosts that were learnt stay.
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// The control hosts that a reply names, the nearest first.
  void learn(std::vector<std::string> addresses);
  /// True when the host was not known to have failed.
  bool note_failure(time_point now, const std::string& address);
  /// True when the host had failed before.
  bool note_success(const std::string& address) { return failed_.erase(address) > 0; }

  /// The nearest control host that has not failed lately; empty when all have.
  std::string preferred(time_point now) const;
  /// All control hosts in the order in which to try them; those that failed come last.
  std::vector<std::string> candidates(time_point now) const;

private:
  bool is_avoided(time_point now, const std::string& address) const;

  std::vector<std::string> seeds_;
  std::vector<std::string> learnt_; ///< from the last reply, the nearest first
  std::map<std::string, time_point> failed_;
};

} // namespace zinnia
