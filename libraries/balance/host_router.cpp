#include "zinniarelay/balance/host_router.h"

#include <algorithm>

namespace zinnia {

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

void host_router::on_member(time_point now, const member& value) {
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
  // A decision reaches the host through the caller, and the summary takes a trip back.
  const auto unseen = now - 2 * delay_to(value.zone) - milliseconds(1);
  for (const auto& load : value.load.services) {
    auto& hosts = services_[load.service].hosts;
    auto at = std::lower_bound(hosts.begin(), hosts.end(), value.id,
                               [](const candidate& it, host_id id) { return it.id < id; });
    if (at == hosts.end() || at->id != value.id) at = hosts.insert(at, candidate{});
    at->id = value.id;
    at->zone = value.zone;
    at->slots = load.slots;
    at->outstanding = load.outstanding;
    at->queued = load.queued;
    at->service_time = load.service_time.count() > 0 ? load.service_time : settings_.service_time;
    at->is_draining = value.load.draining;
    while (!at->decisions.empty() && at->decisions.front() <= unseen)
      at->decisions.pop_front();
  }
}

void host_router::age_decisions(time_point now, service_hosts& hosts) const {
  for (auto& it : hosts.hosts)
    while (!it.decisions.empty() && now - it.decisions.front() >= settings_.decision_memory)
      it.decisions.pop_front();
}

double host_router::load_of(const candidate& it) const {
  const auto held = it.outstanding + it.queued + it.decisions.size() + 1;
  return static_cast<double>(held) / it.slots;
}

microseconds host_router::wait_at(const candidate& it) const {
  const auto held = it.outstanding + it.queued + it.decisions.size();
  if (held < it.slots) return microseconds{0};
  const auto ahead = static_cast<std::int64_t>(held - it.slots + 1);
  return microseconds(it.service_time.count() * ahead / it.slots);
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
  const auto collect = [&](bool is_draining) {
    for (auto& it : list.hosts)
      if (it.slots > 0 && it.is_draining == is_draining)
        (it.zone == zone_ ? local : remote).push_back(&it);
  };
  collect(false);
  // Draining hosts still serve when no other host has an upstream of the service.
  if (local.empty() && remote.empty()) collect(true);
  auto* near = two_choices(local);
  auto* far = two_choices(remote);
  if (near == nullptr && far == nullptr) return std::nullopt;
  auto* chosen = near;
  if (near == nullptr) {
    chosen = far;
  } else if (far != nullptr) {
    // Hysteresis keeps the relay from moving flows between zones on every small change.
    const auto margin = list.is_spilling ? microseconds{0} : settings_.spill_margin;
    list.is_spilling = wait_at(*near) > wait_at(*far) + 2 * delay_to(far->zone) + margin;
    if (list.is_spilling) chosen = far;
  }
  chosen->decisions.push_back(now);
  return chosen->id;
}

std::optional<host_id> host_router::choose_lender(time_point, service_id service) {
  const auto known = services_.find(service);
  if (known == services_.end()) return std::nullopt;
  const candidate* best = nullptr;
  for (const auto& it : known->second.hosts) {
    if (it.id == self_ || it.zone != zone_ || it.slots == 0) continue;
    if (best == nullptr || load_of(it) < load_of(*best)) best = &it;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

} // namespace zinnia
