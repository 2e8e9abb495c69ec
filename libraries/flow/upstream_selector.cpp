#include "zinniarelay/flow/upstream_selector.h"

#include <algorithm>

namespace zinnia {
namespace {

// A single timeout may be a lost packet, so it does not make an upstream suspect.
constexpr std::uint32_t suspect_after_timeouts = 2;
// Upstreams of this host's zone, and of the other zones, that are compared for a new flow.
constexpr std::size_t max_compared = 32;
// A host without updates for this long may not know that an upstream was restarted.
constexpr milliseconds isolation_timeout{2'000};
// Control hosts reply to entry hosts every 500 ms.
constexpr milliseconds grant_timeout{1'500};
// A host without opening packets for services with a limit for this long leaves the leases to
// others.
constexpr milliseconds demand_timeout{5'000};

} // namespace

// Compares a bounded number of upstreams, because a service may have thousands. Most of them have
// no flow of this host, so that the best of some is as good as the best of all.
const upstream_directory::entry* upstream_selector::select(time_point now, const view& known,
                                                           const std::string& service,
                                                           std::uint64_t excluded) {
  lacks_token_ = false;
  tokens_.advance(now);
  const auto listed = ready_upstreams_.find(service);
  if (listed == ready_upstreams_.end()) return nullptr;
  const auto& [local, remote] = listed->second;
  if (local.size() + remote.size() == 1) excluded = 0;
  std::vector<upstream_candidate> candidates;
  add_candidates(now, known, local, excluded, candidates);
  if (std::none_of(candidates.begin(), candidates.end(), is_free))
    add_candidates(now, known, remote, excluded, candidates);
  const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
  const auto* out = chosen ? known.upstreams.find(*chosen) : nullptr;
  if (out != nullptr && needs_token(known, *out)) tokens_.take(out->incarnation);
  return out;
}

void upstream_selector::add_candidates(time_point now, const view& known,
                                       const std::vector<std::uint64_t>& list,
                                       std::uint64_t excluded,
                                       std::vector<upstream_candidate>& out) {
  if (list.empty()) return;
  std::size_t position = 0;
  if (list.size() > max_compared)
    position = std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(engine_);
  std::size_t compared = 0;
  for (std::size_t n = 0; n < list.size() && compared < max_compared; ++n) {
    const auto* upstream = known.upstreams.find(list[(position + n) % list.size()]);
    // Those without a token do not take the place of others.
    if (upstream != nullptr && needs_token(known, *upstream) &&
        !tokens_.has_token(upstream->incarnation)) {
      lacks_token_ = true;
      continue;
    }
    ++compared;
    if (upstream != nullptr && upstream->incarnation != excluded)
      out.push_back(candidate_of(now, known, *upstream));
  }
}

// Uses the clock of the tokens, which never goes back: a held packet is decided with the time of
// its arrival.
bool upstream_selector::needs_token(const view& known,
                                    const upstream_directory::entry& upstream) const {
  if (known.upstreams.limit_of(upstream.report.service) == nullptr) return false;
  const auto now = tokens_.clock();
  if (now < certain_from_ || known.upstreams.is_cold(now, upstream)) return true;
  // An upstream that left an opening packet unanswered may have been restarted.
  if (!last_update_ || now - *last_update_ <= isolation_timeout) return false;
  const auto it = health_observations_.find(upstream.incarnation);
  return it != health_observations_.end() && it->second.last_timeout > *last_update_;
}

bool upstream_selector::permit_copy(time_point now, const view& known,
                                    const upstream_directory::entry& upstream) {
  tokens_.advance(now);
  return !needs_token(known, upstream) || tokens_.take(upstream.incarnation);
}

bool upstream_selector::may_get_token(time_point now) const {
  return last_update_ && std::max(now, tokens_.clock()) - *last_update_ <= grant_timeout;
}

bool upstream_selector::has_demand(time_point now) const {
  return last_demand_ && now - *last_demand_ < demand_timeout;
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
}

void upstream_selector::record_timeout(time_point now, const upstream_directory& upstreams,
                                       std::uint64_t upstream) {
  auto& observation = health_observations_[upstream];
  observation.last_timeout = now;
  ++observation.timeouts;
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

void upstream_selector::index_services(const upstream_directory& upstreams) {
  ready_upstreams_.clear();
  upstreams.for_each([this](const auto& it) {
    if (it.report.condition != upstream_report::state::ready) return;
    auto& listed = ready_upstreams_[it.report.service];
    auto& list = it.report.zone == settings_.zone ? listed.local : listed.remote;
    list.push_back(it.incarnation);
  });
}

void upstream_selector::remove_expired(const upstream_directory& upstreams) {
  for (auto it = health_observations_.begin(); it != health_observations_.end();)
    it = upstreams.find(it->first) == nullptr ? health_observations_.erase(it) : std::next(it);
}

} // namespace zinnia
