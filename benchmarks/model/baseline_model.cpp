#include "model/baseline_model.h"

#include "zinniarelay/balance/rendezvous.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace zinnia::bench {
namespace {

constexpr milliseconds report_interval{500};
constexpr milliseconds join_delay{500};
constexpr milliseconds leave_delay{250};
constexpr milliseconds crash_detection_delay{2'000};
constexpr milliseconds retry_delay{200};
constexpr unsigned max_attempts = 4;

std::uint64_t hash_of(std::uint64_t flow) {
  return XXH64(&flow, sizeof flow, 7);
}

} // namespace

const char* name_of(baseline policy) {
  constexpr std::array names{"modulo",         "rendezvous",  "random", "round robin",
                             "least reported", "two choices", "central"};
  return names[static_cast<std::size_t>(policy)];
}

baseline_model::baseline_model(user_profile user, scenario scenario, std::uint64_t seed,
                               baseline policy)
    : model(std::move(user), std::move(scenario), seed), policy_(policy),
      is_listed_(targets_.size(), true), reported_load_(targets_.size(), 0),
      outstanding_(user_.hosts, std::vector<unsigned>(targets_.size(), 0)),
      rotation_(user_.hosts, std::vector<unsigned>(user_.services.size(), 0)),
      central_queues_(user_.services.size()) {
  for (auto& host : rotation_)
    for (auto& position : host)
      position = static_cast<unsigned>(policy_engine_() % 16);
}

void baseline_model::start() {
  update_reports();
}

void baseline_model::update_reports() {
  for (const auto& target : targets_)
    reported_load_[target.index] =
        target.is_misreporting
            ? 0
            : (target.busy + static_cast<double>(target.queue.size())) / target.slots;
  events_.after(report_interval, [this] { update_reports(); });
}

bool baseline_model::is_reachable(unsigned caller_zone, unsigned zone) const {
  return !cut_zone_ || caller_zone == zone || (caller_zone != *cut_zone_ && zone != *cut_zone_);
}

std::vector<unsigned> baseline_model::candidates_for(const request& request) const {
  std::vector<unsigned> list;
  for (const auto& target : targets_)
    if (target.service == request.service && is_listed_[target.index]) list.push_back(target.index);
  return list;
}

// Counts the outstanding requests that this host sent. Those of other hosts are not visible to it.
double baseline_model::local_load(unsigned host, unsigned index) const {
  return static_cast<double>(outstanding_[host][index]) / targets_[index].slots;
}

void baseline_model::charge(const request_ref& request) {
  const auto& binding = bindings_.at(request->flow);
  request->charged_to = {binding.host, binding.index};
  ++outstanding_[binding.host][binding.index];
}

void baseline_model::finish(const request_ref& request, bool is_answered) {
  if (request->charged_to) --outstanding_[request->charged_to->first][request->charged_to->second];
  request->charged_to.reset();
  if (is_answered)
    complete_request(request);
  else
    fail_request(request);
}

unsigned baseline_model::choose_target(const request& request, unsigned host,
                                       const std::vector<unsigned>& candidates) {
  const auto random_candidate = [&] { return candidates[policy_engine_() % candidates.size()]; };
  switch (policy_) {
  case baseline::modulo:
    return candidates[hash_of(request.flow) % candidates.size()];
  case baseline::rendezvous: {
    std::vector<host_id> ids;
    ids.reserve(candidates.size());
    for (const auto index : candidates)
      ids.push_back(host_id{index});
    return zinnia::rendezvous(hash_of(request.flow), ids)->value;
  }
  case baseline::round_robin:
    return candidates[rotation_[host][request.service]++ % candidates.size()];
  case baseline::least_reported: {
    // Ties are broken at random. Requests sent since the report are not added.
    std::vector<unsigned> best;
    for (const auto index : candidates) {
      if (!best.empty() && reported_load_[index] > reported_load_[best.front()]) continue;
      if (!best.empty() && reported_load_[index] < reported_load_[best.front()]) best.clear();
      best.push_back(index);
    }
    return best[policy_engine_() % best.size()];
  }
  case baseline::two_choices: {
    const auto first = random_candidate();
    const auto second = random_candidate();
    return local_load(host, second) < local_load(host, first) ? second : first;
  }
  case baseline::random:
  case baseline::central:
    break;
  }
  return random_candidate();
}

void baseline_model::submit(const request_ref& request) {
  if (policy_ == baseline::central) {
    record_arrival(request);
    central_queues_[request->service].push_back(request);
    pump_central(request->service);
    return;
  }
  const auto host = static_cast<unsigned>(policy_engine_() % user_.hosts);
  const auto candidates = candidates_for(*request);
  if (candidates.empty()) return finish(request, false);
  const bool is_stateless = policy_ == baseline::modulo || policy_ == baseline::rendezvous;
  if (request->number == 0 || is_stateless) {
    const auto index = choose_target(*request, host, candidates);
    const auto found = bindings_.find(request->flow);
    // The new upstream lacks the state of the flow, which another upstream holds.
    if (request->number > 0 && found != bindings_.end() &&
        found->second.incarnation != targets_[index].incarnation)
      return finish(request, false);
    bindings_[request->flow] = {index, targets_[index].incarnation, host};
  }
  if (request->charged_to) --outstanding_[request->charged_to->first][request->charged_to->second];
  charge(request);
  send(request, bindings_.at(request->flow).index);
}

void baseline_model::send(const request_ref& request, unsigned index) {
  const auto incarnation = bindings_.at(request->flow).incarnation;
  const bool is_same_zone = policy_engine_() % user_.zones == targets_[index].zone;
  const auto delay = (is_same_zone ? microseconds(0) : user_.zone_delay) +
                     user_.caller_delay * (request->number == 0 ? 3 : 1);
  if (!is_reachable(request->caller_zone, targets_[index].zone)) {
    if (request->number > 0 || request->attempts >= max_attempts) return finish(request, false);
    ++request->attempts;
    record_retry();
    events_.after(retry_delay, [this, request] { submit(request); });
    return;
  }
  events_.after(delay,
                [this, request, index, incarnation] { arrive_at(request, index, incarnation); });
}

void baseline_model::arrive_at(const request_ref& request, unsigned index,
                               incarnation_id incarnation) {
  auto& target = targets_[index];
  const bool is_gone = !target.is_up || target.incarnation != incarnation || target.is_leaving;
  if (is_gone) {
    if (request->number > 0 || request->attempts >= max_attempts) return finish(request, false);
    ++request->attempts;
    record_retry();
    return submit(request);
  }
  record_arrival(request);
  target.queue.push_back(request);
  pump(index);
}

void baseline_model::pump(unsigned index) {
  auto& target = targets_[index];
  while (target.is_up && target.busy < target.open_slots() && !target.queue.empty()) {
    const auto request = target.queue.front();
    target.queue.pop_front();
    if (events_.now() >= request->deadline) {
      finish(request, false);
      continue;
    }
    serve(target, request, [this, request, index](call_outcome outcome) {
      finish(request, outcome == call_outcome::in_time);
      pump(index);
    });
  }
}

void baseline_model::pump_central(unsigned service) {
  auto& queue = central_queues_[service];
  for (auto& target : targets_) {
    if (target.service != service || !target.is_up || target.is_leaving) continue;
    while (target.busy < target.open_slots() && !queue.empty()) {
      const auto request = queue.front();
      queue.pop_front();
      if (events_.now() >= request->deadline) {
        finish(request, false);
        continue;
      }
      serve(target, request, [this, request, service](call_outcome outcome) {
        finish(request, outcome == call_outcome::in_time);
        pump_central(service);
      });
    }
  }
}

double baseline_model::queue_share_of(const target& target) const {
  if (policy_ != baseline::central) return 0;
  unsigned slots = 0;
  for (const auto& other : targets_)
    if (other.service == target.service && other.is_up) slots += other.slots;
  return static_cast<double>(central_queues_[target.service].size()) / slots;
}

void baseline_model::on_target_joined(unsigned index) {
  if (policy_ == baseline::central) pump_central(targets_[index].service);
  events_.after(join_delay, [this, index] { is_listed_[index] = true; });
}

void baseline_model::on_target_leaving(unsigned index) {
  events_.after(leave_delay, [this, index] { is_listed_[index] = false; });
}

void baseline_model::on_target_gone(unsigned index) {
  auto waiting = std::move(targets_[index].queue);
  targets_[index].queue.clear();
  for (const auto& it : waiting)
    finish(it, false);
  const auto incarnation = targets_[index].incarnation;
  if (!is_listed_[index]) return;
  events_.after(crash_detection_delay, [this, index, incarnation] {
    if (targets_[index].incarnation == incarnation) is_listed_[index] = false;
  });
}

} // namespace zinnia::bench
