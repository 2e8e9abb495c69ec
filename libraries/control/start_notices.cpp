#include "zinniarelay/control/start_notices.h"

#include <array>
#include <utility>

namespace zinnia {
namespace {

// Three missing datagrams in a row.
constexpr milliseconds presence_timeout{20'000};
constexpr std::size_t max_present = 20'000; // entry hosts
constexpr std::array notice_times{milliseconds(0),   milliseconds(100), milliseconds(200),
                                  milliseconds(400), milliseconds(700), milliseconds(1'000)};

} // namespace

void start_notices::record_presence(time_point now, const endpoint& entry_host) {
  if (present_.size() >= max_present && !present_.contains(entry_host))
    std::erase_if(present_, [&](const auto& it) { return now - it.second > presence_timeout; });
  if (present_.size() < max_present || present_.contains(entry_host)) present_[entry_host] = now;
}

bool start_notices::is_present(time_point now, const endpoint& entry_host) const {
  const auto it = present_.find(entry_host);
  return it != present_.end() && now - it->second <= presence_timeout;
}

void start_notices::restore(time_point now, const std::vector<endpoint>& entry_hosts) {
  restored_ = entry_hosts;
  restored_at_ = now;
  sent_ = 0;
  for (const auto& it : entry_hosts)
    record_presence(now, it);
}

std::vector<endpoint> start_notices::take_due(time_point now) {
  if (restored_.empty() || now - restored_at_ < notice_times.at(sent_)) return {};
  if (++sent_ < notice_times.size()) return restored_;
  return std::exchange(restored_, {});
}

std::vector<endpoint> start_notices::present(time_point now) const {
  std::vector<endpoint> out;
  for (const auto& [entry_host, last] : present_)
    if (now - last <= presence_timeout) out.push_back(entry_host);
  return out;
}

} // namespace zinnia
