#include "zinniarelay/entry/control_poller.h"

namespace zinnia {
namespace {

constexpr milliseconds poll_period{1000};
// A failed or doubtful poll is repeated soon, so that two of them in a row still
// leave a change in force within 3 s (docs/design.md P8).
constexpr milliseconds repeat_period{200};
// A control host that has not heard from a quorum for longer may be isolated.
constexpr milliseconds quorum_age_limit{1000};
// After this time the preferred control host is tried again.
constexpr milliseconds preference_period{30'000};

} // namespace

control_poller::control_poller(std::vector<endpoint> control_hosts)
    : control_hosts_(std::move(control_hosts)) {}

std::optional<endpoint> control_poller::due(time_point now) {
  if (is_running_ || control_hosts_.empty() || now < next_poll_) return std::nullopt;
  if (current_ != 0 && now >= preferred_again_) current_ = 0;
  is_running_ = true;
  return control_hosts_[current_];
}

void control_poller::on_reply(time_point now, milliseconds quorum_age) {
  is_running_ = false;
  if (quorum_age > quorum_age_limit) {
    use_next(now);
    return;
  }
  confirmed_ = now;
  next_poll_ = now + poll_period;
}

void control_poller::on_failure(time_point now) {
  is_running_ = false;
  use_next(now);
}

std::optional<milliseconds> control_poller::confirmed_age(time_point now) const {
  if (!confirmed_) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - *confirmed_);
}

void control_poller::use_next(time_point now) {
  current_ = (current_ + 1) % control_hosts_.size();
  if (current_ == 1 || control_hosts_.size() == 1) preferred_again_ = now + preference_period;
  next_poll_ = now + repeat_period;
}

} // namespace zinnia
