#include "zinniarelay/balance/dispatch_queue.h"

#include <algorithm>
#include <set>

namespace zinnia {
namespace {

microseconds scaled(microseconds duration, double factor) {
  return microseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

dispatch_queue::dispatch_queue(dispatch_settings settings, upstream_pool& pool, std::uint64_t seed,
                               slot_exchange::lender_selector select_lender)
    : settings_(settings), pool_(pool),
      exchange_(settings.exchange, pool, std::move(select_lender), seed) {}

dispatch_effects dispatch_queue::enqueue(time_point now, const work& request) {
  dispatch_effects out;
  auto& queue = queue_of(now, request.service);
  if (const auto reason = refusal(now, request, queue)) {
    out.push_back(reject_work{request.key, *reason});
    return out;
  }
  queue.waiting.push_back({request, now});
  waiting_index_.emplace(request.key, request.service);
  dispatch(now, request.service, out);
  return out;
}

dispatch_effects dispatch_queue::finish(time_point now, const work_key& key, call_result result) {
  dispatch_effects out;
  const auto found = running_.find(key);
  if (found == running_.end()) return out;
  const auto ended = found->second;
  running_.erase(found);
  if (ended.loan)
    exchange_.release(now, *ended.loan, result, now - ended.started_at, out);
  else
    pool_.release(now, ended.slot, result, now - ended.started_at);
  dispatch(now, ended.slot.service, out);
  return out;
}

bool dispatch_queue::cancel(const work_key& key) {
  const auto found = waiting_index_.find(key);
  if (found == waiting_index_.end()) return false;
  auto& waiting = queues_.at(found->second).waiting;
  std::erase_if(waiting, [&](const queued_work& it) { return it.request.key == key; });
  waiting_index_.erase(found);
  return true;
}

dispatch_effects dispatch_queue::tick(time_point now) {
  dispatch_effects out;
  exchange_.tick(now, out);
  for (auto& [service, queue] : queues_)
    remove_unmeetable(now, service, queue, out);
  dispatch_all(now, out);
  return out;
}

dispatch_effects dispatch_queue::on_peer_message(time_point now, const wire::peer_packet& packet) {
  dispatch_effects out;
  const auto loan = exchange_.on_message(now, packet, out);
  if (!loan) {
    dispatch_all(now, out);
    return out;
  }
  auto& queue = queue_of(now, loan->slot.service);
  queue.last_slot_available = now;
  remove_unmeetable(now, loan->slot.service, queue, out);
  if (queue.waiting.empty())
    exchange_.release(now, *loan, call_result::unused, microseconds{0}, out);
  else
    start(now, loan->slot, loan, queue, out);
  return out;
}

dispatch_effects dispatch_queue::on_host_gone(time_point now, host_id host) {
  dispatch_effects out;
  exchange_.on_host_gone(now, host);
  dispatch_all(now, out);
  return out;
}

std::size_t dispatch_queue::queued(service_id service) const {
  const auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.waiting.size();
}

std::vector<service_load> dispatch_queue::loads(time_point now) const {
  std::set<service_id> services;
  for (const auto id : pool_.services())
    services.insert(id);
  for (const auto& [id, queue] : queues_)
    if (!queue.waiting.empty()) services.insert(id);
  std::vector<service_load> list;
  list.reserve(services.size());
  for (const auto id : services)
    list.push_back({id, pool_.usable_slots(now, id), pool_.outstanding(id),
                    static_cast<std::uint32_t>(queued(id)), pool_.service_time(id)});
  return list;
}

dispatch_queue::service_queue& dispatch_queue::queue_of(time_point now, service_id service) {
  return queues_.try_emplace(service, service_queue{{}, now}).first->second;
}

std::optional<reject_reason> dispatch_queue::refusal(time_point now, const work& request,
                                                     const service_queue& queue) const {
  if (running_.count(request.key) > 0 || waiting_index_.count(request.key) > 0)
    return reject_reason::duplicate;
  if (now >= request.deadline) return reject_reason::expired;
  const auto slots = pool_.usable_slots(now, request.service);
  const auto bound = std::max(settings_.min_queue, settings_.queue_per_slot * slots);
  if (queue.waiting.size() >= bound) return reject_reason::queue_full;
  if (slots == 0) {
    // An upstream may renew its lease soon, or another host may lend a slot.
    if (now - queue.last_slot_available >= settings_.no_upstream_grace)
      return reject_reason::no_upstream;
    return std::nullopt;
  }
  if (queue.waiting.empty() && pool_.free_slots(now, request.service) > 0) return std::nullopt;
  const auto mean = pool_.service_time(request.service);
  const auto queue_length = static_cast<double>(queue.waiting.size() + 1);
  const auto min_time = scaled(mean, queue_length / slots + settings_.service_margin);
  if (now + min_time > request.deadline) return reject_reason::deadline_unreachable;
  return std::nullopt;
}

void dispatch_queue::remove_unmeetable(time_point now, service_id service, service_queue& queue,
                                       dispatch_effects& out) {
  if (pool_.usable_slots(now, service) > 0) queue.last_slot_available = now;
  const bool is_without_upstream = now - queue.last_slot_available >= settings_.no_upstream_grace;
  // A request that waits alone is not refused early, because no other request needs the slot.
  const bool is_contended = queue.waiting.size() > 1;
  const auto min_remaining =
      is_contended ? scaled(pool_.service_time(service), settings_.min_remaining) : microseconds{0};
  std::erase_if(queue.waiting, [&](const queued_work& it) {
    const bool is_late = now + min_remaining > it.request.deadline || now >= it.request.deadline;
    if (!is_late && !is_without_upstream) return false;
    waiting_index_.erase(it.request.key);
    out.push_back(
        reject_work{it.request.key, is_late ? reject_reason::expired : reject_reason::no_upstream});
    return true;
  });
}

void dispatch_queue::dispatch_all(time_point now, dispatch_effects& out) {
  for (auto& [service, queue] : queues_)
    if (!queue.waiting.empty()) dispatch(now, service, out);
  for (const auto service : pool_.services())
    if (queued(service) == 0) exchange_.serve(now, service, std::nullopt, out);
}

void dispatch_queue::dispatch(time_point now, service_id service, dispatch_effects& out) {
  auto& queue = queue_of(now, service);
  if (!queue.waiting.empty()) remove_unmeetable(now, service, queue, out);
  while (!queue.waiting.empty()) {
    exchange_.serve(now, service, queue.waiting.front().queued_at, out);
    const auto slot = pool_.acquire(now, service);
    if (!slot) break;
    start(now, *slot, std::nullopt, queue, out);
  }
  if (queue.waiting.empty()) return exchange_.serve(now, service, std::nullopt, out);
  // Without local slots there is no local slot to wait for, so a request borrows immediately.
  const bool has_slots = pool_.usable_slots(now, service) > 0;
  const auto borrow_delay =
      scaled(pool_.service_time(service), has_slots ? settings_.borrow_after : 0);
  std::vector<time_point> queued_times;
  for (const auto& it : queue.waiting) {
    const bool is_too_early = now - it.queued_at < borrow_delay;
    if (is_too_early || queued_times.size() >= settings_.exchange.max_requests_in_flight) break;
    queued_times.push_back(it.queued_at);
  }
  exchange_.request_slots(now, service, queued_times, out);
}

void dispatch_queue::start(time_point now, const upstream_slot& slot,
                           const std::optional<slot_exchange::borrowed>& loan, service_queue& queue,
                           dispatch_effects& out) {
  const auto next = queue.waiting.front().request;
  queue.waiting.pop_front();
  waiting_index_.erase(next.key);
  out.push_back(start_work{next.key, slot, loan.has_value()});
  running_.emplace(next.key, running_work{slot, now, loan});
}

} // namespace zinnia
