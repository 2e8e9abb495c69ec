#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include <optional>
#include <vector>

namespace zinnia {

/// Chooses the control host to poll next (docs/design.md R28). Control hosts are ordered by
/// preference, those of the local zone first.
class control_poller {
public:
  explicit control_poller(std::vector<endpoint> control_hosts);

  /// Starts a poll and returns the control host to poll. Empty while a poll is running, when no
  /// poll is due and without control hosts.
  std::optional<endpoint> start_poll(time_point now);

  /// Handles the reply of a control host; `quorum_age` is the time since its last contact with a
  /// quorum. If that time is too long, the next control host is polled.
  void on_reply(time_point now, milliseconds quorum_age);

  /// Makes the next poll due at once, because the last reply contained a part of the changes.
  void request_next_part(time_point now) { next_poll_ = now; }

  /// Handles a failed poll; the next control host is polled.
  void on_failure(time_point now);

  /// Returns the time since the last reply of a control host with recent contact to a quorum.
  /// Empty when there was no such reply.
  std::optional<milliseconds> confirmed_age(time_point now) const;

private:
  void select_next_host(time_point now);

  std::vector<endpoint> control_hosts_;
  std::size_t current_ = 0;
  bool is_poll_running_ = false;
  time_point next_poll_{};
  time_point preferred_host_retry_at_{};
  std::optional<time_point> confirmed_at_; ///< time of the last reply with recent quorum contact
};

} // namespace zinnia
