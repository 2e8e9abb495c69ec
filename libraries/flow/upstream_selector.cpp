#include "zinniarelay/flow/upstream_selector.h"

#include <algorithm>

namespace zinnia {
namespace {

// A single timeout may be a lost packet, so it does not make an upstream suspect.
constexpr std::uint32_t suspect_after_timeouts = 2;
// Upstreams of this host's zone, and of the other zones, that are compared for a new flow.
constexpr std::size_t max_compared = 32;
// Observations of other hosts that are older are not used. Equal to load_summary's.
constexpr milliseconds max_shared_age{3'000};
// The estimate of an observation's time varies with the delay of the replies. A smaller difference
// is the same observation.
constexpr milliseconds observation_tolerance{50};
// After its suspect period an upstream gets the first opening packets of the hosts spread over this
// time, so that the first one that stays unanswered is reported before most hosts have sent theirs:
// with 59 hosts, 9 callers in 3 s reach a dead upstream instead of 15 when the hosts return within
// the suspect period.
constexpr milliseconds max_return_delay{1'000};
// A caller gives up an opening that is not answered within 1.4 s.
constexpr milliseconds probe_timeout{1'500};
constexpr std::size_t max_zone_loads = 4'096;

} // namespace

// Compares a bounded number of upstreams, because a service may have thousands. Most of them have
// no flow of this host, so that the best of some is as good as the best of all.
const upstream_directory::entry* upstream_selector::select(time_point now, const view& known,
                                                           const std::string& service,
                                                           std::uint64_t excluded) {
  const auto listed = ready_upstreams_.find(service);
  if (listed == ready_upstreams_.end()) return nullptr;
  const auto& [local, remote] = listed->second;
  if (local.size() + remote.size() == 1) excluded = 0;
  std::vector<upstream_candidate> candidates;
  add_candidates(now, known, local, excluded, candidates);
  if (std::none_of(candidates.begin(), candidates.end(), is_free))
    add_candidates(now, known, remote, excluded, candidates);
  const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
  if (chosen) record_probe(now, *chosen);
  return chosen ? known.upstreams.find(*chosen) : nullptr;
}

void upstream_selector::add_candidates(time_point now, const view& known,
                                       const std::vector<std::uint64_t>& list,
                                       std::uint64_t excluded,
                                       std::vector<upstream_candidate>& out) {
  if (list.empty()) return;
  std::size_t position = 0;
  if (list.size() > max_compared)
    position = std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(engine_);
  for (std::size_t n = 0; n < std::min(list.size(), max_compared); ++n) {
    const auto* upstream = known.upstreams.find(list[(position + n) % list.size()]);
    if (upstream != nullptr && upstream->incarnation != excluded)
      out.push_back(candidate_of(now, known, *upstream));
  }
}

upstream_candidate
upstream_selector::candidate_of(time_point now, const view& known,
                                const upstream_directory::entry& upstream) const {
  upstream_candidate out;
  out.incarnation = upstream.incarnation;
  out.slots = upstream.report.slots;
  out.is_local_zone = upstream.report.zone == settings_.zone;
  out.open_flows = known.flows.open_flows(out.incarnation);
  out.is_warming = now < upstream.warmup_end;
  out.is_suspect = is_suspect(now, upstream);
  return out;
}

bool upstream_selector::is_suspect(time_point now,
                                   const upstream_directory::entry& upstream) const {
  if (upstream.report.zone != settings_.zone && zone_health_.is_suspect(now, upstream.report.zone))
    return true;
  if (is_shared_suspect(now, upstream.incarnation)) return true;
  const auto it = health_observations_.find(upstream.incarnation);
  const bool has_observation = it != health_observations_.end();
  const auto last_answer = has_observation ? it->second.last_answer : time_point{};
  // Reports arrive only with updates from control hosts. While there are no updates, a missing
  // report does not show that its upstream has failed.
  const bool has_updates = last_update_ && now - *last_update_ < settings_.report_timeout / 2;
  if (has_updates && now - std::max(upstream.last_report, last_answer) > settings_.report_timeout)
    return true;
  return has_observation && it->second.timeouts >= suspect_after_timeouts &&
         now - it->second.last_timeout < settings_.suspect_period;
}

void upstream_selector::record_answer(time_point now, const upstream_directory::entry& upstream) {
  zone_health_.record_contact(upstream.report.zone, now);
  auto& observation = health_observations_[upstream.incarnation];
  observation.last_answer = now;
  observation.timeouts = 0;
  if (shared_suspects_.erase(upstream.incarnation) > 0) last_notable_event_ = now;
}

void upstream_selector::record_timeout(time_point now, const upstream_directory& upstreams,
                                       std::uint64_t upstream, time_point forwarded) {
  auto& observation = health_observations_[upstream];
  observation.last_timeout = now;
  observation.last_forwarded = forwarded;
  ++observation.timeouts;
  last_notable_event_ = now;
  if (const auto* entry = upstreams.find(upstream); entry != nullptr)
    zone_health_.record_timeout(now, entry->report.zone, upstream);
}

void upstream_selector::record_report(time_point now, const upstream_directory& upstreams,
                                      std::uint64_t upstream) {
  const auto* entry = upstreams.find(upstream);
  if (entry != nullptr && entry->last_report == now)
    zone_health_.record_contact(entry->report.zone, now);
}

void upstream_selector::record_zone_contact(const std::string& zone, time_point contact) {
  zone_health_.record_contact(zone, contact);
}

// An upstream that is no longer listed has answered another host. It still returns gradually,
// because a control host that has just started lists none.
void upstream_selector::set_suspects(time_point now, const upstream_directory& upstreams,
                                     const wire::suspect_upstreams& suspects) {
  std::unordered_map<std::uint64_t, time_point> listed;
  for (const auto& it : suspects.upstreams()) {
    const milliseconds age(it.age_ms());
    if (age < settings_.suspect_period) listed[it.incarnation()] = now - age;
  }
  for (auto& [incarnation, suspect] : shared_suspects_)
    if (!listed.contains(incarnation)) suspect.avoided_until = std::min(suspect.avoided_until, now);
  std::uniform_int_distribution<milliseconds::rep> delay(0, max_return_delay.count());
  for (const auto& [incarnation, observed] : listed) {
    if (upstreams.find(incarnation) == nullptr) continue;
    const auto own = health_observations_.find(incarnation);
    if (own != health_observations_.end() && own->second.last_answer >= observed) {
      // The other hosts learn of this answer with the next report.
      last_notable_event_ = std::max(last_notable_event_, own->second.last_answer);
      continue;
    }
    const auto [it, is_new] = shared_suspects_.try_emplace(incarnation);
    auto& suspect = it->second;
    if (!is_new && observed <= suspect.observed + observation_tolerance) continue;
    suspect.observed = observed;
    suspect.avoided_until = observed + settings_.suspect_period + milliseconds(delay(engine_));
  }
  limit_shared_suspects(upstreams);
}

bool upstream_selector::is_shared_suspect(time_point now, std::uint64_t upstream) const {
  const auto it = shared_suspects_.find(upstream);
  return it != shared_suspects_.end() &&
         (now < it->second.avoided_until || now < it->second.probed_until);
}

void upstream_selector::record_probe(time_point now, std::uint64_t upstream) {
  if (const auto it = shared_suspects_.find(upstream); it != shared_suspects_.end())
    it->second.probed_until = now + probe_timeout;
}

// A wrong view of the other hosts must not take the capacity of a service away.
void upstream_selector::limit_shared_suspects(const upstream_directory& upstreams) {
  if (shared_suspects_.empty()) return;
  struct group {
    std::size_t ready = 0;
    std::vector<std::pair<time_point, std::uint64_t>> suspects;
  };
  std::map<std::pair<std::string, std::string>, group> groups;
  for (const auto& [incarnation, suspect] : shared_suspects_)
    if (const auto* upstream = upstreams.find(incarnation); upstream != nullptr)
      groups[{upstream->report.service, upstream->report.zone}].suspects.emplace_back(
          suspect.observed, incarnation);
  upstreams.for_each([&](const auto& it) {
    if (it.report.condition != upstream_report::state::ready) return;
    const auto found = groups.find({it.report.service, it.report.zone});
    if (found != groups.end()) ++found->second.ready;
  });
  for (auto& [key, it] : groups) {
    std::sort(it.suspects.rbegin(), it.suspects.rend());
    for (std::size_t n = it.ready / 2; n < it.suspects.size(); ++n)
      shared_suspects_.erase(it.suspects[n].second);
  }
}

void upstream_selector::set_zone_loads(time_point now, std::vector<wire::zone_load> loads) {
  std::erase_if(zone_loads_,
                [&](const auto& it) { return now - it.second.measured > max_shared_age; });
  for (auto& it : loads) {
    const milliseconds age(it.age_ms());
    if (age > max_shared_age || zone_loads_.size() >= max_zone_loads) continue;
    const std::array key{it.service(), it.caller_zone(), it.upstream_zone()};
    zone_loads_[key] = {std::move(it), now - age};
  }
}

std::vector<upstream_selector::stored_zone_load>
upstream_selector::zone_loads(time_point now) const {
  std::vector<stored_zone_load> out;
  for (const auto& [key, it] : zone_loads_)
    if (now - it.measured <= max_shared_age) out.push_back(it);
  return out;
}

void upstream_selector::index_services(const upstream_directory& upstreams) {
  ready_upstreams_.clear();
  upstreams.for_each([this](const auto& it) {
    if (it.report.condition != upstream_report::state::ready) return;
    auto& listed = ready_upstreams_[it.report.service];
    auto& list = it.report.zone == settings_.zone ? listed.local : listed.remote;
    list.push_back(it.incarnation);
  });
  limit_shared_suspects(upstreams);
}

void upstream_selector::remove_expired(const upstream_directory& upstreams) {
  for (auto it = health_observations_.begin(); it != health_observations_.end();)
    it = upstreams.find(it->first) == nullptr ? health_observations_.erase(it) : std::next(it);
  std::erase_if(shared_suspects_,
                [&](const auto& it) { return upstreams.find(it.first) == nullptr; });
}

} // namespace zinnia
