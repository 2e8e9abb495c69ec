#include "zinniarelay/flow/control_host_search.h"

#include <algorithm>

namespace zinnia {
namespace {

// A host without power sends no reply, so the request to the next host does not wait for one. The
// interval doubles with each host, because hosts that are slow to reply are probably overloaded.
constexpr milliseconds hedge_interval{120};
// A host without power does not refuse a connection, and may have power again soon. An overloaded
// host needs more time to accept one, and another attempt would add to its load.
constexpr milliseconds min_connect_timeout{300};
constexpr milliseconds max_connect_timeout{2'400};
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{1'600};
// The system of the control host refuses a connection without its process, so that an early
// repetition adds no load to it.
constexpr milliseconds refusal_pause{50};
// A host whose process does not start in this time is treated like one that fails.
constexpr std::uint32_t max_refusals = 20;

} // namespace

control_host_search::control_host_search(time_point now, random_engine engine,
                                         const std::string& preferred, milliseconds patience)
    : next_new_(now), hedge_(hedge_interval), engine_(engine) {
  if (preferred.empty()) return;
  add({preferred});
  hedge_ = patience;
}

void control_host_search::add(const std::vector<std::string>& addresses) {
  for (const auto& address : addresses) {
    const bool is_known = std::any_of(candidates_.begin(), candidates_.end(),
                                      [&](const auto& it) { return it.address == address; });
    if (is_known) continue;
    auto& added = candidates_.emplace_back();
    added.address = address;
    added.connect_timeout = min_connect_timeout;
  }
}

std::optional<control_host_search::request> control_host_search::take_due(time_point now) {
  const bool is_new_due = now >= next_new_ || !has_outstanding();
  for (auto& it : candidates_) {
    if (it.is_outstanding || (it.is_new ? !is_new_due : now < it.retry)) continue;
    if (it.is_new) {
      next_new_ = now + hedge_;
      hedge_ = is_first_ ? hedge_interval : 2 * hedge_;
      is_first_ = false;
    }
    it.is_new = false;
    it.is_outstanding = true;
    return request{it.address, it.connect_timeout};
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
  auto* const it = find(address);
  if (it == nullptr) return;
  it->is_outstanding = false;
  it->pause = std::clamp(2 * it->pause, min_pause, max_pause);
  it->connect_timeout = std::min(2 * it->connect_timeout, max_connect_timeout);
  it->retry = now + jittered(it->pause);
}

void control_host_search::record_refusal(time_point now, const std::string& address) {
  auto* const it = find(address);
  if (it == nullptr) return;
  if (++it->refusals > max_refusals) return record_failure(now, address);
  it->is_outstanding = false;
  it->retry = now + jittered(refusal_pause);
}

void control_host_search::record_start(time_point now, const std::string& address) {
  add({address});
  auto& started = *find(address);
  started = {};
  started.address = address;
  started.connect_timeout = min_connect_timeout;
  started.retry = now;
  started.is_new = false;
}

control_host_search::candidate* control_host_search::find(const std::string& address) {
  const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                               [&](const auto& each) { return each.address == address; });
  return it == candidates_.end() ? nullptr : &*it;
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
