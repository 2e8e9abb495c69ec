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
// Control hosts send sums at most this often. Between sums, zones whose figures are too old lose
// their shares.
constexpr milliseconds spillover_interval{500};
// A false report of many slots must not attract the flows of other zones.
constexpr std::uint32_t max_counted_slots = 64;
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
  if (listed->second.has_evacuated) ++kept_away_;
  if (listed->second.local.size() + listed->second.remote.size() == 1) excluded = 0;
  const auto candidates = candidates_for(now, known, service, listed->second, excluded);
  const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
  const auto* out = chosen ? known.upstreams.find(*chosen) : nullptr;
  if (out != nullptr) shared_suspects_.record_opening(now, out->incarnation);
  if (out != nullptr && needs_token(known, *out)) tokens_.take(out->incarnation);
  return out;
}

// A zone that the policy selects and that has no usable upstream is left to the rule by this host's
// own view.
std::vector<upstream_candidate> upstream_selector::candidates_for(time_point now, const view& known,
                                                                  const std::string& service,
                                                                  const ready_upstreams& listed,
                                                                  std::uint64_t excluded) {
  std::vector<upstream_candidate> out;
  if (const auto* list = zone_by_policy(now, service, listed); list != nullptr) {
    add_candidates(now, known, *list, excluded, out);
    // Upstreams of a full zone are suspect. Its first copies follow the shares, and later ones may
    // leave only when the other zones are not full as well: the excess of the zone would otherwise
    // go to them without a limit.
    const auto may_leave = excluded != 0 && !spillover_.is_every_other_zone_full(service);
    const auto is_usable = [&](const auto& it) {
      return list != &listed.local || may_leave
                 ? !it.is_suspect
                 : !is_overdue(now, *known.upstreams.find(it.incarnation));
    };
    if (std::any_of(out.begin(), out.end(), is_usable)) return out;
    out.clear();
  }
  add_candidates(now, known, listed.local, excluded, out);
  if (std::none_of(out.begin(), out.end(), is_free))
    add_candidates(now, known, listed.remote, excluded, out);
  return out;
}

bool upstream_selector::may_take_flows(time_point now, const std::string& zone) const {
  return zone == settings_.zone || !zone_health_.is_suspect(now, zone);
}

// A zone that was cut off since the last update of the shares gets no more flows.
const std::vector<std::uint64_t>* upstream_selector::zone_by_policy(time_point now,
                                                                    const std::string& service,
                                                                    const ready_upstreams& listed) {
  const auto* shares = spillover_.shares_of(service);
  if (shares == nullptr) return nullptr;
  auto point = std::uniform_real_distribution<double>(0, 1)(engine_);
  auto chosen = listed.by_zone.end();
  for (const auto& [zone, share] : *shares) {
    if (point < share) {
      if (may_take_flows(now, zone)) chosen = listed.by_zone.find(zone);
      break;
    }
    point -= share;
  }
  if (chosen != listed.by_zone.end()) return &chosen->second;
  return may_take_flows(now, settings_.zone) ? &listed.local : nullptr;
}

void upstream_selector::update_spillover(time_point now, const view& known) {
  if (settings_.spillover == zone_spillover::off || now < next_spillover_update_) return;
  next_spillover_update_ = now + spillover_interval;
  const auto loads = zone_loads_.current(now);
  for (const auto& [service, listed] : ready_upstreams_) {
    auto change = spillover_.update(service, loads, capacities_of(now, known, listed));
    if (change) spillover_changes_.push_back(std::move(*change));
  }
  // A service without ready upstreams has no shares.
  for (const auto& [service, shares] : spillover_.shares()) {
    if (ready_upstreams_.contains(service)) continue;
    auto change = spillover_.update(service, {}, {});
    if (change) spillover_changes_.push_back(std::move(*change));
  }
}

// An upstream that left opening packets unanswered counts: full ones do so, and a zone would seem
// to shrink, differently for each host, just when its callers need more than it has. One that has
// crashed stops reporting.
spillover_policy::zone_capacities
upstream_selector::capacities_of(time_point now, const view& known,
                                 const ready_upstreams& listed) const {
  spillover_policy::zone_capacities out;
  const auto add = [&](const std::string& zone, const std::vector<std::uint64_t>& list) {
    auto& capacity = out[zone];
    capacity.delay_ms = zone_delays_.added_ms(settings_.zone, zone);
    capacity.may_take_flows = may_take_flows(now, zone);
    for (const auto it : list) {
      const auto* upstream = known.upstreams.find(it);
      if (!capacity.may_take_flows || upstream == nullptr || is_overdue(now, *upstream)) continue;
      const auto speed = now < upstream->warmup_end ? settings_.choice.warming_speed : 1;
      capacity.slots += speed * std::min(upstream->report.slots, max_counted_slots);
    }
  };
  add(settings_.zone, listed.local);
  for (const auto& [zone, list] : listed.by_zone)
    add(zone, list);
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
  if (shared_suspects_.is_suspect(now, upstream.incarnation)) return true;
  if (is_overdue(now, upstream)) return true;
  const auto it = health_observations_.find(upstream.incarnation);
  return it != health_observations_.end() && it->second.timeouts >= suspect_after_timeouts &&
         now - it->second.last_timeout < settings_.suspect_period;
}

// Reports arrive only with updates from control hosts. While there are no updates, a missing report
// does not show that its upstream has failed.
bool upstream_selector::is_overdue(time_point now,
                                   const upstream_directory::entry& upstream) const {
  const auto it = health_observations_.find(upstream.incarnation);
  const auto last_answer = it == health_observations_.end() ? time_point{} : it->second.last_answer;
  const bool has_updates = last_update_ && now - *last_update_ < settings_.report_timeout / 2;
  return has_updates &&
         now - std::max(upstream.last_report, last_answer) > settings_.report_timeout;
}

void upstream_selector::record_answer(time_point now, const upstream_directory::entry& upstream,
                                      microseconds answered_after) {
  // The opening packet of a flow whose first packet here shows an answer went through another host.
  if (answered_after > microseconds(0))
    zone_delays_.record(now, upstream.report.zone, answered_after);
  zone_health_.record_contact(upstream.report.zone, now);
  auto& observation = health_observations_[upstream.incarnation];
  observation.last_answer = now;
  observation.timeouts = 0;
  if (shared_suspects_.record_answer(upstream.incarnation)) last_notable_event_ = now;
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

void upstream_selector::set_suspects(time_point now, const upstream_directory& upstreams,
                                     const wire::suspect_upstreams& suspects) {
  const auto last_answer = [&](std::uint64_t incarnation) {
    const auto it = health_observations_.find(incarnation);
    return it == health_observations_.end() ? time_point{} : it->second.last_answer;
  };
  const auto own_answer = shared_suspects_.set(now, upstreams, suspects, last_answer);
  last_notable_event_ = std::max(last_notable_event_, own_answer);
}

void upstream_selector::index_services(const upstream_directory& upstreams,
                                       const evacuated_zones& evacuations) {
  ready_upstreams_.clear();
  upstreams.for_each([&](const auto& it) {
    if (it.report.condition != upstream_report::state::ready) return;
    auto& listed = ready_upstreams_[it.report.service];
    if (evacuations.contains(it.report.zone)) {
      listed.has_evacuated = true;
      return;
    }
    const auto is_local = it.report.zone == settings_.zone;
    auto& list = is_local ? listed.local : listed.remote;
    list.push_back(it.incarnation);
    if (!is_local) listed.by_zone[it.report.zone].push_back(it.incarnation);
  });
  shared_suspects_.limit(upstreams);
}

void upstream_selector::remove_expired(const upstream_directory& upstreams) {
  for (auto it = health_observations_.begin(); it != health_observations_.end();)
    it = upstreams.find(it->first) == nullptr ? health_observations_.erase(it) : std::next(it);
  shared_suspects_.remove_expired(upstreams);
}

} // namespace zinnia
