#include "zinniarelay/upstream/upstream_pool.h"

#include <algorithm>
#include <glog/logging.h>

namespace zinnia {
namespace {

// Weight of the newest sample in the mean service time. The mean covers about 20 calls.
constexpr double service_time_weight = 0.05;
// Number of superseded incarnations that are kept to refuse their late renewals.
constexpr std::size_t max_superseded_incarnations = 4096;

// SplitMix64. Marks need to be distinct, not unpredictable.
std::uint64_t next_mark(std::uint64_t& state) {
  state += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  mixed ^= mixed >> 31U;
  return mixed == 0 ? 1 : mixed; // 0 means no mark
}

} // namespace

upstream_pool::upstream_pool(upstream_settings settings, std::uint64_t seed)
    : settings_(settings), mark_state_(seed) {}

announcement_reply upstream_pool::on_announcement(time_point now,
                                                  const upstream_announcement& announcement) {
  detect_freeze(now);
  if (announcement.slots == 0 || announcement.address.port == 0)
    return {announcement_result::malformed};
  if (superseded_index_.count(announcement.incarnation) > 0)
    return {announcement_result::superseded};
  const auto existing = upstreams_.find(announcement.incarnation);
  if (existing != upstreams_.end() && existing->second.service != announcement.service)
    return {announcement_result::malformed};
  supersede_others(announcement);
  auto& renewed = upstreams_[announcement.incarnation];
  if (existing == upstreams_.end()) {
    renewed.service = announcement.service;
    renewed.incarnation = announcement.incarnation;
    services_[announcement.service].upstreams.push_back(announcement.incarnation);
  }
  renewed.address = announcement.address;
  renewed.slots = announcement.slots;
  // Leaving is final for an incarnation: a late renewal must not return it to service.
  renewed.is_leaving = renewed.is_leaving || announcement.is_leaving;
  renewed.is_reported_unhealthy = announcement.is_reported_unhealthy;
  grant_lease(now, renewed, announcement);
  renewed.previous_mark = renewed.mark;
  renewed.previous_mark_sent = renewed.mark_sent;
  renewed.mark = next_mark(mark_state_);
  renewed.mark_sent = now;
  return {announcement_result::accepted, renewed.mark,
          drain_requests_.count(renewed.incarnation) > 0};
}

// An echo proves that the upstream sent the renewal after the marked reply, so the lease
// starts when that reply was sent. A lease from the arrival would be too long for a renewal
// that waited in a socket buffer while this process was frozen or the link was cut.
void upstream_pool::grant_lease(time_point now, upstream& renewed,
                                const upstream_announcement& announcement) {
  time_point lease_start = time_point::min();
  if (announcement.lease_echo != 0) {
    renewed.has_echoed = true;
    if (announcement.lease_echo == renewed.mark) lease_start = renewed.mark_sent;
    if (announcement.lease_echo == renewed.previous_mark) lease_start = renewed.previous_mark_sent;
  } else if (!renewed.has_echoed && now >= quarantine_until_) {
    lease_start = now;
  }
  if (lease_start != time_point::min())
    renewed.lease_until = std::max(renewed.lease_until, lease_start + settings_.lease);
}

void upstream_pool::supersede_others(const upstream_announcement& announcement) {
  for (auto& [id, other] : upstreams_) {
    if (id == announcement.incarnation || other.address != announcement.address ||
        other.is_superseded)
      continue;
    other.is_superseded = true;
    record_superseded(id);
  }
}

void upstream_pool::record_superseded(incarnation_id id) {
  if (!superseded_index_.insert(id).second) return;
  superseded_.push_back(id);
  if (superseded_.size() <= max_superseded_incarnations) return;
  superseded_index_.erase(superseded_.front());
  superseded_.pop_front();
}

void upstream_pool::set_drains(const std::vector<incarnation_id>& upstreams) {
  drain_requests_.clear();
  drain_requests_.insert(upstreams.begin(), upstreams.end());
}

void upstream_pool::detect_freeze(time_point now) {
  if (last_run_ && now - *last_run_ >= settings_.freeze_gap) {
    quarantine_until_ = now + settings_.freeze_quarantine;
    // Results of probes may be waiting unread. The timeout of a probe counts only time in which
    // this process ran.
    for (auto& [id, it] : upstreams_)
      if (it.connection.probe_sent) it.connection.probe_sent = now;
  }
  last_run_ = last_run_ ? std::max(*last_run_, now) : now;
}

std::optional<upstream_slot> upstream_pool::acquire(time_point now, service_id service) {
  detect_freeze(now);
  const upstream* chosen = nullptr;
  std::uint32_t chosen_slots = 1;
  for_each_usable(now, service, [&](const upstream& it, std::uint32_t slots) {
    if (it.outstanding >= slots || now < it.paused_until) return;
    // Compares outstanding / slots without a division. Of equally loaded upstreams, the least
    // recently used one is chosen.
    const auto load = std::uint64_t{it.outstanding} * chosen_slots;
    const auto chosen_load = chosen ? std::uint64_t{chosen->outstanding} * slots : 0;
    if (chosen && (load > chosen_load || (load == chosen_load && it.last_used > chosen->last_used)))
      return;
    chosen = &it;
    chosen_slots = slots;
  });
  auto* acquired = chosen ? &upstreams_.at(chosen->incarnation) : nullptr;
  if (acquired == nullptr) return std::nullopt;
  ++acquired->outstanding;
  acquired->last_used = ++acquisitions_;
  return upstream_slot{service, acquired->incarnation, acquired->address,
                       acquired->connection.number, acquired->lease_until};
}

void upstream_pool::release(time_point now, const upstream_slot& slot, call_result result,
                            microseconds duration) {
  detect_freeze(now);
  const auto found = upstreams_.find(slot.incarnation);
  if (found == upstreams_.end()) return;
  auto& released = found->second;
  CHECK_GT(released.outstanding, 0U)
      << "slot of " << released.address.to_string() << " released twice";
  --released.outstanding;
  if (result != call_result::refused) released.consecutive_refusals = 0;
  switch (result) {
  case call_result::completed: {
    ++released.completed;
    released.consecutive_failures = 0;
    released.last_call_result = now;
    if (slot.connection == released.connection.number) released.connection.last_progress = now;
    auto& mean = services_[released.service].service_time;
    const auto sample = static_cast<double>(duration.count());
    mean = mean == 0 ? sample : mean + service_time_weight * (sample - mean);
    break;
  }
  case call_result::failed:
    ++released.consecutive_failures;
    released.last_call_result = now;
    break;
  case call_result::refused: {
    const auto doublings = std::min(released.consecutive_refusals++, 8U);
    released.paused_until = now + std::min(settings_.refusal_pause * (1U << doublings),
                                           settings_.maximum_refusal_pause);
    break;
  }
  case call_result::unused:
  case call_result::abandoned:
    break;
  }
}

std::vector<connection_action> upstream_pool::tick(time_point now) {
  detect_freeze(now);
  std::vector<connection_action> out;
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    auto& checked = it->second;
    if (!is_removable(now, checked)) {
      check_connection(now, checked, out);
      ++it;
      continue;
    }
    if (checked.connection.number != 0)
      out.push_back({connection_action::kind::close, checked.incarnation, checked.address,
                     checked.connection.number, 0});
    std::erase(services_[checked.service].upstreams, checked.incarnation);
    it = upstreams_.erase(it);
  }
  return out;
}

bool upstream_pool::is_removable(time_point now, const upstream& candidate) const {
  if (candidate.outstanding > 0) return false;
  return candidate.is_superseded || now - candidate.lease_until >= settings_.removal_delay;
}

void upstream_pool::check_connection(time_point now, upstream& checked,
                                     std::vector<connection_action>& out) {
  using kind = connection_action::kind;
  auto& connection = checked.connection;
  if (connection.number == 0) {
    connection = {next_connection_++, now + settings_.probe_period, std::nullopt, now, 0};
    out.push_back({kind::open, checked.incarnation, checked.address, connection.number, 0});
    return;
  }
  if (connection.probe_sent && now - *connection.probe_sent >= settings_.probe_timeout) {
    connection.failed_probes =
        connection.last_progress >= *connection.probe_sent ? 0 : connection.failed_probes + 1;
    connection.probe_sent.reset();
    connection.next_probe = now;
  }
  if (connection.failed_probes >= settings_.probes_before_replacement) {
    const auto replaced = connection.number;
    connection = {next_connection_++, now + settings_.probe_period, std::nullopt, now, 0};
    out.push_back(
        {kind::replace, checked.incarnation, checked.address, connection.number, replaced});
    return;
  }
  // An upstream without a lease and without running calls needs no probes.
  if (now >= checked.lease_until && checked.outstanding == 0) {
    connection.probe_sent.reset();
    return;
  }
  if (connection.probe_sent || now < connection.next_probe) return;
  connection.probe_sent = now;
  connection.next_probe = now + settings_.probe_period;
  out.push_back({kind::probe, checked.incarnation, checked.address, connection.number, 0});
}

void upstream_pool::on_probe_result(time_point now, incarnation_id upstream,
                                    std::uint64_t connection, probe_result result) {
  detect_freeze(now);
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end() || found->second.connection.number != connection) return;
  auto& probed = found->second;
  probed.connection.probe_sent.reset();
  if (result == probe_result::failed) {
    ++probed.connection.failed_probes;
    return;
  }
  probed.connection.failed_probes = 0;
  probed.connection.last_progress = now;
  probed.last_probe_result = now;
  probed.is_probe_healthy = result == probe_result::healthy;
  // Another process answers on this address. Only a new renewal can grant a lease again.
  if (result == probe_result::wrong_identity)
    probed.lease_until = std::min(probed.lease_until, now);
}

std::uint32_t upstream_pool::usable_slots(const upstream& candidate) const {
  const auto slots = 1 + candidate.completed / std::max(settings_.completions_per_slot, 1U);
  return std::min(candidate.slots, slots);
}

bool upstream_pool::may_dispatch(time_point now, const upstream& candidate) const {
  return now < candidate.lease_until && !candidate.is_leaving && !candidate.is_superseded &&
         drain_requests_.count(candidate.incarnation) == 0;
}

// Missing responses are not a health observation. An unresponsive connection is therefore skipped
// even while health observations are ignored: it is replaced within 2.5 s, and calls sent on it
// until then would be lost.
bool upstream_pool::is_connected(const upstream& candidate) const {
  return candidate.connection.number != 0 && candidate.connection.failed_probes == 0;
}

// The sources of health observations (calls, probes, reports) are used in the order of
// docs/design.md R19: a later source counts only when the earlier ones have no recent observation.
// Probes and reports may be wrong, and an upstream without calls yields no better observation. An
// upstream that only probes or reports show as unhealthy is therefore suspect and stays in use for
// one call at a time.
upstream_pool::health upstream_pool::health_of(time_point now, const upstream& candidate) const {
  if (candidate.last_call_result &&
      now - *candidate.last_call_result < settings_.call_result_lifetime)
    return candidate.consecutive_failures < settings_.failures_before_unhealthy ? health::healthy
                                                                                : health::unhealthy;
  if (candidate.consecutive_failures >= settings_.failures_before_unhealthy) return health::suspect;
  const bool is_probed = candidate.last_probe_result &&
                         now - *candidate.last_probe_result < settings_.probe_result_lifetime;
  const bool is_healthy = is_probed ? candidate.is_probe_healthy : !candidate.is_reported_unhealthy;
  return is_healthy ? health::healthy : health::suspect;
}

bool upstream_pool::is_health_ignored(time_point now, const service_state& service) const {
  std::size_t total = 0;
  std::size_t unhealthy = 0;
  for (const auto id : service.upstreams) {
    const auto& candidate = upstreams_.at(id);
    if (!may_dispatch(now, candidate)) continue;
    ++total;
    if (health_of(now, candidate) != health::healthy) ++unhealthy;
  }
  return total > 0 && unhealthy * 100 >= total * settings_.distrust_percent;
}

// Visits each upstream that may get calls, with the number of slots that it may use.
template <class Visitor>
void upstream_pool::for_each_usable(time_point now, service_id service, Visitor visit) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  const bool is_ignored = is_health_ignored(now, found->second);
  for (const auto id : found->second.upstreams) {
    const auto& candidate = upstreams_.at(id);
    if (!may_dispatch(now, candidate) || !is_connected(candidate)) continue;
    const auto health_now = is_ignored ? health::healthy : health_of(now, candidate);
    if (health_now == health::healthy) visit(candidate, usable_slots(candidate));
    if (health_now == health::suspect) visit(candidate, 1U);
  }
}

std::uint32_t upstream_pool::free_slots(time_point now, service_id service) const {
  std::uint32_t sum = 0;
  for_each_usable(now, service, [&](const upstream& it, std::uint32_t slots) {
    if (now >= it.paused_until) sum += slots - std::min(slots, it.outstanding);
  });
  return sum;
}

std::uint32_t upstream_pool::usable_slots(time_point now, service_id service) const {
  std::uint32_t sum = 0;
  for_each_usable(now, service, [&](const upstream&, std::uint32_t slots) { sum += slots; });
  return sum;
}

std::uint32_t upstream_pool::outstanding(service_id service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  std::uint32_t sum = 0;
  for (const auto id : found->second.upstreams)
    sum += upstreams_.at(id).outstanding;
  return sum;
}

microseconds upstream_pool::service_time(service_id service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return microseconds{0};
  return microseconds(static_cast<std::int64_t>(found->second.service_time));
}

std::vector<service_id> upstream_pool::services() const {
  std::vector<service_id> list;
  for (const auto& [id, it] : services_)
    if (!it.upstreams.empty()) list.push_back(id);
  return list;
}

std::vector<upstream_view> upstream_pool::upstreams(time_point now) const {
  std::vector<upstream_view> list;
  for (const auto& [id, it] : upstreams_) {
    const std::string_view state = it.is_superseded                            ? "superseded"
                                   : it.is_leaving                             ? "leaving"
                                   : drain_requests_.count(it.incarnation) > 0 ? "draining"
                                   : now >= it.lease_until                     ? "expired"
                                   : !is_connected(it)                         ? "silent"
                                   : health_of(now, it) != health::healthy     ? "unhealthy"
                                                                               : "serving";
    list.push_back({it.service, id, it.address, it.slots, usable_slots(it), it.outstanding, state});
  }
  return list;
}

} // namespace zinnia
