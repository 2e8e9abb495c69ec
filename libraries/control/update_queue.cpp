#include "zinniarelay/control/update_queue.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

constexpr double replies_per_second = 200;
// Lets the hosts of one control host start at once after an idle time.
constexpr double max_burst = 40; // replies
constexpr milliseconds max_wait{2'000};

} // namespace

std::uint64_t update_queue::add(time_point now, wire::news_request request) {
  const auto wait = std::min(milliseconds(request.wait_ms()), max_wait);
  waiting_.push_back({++last_ticket_, std::move(request), now + wait});
  return last_ticket_;
}

bool update_queue::remove(std::uint64_t ticket) {
  return std::erase_if(waiting_, [&](const auto& it) { return it.ticket == ticket; }) > 0;
}

void update_queue::refill(time_point now) {
  const std::chrono::duration<double> elapsed = now - std::exchange(refilled_, now);
  permitted_ = std::min(max_burst, permitted_ + elapsed.count() * replies_per_second);
}

std::vector<std::uint64_t> update_queue::take_due(time_point now, const is_urgent& urgent) {
  refill(now);
  std::vector<std::uint64_t> out;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool is_permitted = permitted_ >= 1 && urgent(it->request);
    if (now < it->deadline && !is_permitted) {
      ++it;
      continue;
    }
    if (is_permitted) permitted_ -= 1;
    out.push_back(it->ticket);
    it = waiting_.erase(it);
  }
  return out;
}

std::vector<std::uint64_t> update_queue::take_all() {
  std::vector<std::uint64_t> out;
  for (const auto& it : std::exchange(waiting_, {}))
    out.push_back(it.ticket);
  return out;
}

} // namespace zinnia
