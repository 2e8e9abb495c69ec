#include "zinniarelay/balance/host_router.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

// Returns the initial decision count of a host that joins: the mean count per slot of the other
// hosts. With a count of 0, it would get every new flow until its count had caught up.
template <class Candidate>
double initial_decisions(const std::vector<Candidate>& hosts, const Candidate& joining,
                         std::uint32_t slots) {
  double decisions = 0;
  std::uint64_t other_slots = 0;
  for (const auto& it : hosts) {
    if (&it == &joining) continue;
    decisions += it.decisions;
    other_slots += it.slots;
  }
  return other_slots == 0 ? 0 : decisions * slots / static_cast<double>(other_slots);
}

} // namespace

host_router::host_router(host_id self, zone_id zone, router_settings settings, std::uint64_t seed)
    : self_(self), zone_(zone), settings_(settings), engine_(seed) {}

void host_router::set_zone_delay(zone_id zone, microseconds delay) {
  delays_[zone] = delay;
}

microseconds host_router::delay_to(zone_id zone) const {
  if (zone == zone_) return microseconds{0};
  const auto found = delays_.find(zone);
  return found == delays_.end() ? settings_.zone_delay : found->second;
}

void host_router::on_member_removed(host_id id) {
  remove(id);
  versions_.erase(id);
}

void host_router::remove(host_id id) {
  for (auto& [service, group] : services_)
    std::erase_if(group.hosts, [&](const candidate& it) { return it.id == id; });
}

void host_router::on_member(time_point, const member& value) {
  if (!value.is_live()) return on_member_removed(value.id);
  const std::pair version{value.incarnation, value.load.sequence};
  const auto applied = versions_.find(value.id);
  if (applied != versions_.end() && applied->second == version) return;
  if (applied != versions_.end() && applied->second.first != value.incarnation) remove(value.id);
  versions_[value.id] = version;
  for (auto& entry : services_) {
    const bool is_served =
        std::any_of(value.load.services.begin(), value.load.services.end(),
                    [&](const service_load& load) { return load.service == entry.first; });
    if (is_served) continue;
    std::erase_if(entry.second.hosts, [&](const candidate& it) { return it.id == value.id; });
  }
  for (const auto& load : value.load.services) {
    auto& hosts = services_[load.service].hosts;
    auto position = std::lower_bound(hosts.begin(), hosts.end(), value.id,
                                     [](const candidate& it, host_id id) { return it.id < id; });
    if (position == hosts.end() || position->id != value.id) {
      position = hosts.insert(position, candidate{});
      position->decisions = initial_decisions(hosts, *position, load.slots);
    }
    position->id = value.id;
    position->zone = value.zone;
    position->slots = load.slots;
    position->outstanding = load.outstanding;
    position->queued = load.queued;
    position->service_time =
        load.service_time.count() > 0 ? load.service_time : settings_.service_time;
    position->is_draining = value.load.draining;
    position->is_without_fabric_packets = value.load.is_without_fabric_packets;
  }
}

void host_router::decay_decisions(time_point now, service_hosts& hosts) const {
  const auto elapsed = std::chrono::duration<double>(now - hosts.decayed_at);
  const auto decay_time = std::chrono::duration<double>(settings_.decision_decay_time);
  hosts.decayed_at = now;
  const double factor = std::exp(-elapsed / decay_time);
  for (auto& it : hosts.hosts)
    it.decisions *= factor;
}

// A load summary is usually older than the duration of a request, so its number of slots in use
// is outdated. Balancing the decisions of this host keeps arrivals even. A queue lasts
// longer than a request, so a reported queue is compensated for by sending fewer flows.
double host_router::load_of(const candidate& host) const {
  const double queue = host.queued + std::max(0.0, double(host.outstanding) - host.slots);
  return (host.decisions + settings_.queue_share * queue) / host.slots;
}

double host_router::delay_cost(const candidate& host) const {
  const auto round_trip = 2.0 * static_cast<double>(delay_to(host.zone).count());
  return settings_.locality * round_trip / static_cast<double>(host.service_time.count());
}

host_router::candidate* host_router::pick_weighted(const std::vector<candidate*>& candidates) {
  std::uint64_t total = 0;
  for (const auto* it : candidates)
    total += it->slots;
  auto point = engine_() % total;
  for (auto* it : candidates) {
    if (point < it->slots) return it;
    point -= it->slots;
  }
  return candidates.back();
}

host_router::candidate* host_router::pick_less_loaded_of_two(std::vector<candidate*>& candidates) {
  if (candidates.empty()) return nullptr;
  auto* first = pick_weighted(candidates);
  if (candidates.size() == 1) return first;
  std::erase(candidates, first);
  auto* second = pick_weighted(candidates);
  return load_of(*second) < load_of(*first) ? second : first;
}

std::optional<host_id> host_router::choose(time_point now, service_id service, std::uint64_t) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  auto& group = found->second;
  decay_decisions(now, group);
  std::vector<candidate*> local;
  std::vector<candidate*> remote;
  const auto collect = [&](bool is_draining, bool is_without_fabric_packets) {
    if (!local.empty() || !remote.empty()) return;
    for (auto& it : group.hosts)
      if (it.slots > 0 && it.is_draining == is_draining &&
          it.is_without_fabric_packets == is_without_fabric_packets)
        (it.zone == zone_ ? local : remote).push_back(&it);
  };
  collect(false, false);
  // A host that is cut off from the fabric looks idle to its peers. It would attract flows whose
  // answers never arrive. Without traffic, no host receives packets from the fabric.
  collect(false, true);
  // Draining hosts still serve when no other host has an upstream of the service.
  collect(true, false);
  collect(true, true);
  auto* local_choice = pick_less_loaded_of_two(local);
  auto* remote_choice = pick_less_loaded_of_two(remote);
  if (local_choice == nullptr && remote_choice == nullptr) return std::nullopt;
  auto* chosen = local_choice;
  if (local_choice == nullptr) {
    chosen = remote_choice;
  } else if (remote_choice != nullptr) {
    // Hysteresis keeps flows from moving between zones on every small change.
    const auto margin = group.is_spilling ? 0.0 : settings_.spill_margin;
    group.is_spilling =
        load_of(*local_choice) > load_of(*remote_choice) + delay_cost(*remote_choice) + margin;
    if (group.is_spilling) chosen = remote_choice;
  }
  chosen->decisions += 1;
  return chosen->id;
}

std::optional<host_id> host_router::choose_lender(time_point, service_id service,
                                                  std::span<const host_id> requested) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const auto& hosts = found->second.hosts;
  const auto local_host =
      std::find_if(hosts.begin(), hosts.end(), [&](const candidate& it) { return it.id == self_; });
  const bool has_no_local_slots = local_host == hosts.end() || local_host->slots == 0;
  std::vector<candidate*> local;
  std::vector<candidate*> remote;
  for (auto& it : found->second.hosts) {
    const bool is_requested =
        std::find(requested.begin(), requested.end(), it.id) != requested.end();
    if (it.id == self_ || it.slots == 0 || is_requested) continue;
    // A host of the same zone keeps the request until a slot is free. A loan over a longer delay
    // wastes capacity, and a host with a queue has none to spare.
    if (it.zone == zone_)
      local.push_back(&it);
    else if (has_no_local_slots || (it.queued == 0 && is_remote_loan_worthwhile(*local_host)))
      remote.push_back(&it);
  }
  if (!local.empty()) return pick_weighted(local)->id;
  if (remote.empty()) return std::nullopt;
  return pick_weighted(remote)->id;
}

// A loan from another zone leaves its slot idle while messages are in transit. The shorter the
// service time, the larger the wasted fraction of the slot, and the longer the local queue must be
// to justify the loan.
bool host_router::is_remote_loan_worthwhile(const candidate& local) const {
  const auto service_time = static_cast<double>(local.service_time.count());
  const auto idle = settings_.delays_per_loan * static_cast<double>(settings_.zone_delay.count());
  return service_time * local.queued / local.slots > idle * idle / service_time;
}

} // namespace zinnia
