#include "zinniarelay/balance/host_router.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

// A host that joins starts with the mean share of the others; starting from nothing, it
// would get every new flow until it had caught up.
template <class Candidate>
double fair_start(const std::vector<Candidate>& hosts, const Candidate& fresh,
                  std::uint32_t slots) {
  double decisions = 0;
  std::uint64_t others = 0;
  for (const auto& it : hosts) {
    if (&it == &fresh) continue;
    decisions += it.decisions;
    others += it.slots;
  }
  return others == 0 ? 0 : decisions * slots / static_cast<double>(others);
}

} // namespace

host_router::host_router(host_id self, zone_id zone, router_settings settings, std::uint64_t seed)
    : self_(self), zone_(zone), settings_(settings), engine_(seed) {}

void host_router::set_zone_delay(zone_id zone, microseconds delay) {
  delays_[zone] = delay;
}

microseconds host_router::delay_to(zone_id zone) const {
  if (zone == zone_) return microseconds{0};
  const auto known = delays_.find(zone);
  return known == delays_.end() ? settings_.zone_delay : known->second;
}

void host_router::on_forgotten(host_id id) {
  remove(id);
  seen_.erase(id);
}

void host_router::remove(host_id id) {
  for (auto& [service, list] : services_)
    std::erase_if(list.hosts, [&](const candidate& it) { return it.id == id; });
}

void host_router::on_member(time_point, const member& value) {
  if (!value.is_live()) return on_forgotten(value.id);
  const std::pair version{value.incarnation, value.load.sequence};
  const auto seen = seen_.find(value.id);
  if (seen != seen_.end() && seen->second == version) return;
  if (seen != seen_.end() && seen->second.first != value.incarnation) remove(value.id);
  seen_[value.id] = version;
  for (auto& entry : services_) {
    const bool is_served =
        std::any_of(value.load.services.begin(), value.load.services.end(),
                    [&](const service_load& load) { return load.service == entry.first; });
    if (is_served) continue;
    std::erase_if(entry.second.hosts, [&](const candidate& it) { return it.id == value.id; });
  }
  for (const auto& load : value.load.services) {
    auto& hosts = services_[load.service].hosts;
    auto at = std::lower_bound(hosts.begin(), hosts.end(), value.id,
                               [](const candidate& it, host_id id) { return it.id < id; });
    if (at == hosts.end() || at->id != value.id) {
      at = hosts.insert(at, candidate{});
      at->decisions = fair_start(hosts, *at, load.slots);
    }
    at->id = value.id;
    at->zone = value.zone;
    at->slots = load.slots;
    at->outstanding = load.outstanding;
    at->queued = load.queued;
    at->service_time = load.service_time.count() > 0 ? load.service_time : settings_.service_time;
    at->is_draining = value.load.draining;
    at->is_fabric_silent = value.load.fabric_silent;
  }
}

void host_router::age_decisions(time_point now, service_hosts& hosts) const {
  const auto passed = std::chrono::duration<double>(now - hosts.aged);
  const auto memory = std::chrono::duration<double>(settings_.decision_memory);
  hosts.aged = now;
  const double kept = std::exp(-passed / memory);
  for (auto& it : hosts.hosts)
    it.decisions *= kept;
}

// A summary is older than most requests take, so the slots it shows in use say little.
// Even shares of own decisions keep arrivals smooth, and a reported queue, which lasts
// longer, is made up for by sending less.
double host_router::load_of(const candidate& it) const {
  const double queue = it.queued + std::max(0.0, double(it.outstanding) - it.slots);
  return (it.decisions + settings_.queue_share * queue) / it.slots;
}

double host_router::trip_cost(const candidate& it) const {
  const auto trips = 2.0 * static_cast<double>(delay_to(it.zone).count());
  return settings_.locality * trips / static_cast<double>(it.service_time.count());
}

host_router::candidate* host_router::weighted_pick(const std::vector<candidate*>& from) {
  std::uint64_t total = 0;
  for (const auto* it : from)
    total += it->slots;
  auto point = engine_() % total;
  for (auto* it : from) {
    if (point < it->slots) return it;
    point -= it->slots;
  }
  return from.back();
}

host_router::candidate* host_router::two_choices(std::vector<candidate*>& from) {
  if (from.empty()) return nullptr;
  auto* first = weighted_pick(from);
  if (from.size() == 1) return first;
  std::erase(from, first);
  auto* second = weighted_pick(from);
  return load_of(*second) < load_of(*first) ? second : first;
}

std::optional<host_id> host_router::choose(time_point now, service_id service, std::uint64_t) {
  const auto known = services_.find(service);
  if (known == services_.end()) return std::nullopt;
  auto& list = known->second;
  age_decisions(now, list);
  std::vector<candidate*> local;
  std::vector<candidate*> remote;
  const auto collect = [&](bool is_draining, bool is_fabric_silent) {
    if (!local.empty() || !remote.empty()) return;
    for (auto& it : list.hosts)
      if (it.slots > 0 && it.is_draining == is_draining && it.is_fabric_silent == is_fabric_silent)
        (it.zone == zone_ ? local : remote).push_back(&it);
  };
  collect(false, false);
  // A host that is cut off from the fabric looks idle to its peers and would draw
  // flows whose answers never arrive. Without traffic all hosts are silent.
  collect(false, true);
  // Draining hosts still serve when no other host has an upstream of the service.
  collect(true, false);
  collect(true, true);
  auto* near = two_choices(local);
  auto* far = two_choices(remote);
  if (near == nullptr && far == nullptr) return std::nullopt;
  auto* chosen = near;
  if (near == nullptr) {
    chosen = far;
  } else if (far != nullptr) {
    // Hysteresis keeps flows from moving between zones on every small change.
    const auto margin = list.is_spilling ? 0.0 : settings_.spill_margin;
    list.is_spilling = load_of(*near) > load_of(*far) + trip_cost(*far) + margin;
    if (list.is_spilling) chosen = far;
  }
  chosen->decisions += 1;
  return chosen->id;
}

std::optional<host_id> host_router::choose_lender(time_point, service_id service,
                                                  std::span<const host_id> asked) {
  const auto known = services_.find(service);
  if (known == services_.end()) return std::nullopt;
  const auto& hosts = known->second.hosts;
  const auto own =
      std::find_if(hosts.begin(), hosts.end(), [&](const candidate& it) { return it.id == self_; });
  const bool is_stranded = own == hosts.end() || own->slots == 0;
  std::vector<candidate*> local;
  std::vector<candidate*> remote;
  for (auto& it : known->second.hosts) {
    const bool is_asked = std::find(asked.begin(), asked.end(), it.id) != asked.end();
    if (it.id == self_ || it.slots == 0 || is_asked) continue;
    // A host of the zone keeps the request until a slot is free. Loans over longer trips
    // waste capacity, which a host with a queue does not have.
    if (it.zone == zone_)
      local.push_back(&it);
    else if (is_stranded || (it.queued == 0 && is_loan_worth_trips(*own)))
      remote.push_back(&it);
  }
  if (!local.empty()) return weighted_pick(local)->id;
  if (remote.empty()) return std::nullopt;
  return weighted_pick(remote)->id;
}

// A loan from another zone keeps its slot idle during the trips; the shorter the service
// time, the larger the share of the slot that this wastes, and the longer the own queue
// has to be.
bool host_router::is_loan_worth_trips(const candidate& own) const {
  const auto service_time = static_cast<double>(own.service_time.count());
  const auto idle = settings_.trips_per_loan * static_cast<double>(settings_.zone_delay.count());
  return service_time * own.queued / own.slots > idle * idle / service_time;
}

} // namespace zinnia
