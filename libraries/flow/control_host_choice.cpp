#include "zinniarelay/flow/control_host_choice.h"

#include <algorithm>

namespace zinnia {
namespace {

// A control host that failed, or that has lost its quorum, is avoided for this long.
constexpr milliseconds avoidance_period{2'000};

} // namespace

void control_host_choice::set_reported(std::vector<std::string> addresses) {
  if (!addresses.empty()) reported_ = std::move(addresses);
}

bool control_host_choice::record_failure(time_point now, const std::string& address) {
  const bool is_new_failure = !is_avoided(now, address);
  failed_[address] = now;
  return is_new_failure;
}

bool control_host_choice::is_avoided(time_point now, const std::string& address) const {
  const auto it = failed_.find(address);
  return it != failed_.end() && now - it->second < avoidance_period;
}

std::vector<std::string> control_host_choice::candidates(time_point now) const {
  std::vector<std::string> out;
  for (const auto* list : {&reported_, &seeds_})
    for (const auto& it : *list)
      if (std::find(out.begin(), out.end(), it) == out.end()) out.push_back(it);
  std::stable_partition(out.begin(), out.end(),
                        [&](const auto& it) { return !is_avoided(now, it); });
  return out;
}

std::string control_host_choice::preferred(time_point now) const {
  const auto all = candidates(now);
  return all.empty() || is_avoided(now, all.front()) ? "" : all.front();
}

} // namespace zinnia
