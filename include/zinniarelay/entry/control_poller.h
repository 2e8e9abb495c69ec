#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"

#include <optional>
#include <vector>

namespace zinnia {

/// Chooses the control host to poll next (docs/design.md R28). Hosts are listed
/// in the order of preference, those of the own zone first.
class control_poller {
public:
  explicit control_poller(std::vector<endpoint> control_hosts);

  /// The control host to poll now; empty while a poll runs or none is due.
  std::optional<endpoint> due(time_point now);

  /// A poll was answered by a control host that heard from a quorum this long ago.
  void on_reply(time_point now, milliseconds quorum_age);

  void on_failure(time_point now);

  /// Time since a reply from a control host with recent contact to a quorum;
  /// empty when there was none.
  std::optional<milliseconds> confirmed_age(time_point now) const;

private:
  void use_next(time_point now);

  std::vector<endpoint> control_hosts_;
  std::size_t current_ = 0;
  bool is_running_ = false;
  time_point next_poll_{};
  time_point preferred_again_{};
  std::optional<time_point> confirmed_;
};

} // namespace zinnia
