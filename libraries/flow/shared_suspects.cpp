#include "zinniarelay/flow/shared_suspects.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace zinnia {
namespace {

// The estimate of an observation's time varies with the delay of the replies. A smaller difference
// is the same observation.
constexpr milliseconds observation_tolerance{50};
// The hosts send their first opening packets to a returning upstream spread over this time, so that
// one that stays unanswered is reported before most hosts have sent theirs.
constexpr milliseconds max_return_delay{1'000};
// A caller gives up an opening that is not answered within 1.4 s.
constexpr milliseconds probe_timeout{1'500};

} // namespace

// An upstream that is no longer listed has answered another host. It still returns gradually,
// because a control host that has just started lists none.
time_point shared_suspects::set(time_point now, const upstream_directory& upstreams,
                                const wire::suspect_upstreams& list,
                                const last_answer_of& last_answer) {
  std::unordered_map<std::uint64_t, time_point> listed;
  for (const auto& it : list.upstreams()) {
    const milliseconds age(it.age_ms());
    if (age < suspect_period_) listed[it.incarnation()] = now - age;
  }
  for (auto& [incarnation, it] : suspects_)
    if (!listed.contains(incarnation)) it.avoided_until = std::min(it.avoided_until, now);
  time_point own_answer;
  std::uniform_int_distribution<milliseconds::rep> delay(0, max_return_delay.count());
  for (const auto& [incarnation, observed] : listed) {
    if (upstreams.find(incarnation) == nullptr) continue;
    if (const auto answered = last_answer(incarnation); answered >= observed) {
      own_answer = std::max(own_answer, answered);
      continue;
    }
    const auto [it, is_new] = suspects_.try_emplace(incarnation);
    auto& added = it->second;
    if (!is_new && observed <= added.observed + observation_tolerance) continue;
    added.observed = observed;
    added.avoided_until = observed + suspect_period_ + milliseconds(delay(engine_));
  }
  limit(upstreams);
  return own_answer;
}

bool shared_suspects::is_suspect(time_point now, std::uint64_t upstream) const {
  const auto it = suspects_.find(upstream);
  return it != suspects_.end() && (now < it->second.avoided_until || now < it->second.probed_until);
}

void shared_suspects::record_opening(time_point now, std::uint64_t upstream) {
  if (const auto it = suspects_.find(upstream); it != suspects_.end())
    it->second.probed_until = now + probe_timeout;
}

void shared_suspects::limit(const upstream_directory& upstreams) {
  if (suspects_.empty()) return;
  struct group {
    std::size_t ready = 0;
    std::vector<std::pair<time_point, std::uint64_t>> suspects;
  };
  std::map<std::pair<std::string, std::string>, group> groups; // by service and zone
  for (const auto& [incarnation, it] : suspects_)
    if (const auto* upstream = upstreams.find(incarnation); upstream != nullptr)
      groups[{upstream->report.service, upstream->report.zone}].suspects.emplace_back(it.observed,
                                                                                      incarnation);
  upstreams.for_each([&](const auto& it) {
    if (it.report.condition != upstream_report::state::ready) return;
    const auto found = groups.find({it.report.service, it.report.zone});
    if (found != groups.end()) ++found->second.ready;
  });
  for (auto& [key, it] : groups) {
    std::sort(it.suspects.rbegin(), it.suspects.rend());
    for (std::size_t n = it.ready / 2; n < it.suspects.size(); ++n)
      suspects_.erase(it.suspects[n].second);
  }
}

void shared_suspects::remove_expired(const upstream_directory& upstreams) {
  std::erase_if(suspects_, [&](const auto& it) { return upstreams.find(it.first) == nullptr; });
}

} // namespace zinnia
