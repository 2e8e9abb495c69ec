#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace zinnia::bench {

/// Events in virtual time; equal times run in the order of scheduling.
class event_queue {
public:
  using action = std::function<void()>;

  time_point now() const { return now_; }

  void after(microseconds delay, action run) {
    queue_.push({now_ + delay, order_++, std::move(run)});
  }

  void run_until(time_point end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      // The action is moved out before pop; the ordering does not depend on it.
      auto run = std::move(const_cast<event&>(queue_.top()).run);
      now_ = queue_.top().at;
      queue_.pop();
      run();
    }
    now_ = end;
  }

private:
  struct event {
    time_point at;
    std::uint64_t order;
    action run;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  std::priority_queue<event> queue_;
  time_point now_{};
  std::uint64_t order_ = 0;
};

} // namespace zinnia::bench
