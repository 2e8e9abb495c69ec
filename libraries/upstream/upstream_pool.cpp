#include "zinniarelay/upstream/upstream_pool.h"

#include <algorithm>
#include <glog/logging.h>

namespace zinnia {
namespace {

// Weight of the newest sample in the mean service time; about the last 20 calls count.
constexpr double service_time_weight = 0.05;
// Superseded incarnations that are remembered, so that a late renewal of one is refused.
constexpr std::size_t remembered_incarnations = 4096;

// SplitMix64: marks need to differ, not to be unpredictable.
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

announcement_answer upstream_pool::on_announcement(time_point now,
                                                   const upstream_announcement& said) {
  notice_time(now);
  if (said.slots == 0 || said.address.port == 0) return {announcement_result::malformed};
  if (retired_index_.count(said.incarnation) > 0) return {announcement_result::superseded};
  const auto known = upstreams_.find(said.incarnation);
  if (known != upstreams_.end() && known->second.service != said.service)
    return {announcement_result::malformed};
  supersede_others(said);
  auto& it = upstreams_[said.incarnation];
  if (known == upstreams_.end()) {
    it.service = said.service;
    it.incarnation = said.incarnation;
    services_[said.service].upstreams.push_back(said.incarnation);
  }
  it.address = said.address;
  it.slots = said.slots;
  // Leaving is final for an incarnation, so that a late renewal cannot undo it.
  it.is_leaving = it.is_leaving || said.leaving;
  it.is_reported_unhealthy = said.reported_unhealthy;
  grant_lease(now, it, said);
  it.last_mark = it.mark;
  it.last_mark_sent = it.mark_sent;
  it.mark = next_mark(mark_state_);
  it.mark_sent = now;
  return {announcement_result::accepted, it.mark, drains_.count(it.incarnation) > 0};
}

// An echo proves that the upstream spoke after the marked reply was sent, so the lease
// counts from that reply. Counting from the arrival would grant a full lease to a renewal
// that waited in a socket buffer while this process was frozen or the link was cut.
void upstream_pool::grant_lease(time_point now, upstream& it, const upstream_announcement& said) {
  time_point proven = time_point::min();
  if (said.lease_echo != 0) {
    it.has_echoed = true;
    if (said.lease_echo == it.mark) proven = it.mark_sent;
    if (said.lease_echo == it.last_mark) proven = it.last_mark_sent;
  } else if (!it.has_echoed && now >= quarantine_until_) {
    proven = now;
  }
  if (proven != time_point::min())
    it.lease_until = std::max(it.lease_until, proven + settings_.lease);
}

void upstream_pool::supersede_others(const upstream_announcement& said) {
  for (auto& [id, other] : upstreams_) {
    if (id == said.incarnation || other.address != said.address || other.is_superseded) continue;
    other.is_superseded = true;
    retire(id);
  }
}

void upstream_pool::retire(incarnation_id id) {
  if (!retired_index_.insert(id).second) return;
  retired_.push_back(id);
  if (retired_.size() <= remembered_incarnations) return;
  retired_index_.erase(retired_.front());
  retired_.pop_front();
}

void upstream_pool::set_drains(const std::vector<incarnation_id>& upstreams) {
  drains_.clear();
  drains_.insert(upstreams.begin(), upstreams.end());
}

void upstream_pool::notice_time(time_point now) {
  if (last_call_ && now - *last_call_ >= settings_.freeze_gap) {
    quarantine_until_ = now + settings_.freeze_quarantine;
    // Answers may be waiting unread; a probe is judged by time in which this process ran.
    for (auto& [id, it] : upstreams_)
      if (it.connection.probe_sent) it.connection.probe_sent = now;
  }
  last_call_ = last_call_ ? std::max(*last_call_, now) : now;
}

std::optional<upstream_slot> upstream_pool::acquire(time_point now, service_id service) {
  notice_time(now);
  const upstream* chosen = nullptr;
  std::uint32_t chosen_slots = 1;
  for_each_usable(now, service, [&](const upstream& it, std::uint32_t slots) {
    if (it.outstanding >= slots || now < it.paused_until) return;
    // Compares outstanding / slots without a division; ties go to the least recently used.
    const auto left = std::uint64_t{it.outstanding} * chosen_slots;
    const auto right = chosen ? std::uint64_t{chosen->outstanding} * slots : 0;
    if (chosen && (left > right || (left == right && it.last_used > chosen->last_used))) return;
    chosen = &it;
    chosen_slots = slots;
  });
  auto* best = chosen ? &upstreams_.at(chosen->incarnation) : nullptr;
  if (best == nullptr) return std::nullopt;
  ++best->outstanding;
  best->last_used = ++uses_;
  return upstream_slot{service, best->incarnation, best->address, best->connection.number,
                       best->lease_until};
}

void upstream_pool::release(time_point now, const upstream_slot& slot, call_result result,
                            microseconds held) {
  notice_time(now);
  const auto known = upstreams_.find(slot.incarnation);
  if (known == upstreams_.end()) return;
  auto& it = known->second;
  CHECK_GT(it.outstanding, 0U) << "slot of " << it.address.to_string() << " released twice";
  --it.outstanding;
  if (result != call_result::refused) it.refusals_in_row = 0;
  switch (result) {
  case call_result::completed: {
    ++it.completed;
    it.failures_in_row = 0;
    it.last_call = now;
    if (slot.connection == it.connection.number) it.connection.last_progress = now;
    auto& mean = services_[it.service].service_time;
    const auto sample = static_cast<double>(held.count());
    mean = mean == 0 ? sample : mean + service_time_weight * (sample - mean);
    break;
  }
  case call_result::failed:
    ++it.failures_in_row;
    it.last_call = now;
    break;
  case call_result::refused: {
    const auto doublings = std::min(it.refusals_in_row++, 8U);
    it.paused_until = now + std::min(settings_.refusal_pause * (1U << doublings),
                                     settings_.maximum_refusal_pause);
    break;
  }
  case call_result::unused:
  case call_result::abandoned:
    break;
  }
}

std::vector<connection_action> upstream_pool::tick(time_point now) {
  notice_time(now);
  std::vector<connection_action> out;
  for (auto at = upstreams_.begin(); at != upstreams_.end();) {
    auto& it = at->second;
    if (!is_finished(now, it)) {
      check_connection(now, it, out);
      ++at;
      continue;
    }
    if (it.connection.number != 0)
      out.push_back(
          {connection_action::kind::close, it.incarnation, it.address, it.connection.number, 0});
    std::erase(services_[it.service].upstreams, it.incarnation);
    at = upstreams_.erase(at);
  }
  return out;
}

bool upstream_pool::is_finished(time_point now, const upstream& it) const {
  if (it.outstanding > 0) return false;
  return it.is_superseded || now - it.lease_until >= settings_.forget_after;
}

void upstream_pool::check_connection(time_point now, upstream& it,
                                     std::vector<connection_action>& out) {
  using kind = connection_action::kind;
  auto& link = it.connection;
  if (link.number == 0) {
    link = {next_connection_++, now + settings_.probe_period, std::nullopt, now, 0};
    out.push_back({kind::open, it.incarnation, it.address, link.number, 0});
    return;
  }
  if (link.probe_sent && now - *link.probe_sent >= settings_.probe_timeout) {
    link.failed_probes = link.last_progress >= *link.probe_sent ? 0 : link.failed_probes + 1;
    link.probe_sent.reset();
    link.next_probe = now;
  }
  if (link.failed_probes >= settings_.probes_before_replacement) {
    const auto replaced = link.number;
    link = {next_connection_++, now + settings_.probe_period, std::nullopt, now, 0};
    out.push_back({kind::replace, it.incarnation, it.address, link.number, replaced});
    return;
  }
  // An upstream without a lease and without calls is not worth probing.
  if (now >= it.lease_until && it.outstanding == 0) {
    link.probe_sent.reset();
    return;
  }
  if (link.probe_sent || now < link.next_probe) return;
  link.probe_sent = now;
  link.next_probe = now + settings_.probe_period;
  out.push_back({kind::probe, it.incarnation, it.address, link.number, 0});
}

void upstream_pool::on_probe_result(time_point now, incarnation_id upstream,
                                    std::uint64_t connection, probe_result result) {
  notice_time(now);
  const auto known = upstreams_.find(upstream);
  if (known == upstreams_.end() || known->second.connection.number != connection) return;
  auto& it = known->second;
  it.connection.probe_sent.reset();
  if (result == probe_result::failed) {
    ++it.connection.failed_probes;
    return;
  }
  it.connection.failed_probes = 0;
  it.connection.last_progress = now;
  it.last_probe = now;
  it.is_probe_healthy = result == probe_result::healthy;
  // Another process answers on this address; only a new renewal can show otherwise.
  if (result == probe_result::wrong_identity) it.lease_until = std::min(it.lease_until, now);
}

std::uint32_t upstream_pool::usable_slots(const upstream& it) const {
  const auto opened = 1 + it.completed / std::max(settings_.completions_per_slot, 1U);
  return std::min(it.slots, opened);
}

bool upstream_pool::has_permission(time_point now, const upstream& it) const {
  return now < it.lease_until && !it.is_leaving && !it.is_superseded &&
         drains_.count(it.incarnation) == 0;
}

// Silence is not a matter of health: a silent connection is replaced within 2.5 s, and
// work sent on it before would be lost with it, so it is skipped even under distrust.
bool upstream_pool::is_connected(const upstream& it) const {
  return it.connection.number != 0 && it.connection.failed_probes == 0;
}

// The order is that of docs/design.md R19; a later source counts only when there is no
// fresh evidence from an earlier one. Probes and reports may be false, and an upstream
// without work gives no better evidence, so on their word alone it stays in use for one
// call at a time.
upstream_pool::health upstream_pool::health_of(time_point now, const upstream& it) const {
  if (it.last_call && now - *it.last_call < settings_.call_evidence)
    return it.failures_in_row < settings_.failures_before_unhealthy ? health::healthy
                                                                    : health::unhealthy;
  if (it.failures_in_row >= settings_.failures_before_unhealthy) return health::doubtful;
  const bool is_probed = it.last_probe && now - *it.last_probe < settings_.probe_evidence;
  const bool is_good = is_probed ? it.is_probe_healthy : !it.is_reported_unhealthy;
  return is_good ? health::healthy : health::doubtful;
}

bool upstream_pool::is_distrusted(time_point now, const service_state& service) const {
  std::size_t all = 0;
  std::size_t unhealthy = 0;
  for (const auto id : service.upstreams) {
    const auto& it = upstreams_.at(id);
    if (!has_permission(now, it)) continue;
    ++all;
    if (health_of(now, it) != health::healthy) ++unhealthy;
  }
  return all > 0 && unhealthy * 100 >= all * settings_.distrust_percent;
}

// Visits each upstream that may get work, with the slots that it may use.
template <class Visitor>
void upstream_pool::for_each_usable(time_point now, service_id service, Visitor visit) const {
  const auto known = services_.find(service);
  if (known == services_.end()) return;
  const bool is_distrusting = is_distrusted(now, known->second);
  for (const auto id : known->second.upstreams) {
    const auto& it = upstreams_.at(id);
    if (!has_permission(now, it) || !is_connected(it)) continue;
    const auto seen = is_distrusting ? health::healthy : health_of(now, it);
    if (seen == health::healthy) visit(it, usable_slots(it));
    if (seen == health::doubtful) visit(it, 1U);
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
  const auto known = services_.find(service);
  if (known == services_.end()) return 0;
  std::uint32_t sum = 0;
  for (const auto id : known->second.upstreams)
    sum += upstreams_.at(id).outstanding;
  return sum;
}

microseconds upstream_pool::service_time(service_id service) const {
  const auto known = services_.find(service);
  if (known == services_.end()) return microseconds{0};
  return microseconds(static_cast<std::int64_t>(known->second.service_time));
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
    const std::string_view state = it.is_superseded                        ? "superseded"
                                   : it.is_leaving                         ? "leaving"
                                   : drains_.count(it.incarnation) > 0     ? "draining"
                                   : now >= it.lease_until                 ? "expired"
                                   : !is_connected(it)                     ? "silent"
                                   : health_of(now, it) != health::healthy ? "unhealthy"
                                                                           : "serving";
    list.push_back({it.service, id, it.address, it.slots, usable_slots(it), it.outstanding, state});
  }
  return list;
}

} // namespace zinnia
