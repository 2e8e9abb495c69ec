#include "zone_orders.h"

#include "common/http_call.h"
#include "platform/operator_api.h"
#include "zinniarelay/core/time.h"

#include <algorithm>
#include <thread>

namespace zinnia::soak {
namespace {

constexpr milliseconds call_timeout{1'000};
constexpr milliseconds order_timeout{6'000};
constexpr milliseconds retry_interval{50};
// All hosts with contact to a control host apply an acknowledged order within this time.
constexpr std::uint64_t in_force_ms = 5'000;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

bool zone_orders::send(const std::string& path) {
  const auto until = monotonic_now() + order_timeout;
  std::uniform_int_distribution<std::size_t> choice(0, controls_.size() - 1);
  while (monotonic_now() < until) {
    const auto response =
        utilities::http_call(controls_[choice(engine_)], "POST", path, "", call_timeout);
    const auto status = response.has_value() ? response.value().status : 0;
    const std::lock_guard lock(mutex_);
    if (status >= 200 && status < 300) {
      ++acknowledged_;
      return true;
    }
    if (status >= 400 && status < 500) {
      findings_.push_back(path + " was refused: " + response.value().body);
      return false;
    }
    std::this_thread::sleep_for(retry_interval);
  }
  return false;
}

bool zone_orders::evacuate(const std::string& zone) {
  if (!send(platform::evacuate_path(zone))) return false;
  const std::lock_guard lock(mutex_);
  const bool is_known = std::any_of(periods_.begin(), periods_.end(), [&](const auto& it) {
    return it.zone == zone && it.until_ms == 0;
  });
  if (!is_known) periods_.push_back({zone, unix_ms() + in_force_ms, 0});
  return true;
}

bool zone_orders::restore(const std::string& zone) {
  {
    const std::lock_guard lock(mutex_);
    for (auto& it : periods_)
      if (it.zone == zone && it.until_ms == 0) it.until_ms = unix_ms();
  }
  return send(platform::restore_path(zone));
}

bool zone_orders::is_evacuated(const std::string& zone, std::uint64_t at_ms) const {
  const std::lock_guard lock(mutex_);
  return std::any_of(periods_.begin(), periods_.end(), [&](const auto& it) {
    return it.zone == zone && at_ms >= it.from_ms && (it.until_ms == 0 || at_ms < it.until_ms);
  });
}

std::size_t zone_orders::acknowledged() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_;
}

std::vector<std::string> zone_orders::findings() const {
  const std::lock_guard lock(mutex_);
  return findings_;
}

} // namespace zinnia::soak
