#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include <map>
#include <vector>

namespace zinnia {

/// The entry hosts that a control host notifies of its start (docs/design.md R41). Answers the load
/// pattern after a loss of all power, in which entry hosts know only the seeds, and other control
/// hosts are back earlier than these.
class start_notices {
public:
  /// Records that an entry host asks for notices.
  void record_presence(time_point now, const endpoint& entry_host);
  /// Returns true when an entry host has asked for notices recently.
  bool is_present(time_point now, const endpoint& entry_host) const;
  /// Restores the entry hosts that were present before the start, which then get notices.
  void restore(time_point now, const std::vector<endpoint>& entry_hosts);
  /// Returns the entry hosts to notify now. Notices are repeated for a second, because an entry
  /// host may start later than this host.
  std::vector<endpoint> take_due(time_point now);
  /// Returns the entry hosts that have asked for notices recently.
  std::vector<endpoint> present(time_point now) const;

private:
  std::map<endpoint, time_point> present_; ///< time of the last presence
  time_point restored_at_;
  std::vector<endpoint> restored_; ///< empty once the last notice has been sent
  std::size_t sent_ = 0;           ///< notices to each restored entry host
};

} // namespace zinnia
