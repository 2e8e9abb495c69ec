#include "zinniarelay/flow/upstream_selector.h"

#include <algorithm>

namespace zinnia {
namespace {

// A single timeout may be a lost packet, so it does not make an upstream suspect.
constexpr std::uint32_t suspect_after_timeouts = 2;
// Upstreams of this host's zone, and of the other zones, that are compared for a new flow.
constexpr std::size_t max_compared = 32;
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
  const auto listed = ready_upstreams_.find(service);
  if (listed == ready_upstreams_.end()) return nullptr;
  const auto& local = listed->second.local;
  const auto& remote = listed->second.remote;
  if (local.size() + remote.size() == 1) excluded = 0;
  std::vector<upstream_candidate> candidates;
  if (const auto* list = zone_by_policy(now, service, listed->second); list != nullptr) {
    add_candidates(now, known, *list, excluded, candidates);
    // Upstreams of a full zone are suspect. Its first copies follow the shares, and later ones may
    // leave only when the other zones are not full as well: the excess of the zone would otherwise
    // go to them without a limit.
    const auto may_leave = excluded != 0 && !spillover_.is_every_other_zone_full(service);
    const auto is_usable = [&](const auto& it) {
      return list != &local || may_leave ? !it.is_suspect
                                         : !is_overdue(now, *known.upstreams.find(it.incarnation));
    };
    if (std::any_of(candidates.begin(), candidates.end(), is_usable)) {
      const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
      return known.upstreams.find(*chosen);
    }
    candidates.clear();
  }
  add_candidates(now, known, local, excluded, candidates);
  if (std::none_of(candidates.begin(), candidates.end(), is_free))
    add_candidates(now, known, remote, excluded, candidates);
  const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
  return chosen ? known.upstreams.find(*chosen) : nullptr;
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

void upstream_selector::set_zone_loads(time_point now, std::vector<wire::zone_load> loads) {
  zone_loads_ = std::move(loads);
  zone_loads_arrival_ = now;
}

void upstream_selector::update_spillover(time_point now, const view& known) {
  if (settings_.spillover == zone_spillover::off || now < next_spillover_update_) return;
  next_spillover_update_ = now + spillover_interval;
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now - zone_loads_arrival_);
  for (const auto& [service, listed] : ready_upstreams_) {
    auto change =
        spillover_.update(service, zone_loads_, capacities_of(now, known, listed), elapsed);
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
    const auto is_local = it.report.zone == settings_.zone;
    auto& list = is_local ? listed.local : listed.remote;
    list.push_back(it.incarnation);
    if (!is_local) listed.by_zone[it.report.zone].push_back(it.incarnation);
  });
}

void upstream_selector::remove_expired(const upstream_directory& upstreams) {
  for (auto it = health_observations_.begin(); it != health_observations_.end();)
    it = upstreams.find(it->first) == nullptr ? health_observations_.erase(it) : std::next(it);
}

} // namespace zinnia
