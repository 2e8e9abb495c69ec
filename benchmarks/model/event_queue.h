#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace zinnia::bench {

/// Runs actions in virtual time. Actions of equal time run in the order in which they were
/// scheduled.
class event_queue {
public:
  using action = std::function<void()>;

  time_point now() const { return now_; }

  /// Schedules an action.
  void after(microseconds delay, action run) {
    queue_.push({now_ + delay, order_++, std::move(run)});
  }

  /// Runs all actions up to this time, inclusive.
  void run_until(time_point end) {
    while (!queue_.empty() && queue_.top().time <= end) {
      // The const_cast allows moving the action out before pop; the ordering does not depend on
      // the action.
      auto run = std::move(const_cast<event&>(queue_.top()).run);
      now_ = queue_.top().time;
      queue_.pop();
      run();
    }
    now_ = end;
  }

private:
  struct event {
    time_point time;
    std::uint64_t order;
    action run;
    bool operator<(const event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  std::priority_queue<event> queue_;
  time_point now_{};
  std::uint64_t order_ = 0;
};

} // namespace zinnia::bench
