#include "zinniarelay/flow/control_host_search.h"

#include <algorithm>

namespace zinnia {
namespace {

// A host without power sends no reply, so the request to the next host does not wait for one. A
// complete table takes 60 ms on a link of 2 Mbit/s. The interval doubles with each host, because
// hosts that are slow to reply are probably overloaded.
constexpr milliseconds hedge_interval{60};
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{1'600};

} // namespace

void control_host_search::add(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses) {
    const bool is_known = std::any_of(candidates_.begin(), candidates_.end(),
                                      [&](const auto& it) { return it.address == address; });
    if (is_known) continue;
    candidates_.emplace_back().address = address;
  }
}

std::optional<std::string> control_host_search::take_due(time_point now) {
  const bool is_new_due = now >= next_new_ || !has_outstanding();
  for (auto& it : candidates_) {
    if (it.is_outstanding || (it.is_new ? !is_new_due : now < it.retry)) continue;
    if (it.is_new) {
      hedge_ = hedge_ == milliseconds(0) ? hedge_interval : 2 * hedge_;
      next_new_ = now + hedge_;
    }
    it.is_new = false;
    it.is_outstanding = true;
    return it.address;
  }
  return std::nullopt;
}

std::optional<time_point> control_host_search::next_due() const {
  std::optional<time_point> out;
  for (const auto& it : candidates_) {
    if (it.is_outstanding) continue;
    const auto due = it.is_new ? next_new_ : it.retry;
    if (!out || due < *out) out = due;
  }
  return out;
}

void control_host_search::record_failure(time_point now, const std::string& address) {
  const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                               [&](const auto& each) { return each.address == address; });
  if (it == candidates_.end()) return;
  it->is_outstanding = false;
  it->pause = std::clamp(2 * it->pause, min_pause, max_pause);
  it->retry = now + jittered(it->pause);
}

bool control_host_search::has_outstanding() const {
  return std::any_of(candidates_.begin(), candidates_.end(),
                     [](const auto& it) { return it.is_outstanding; });
}

// Returns between three quarters and five quarters of the value.
milliseconds control_host_search::jittered(milliseconds value) {
  std::uniform_int_distribution<milliseconds::rep> distribution(3 * value.count() / 4,
                                                                5 * value.count() / 4);
  return milliseconds(distribution(engine_));
}

} // namespace zinnia
