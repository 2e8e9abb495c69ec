#include "zinniarelay/entry/control_poller.h"

namespace zinnia {
namespace {

constexpr milliseconds poll_period{1000};
// A poll that failed, or whose reply may come from an isolated control host, is repeated after this
// time. A change is then in force within 3 s even if two consecutive polls fail (docs/design.md
// P8).
constexpr milliseconds retry_delay{200};
// A control host whose last contact with a quorum is older may be isolated.
constexpr milliseconds max_quorum_age{1000};
// The preferred control host is polled again after this time.
constexpr milliseconds preferred_host_retry_delay{30'000};

} // namespace

control_poller::control_poller(std::vector<endpoint> control_hosts)
    : control_hosts_(std::move(control_hosts)) {}

std::optional<endpoint> control_poller::start_poll(time_point now) {
  if (is_poll_running_ || control_hosts_.empty() || now < next_poll_) return std::nullopt;
  if (current_ != 0 && now >= preferred_host_retry_at_) current_ = 0;
  is_poll_running_ = true;
  return control_hosts_[current_];
}

void control_poller::on_reply(time_point now, milliseconds quorum_age) {
  is_poll_running_ = false;
  if (quorum_age > max_quorum_age) {
    select_next_host(now);
    return;
  }
  confirmed_at_ = now;
  next_poll_ = now + poll_period;
}

void control_poller::on_failure(time_point now) {
  is_poll_running_ = false;
  select_next_host(now);
}

std::optional<milliseconds> control_poller::confirmed_age(time_point now) const {
  if (!confirmed_at_) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - *confirmed_at_);
}

void control_poller::select_next_host(time_point now) {
  current_ = (current_ + 1) % control_hosts_.size();
  if (current_ == 1 || control_hosts_.size() == 1)
    preferred_host_retry_at_ = now + preferred_host_retry_delay;
  next_poll_ = now + retry_delay;
}

} // namespace zinnia
