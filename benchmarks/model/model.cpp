#include "model/model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace zinnia::bench {
namespace {

constexpr microseconds sample_interval{10'000};
// In the cold-start scenario an upstream is slower by the factor below for this many requests
// after it joins.
constexpr unsigned cold_start_requests = 20;
constexpr double cold_start_factor = 5;
constexpr milliseconds fault_interval{4'000};
constexpr milliseconds host_outage_duration{6'000};
constexpr milliseconds leave_duration{3'000};
constexpr milliseconds restart_delay{1'000};

double to_unit_interval(std::uint64_t bits) {
  return (static_cast<double>(bits >> 11U) + 0.5) * 0x1p-53;
}

microseconds exponential(double mean, std::uint64_t bits) {
  return microseconds(1 + static_cast<std::int64_t>(-mean * std::log(to_unit_interval(bits))));
}

} // namespace

model::model(user_profile user, scenario scenario, std::uint64_t seed)
    : user_(std::move(user)), scenario_(std::move(scenario)), policy_engine_(seed ^ 0x5bd1e995U),
      host_up_(user_.hosts, true), seed_(seed), faults_(seed + 1) {
  measures_.services.resize(user_.services.size());
  for (unsigned service = 0; service < user_.services.size(); ++service) {
    arrivals_.emplace_back(seed * 31 + service);
    for (unsigned n = 0; n < user_.services[service].targets; ++n) {
      target created;
      created.index = static_cast<unsigned>(targets_.size());
      created.service = service;
      created.zone = n % user_.zones;
      created.slots = user_.slots;
      restart(created);
      created.started_calls = cold_start_requests;
      targets_.push_back(std::move(created));
    }
  }
}

void model::restart(target& target) {
  target.incarnation = incarnation_id{faults_() | 1U};
  target.address = {0x0A000000U + target.index, next_port_++};
  target.is_up = true;
  target.is_leaving = false;
  target.is_shedding = false;
  target.busy = 0;
  target.started_calls = 0;
  target.queue.clear();
}

bool model::is_measured() const {
  return events_.now().time_since_epoch() >= scenario_.warm_up;
}

measures model::run() {
  start();
  for (unsigned service = 0; service < user_.services.size(); ++service)
    events_.after(scenario_.settling_time, [this, service] { arrive(service); });
  events_.after(scenario_.warm_up, [this] { sample(); });
  schedule_faults();
  const auto end = time_point{} + scenario_.warm_up + scenario_.length;
  events_.run_until(end);
  measures_.control_bytes = control_bytes();
  return measures_;
}

void model::arrive(unsigned service) {
  const auto& profile = user_.services[service];
  auto& engine = arrivals_[service];
  const double work =
      static_cast<double>(profile.mean_service_time.count()) * scenario_.requests_per_flow;
  const double slots = static_cast<double>(profile.targets) * user_.slots;
  const auto gap = exponential(work / (scenario_.load * slots), engine());
  events_.after(gap, [this, service] {
    auto first = std::make_shared<request>();
    first->flow = next_flow_++;
    first->service = service;
    first->caller_zone = static_cast<unsigned>(arrivals_[service]() % user_.zones);
    first->remaining = scenario_.requests_per_flow - 1;
    first->demand = demand_of(first->flow, 0, service);
    const double limit =
        scenario_.deadline * static_cast<double>(user_.services[service].mean_service_time.count());
    first->deadline = events_.now() + microseconds(static_cast<std::int64_t>(limit));
    if (is_measured()) ++measures_.flows;
    record_request();
    submit(first);
    arrive(service);
  });
}

microseconds model::demand_of(std::uint64_t flow, std::uint32_t number, unsigned service) const {
  const std::array<std::uint64_t, 4> input{seed_, flow, number, service};
  return exponential(static_cast<double>(user_.services[service].mean_service_time.count()),
                     XXH64(input.data(), sizeof input, 0));
}

void model::next_request(const request_ref& previous) {
  if (previous->remaining == 0) return;
  auto next = std::make_shared<request>();
  next->flow = previous->flow;
  next->number = previous->number + 1;
  next->service = previous->service;
  next->caller_zone = previous->caller_zone;
  next->remaining = previous->remaining - 1;
  next->demand = demand_of(next->flow, next->number, next->service);
  events_.after(scenario_.think_time, [this, next] {
    const double limit =
        scenario_.deadline *
        static_cast<double>(user_.services[next->service].mean_service_time.count());
    next->deadline = events_.now() + microseconds(static_cast<std::int64_t>(limit));
    record_request();
    submit(next);
  });
}

void model::record_request() {
  if (is_measured()) ++measures_.requests;
  if (is_outage_) ++measures_.outage_requests;
}

void model::record_retry() {
  if (is_measured()) ++measures_.retries;
  if (is_outage_) ++measures_.outage_retries;
}

void model::record_arrival(const request_ref& request) {
  if (!request->arrived) request->arrived = events_.now();
}

void model::serve(target& target, const request_ref& request, call_handler on_end) {
  const auto now = events_.now();
  auto& service_result = measures_.services[request->service];
  const auto mean = static_cast<double>(user_.services[request->service].mean_service_time.count());
  if (is_measured() && request->arrived && !request->is_done)
    service_result.waits.push_back(static_cast<double>((now - *request->arrived).count()) / mean);
  ++target.busy;
  const bool is_cold = scenario_.is_cold_start && target.started_calls < cold_start_requests;
  ++target.started_calls;
  const auto full_time =
      is_cold ? microseconds(static_cast<std::int64_t>(
                    cold_start_factor * static_cast<double>(request->demand.count())))
              : request->demand;
  // A call that reaches its deadline is cancelled; its work does not count as useful.
  const bool is_in_time = now + full_time <= request->deadline;
  const auto call_time =
      is_in_time ? full_time : std::max(request->deadline - now, microseconds(1));
  const auto call_number = next_call_++;
  target.running.emplace(call_number, std::move(on_end));
  events_.after(call_time, [this, &target, request, is_in_time, call_number] {
    auto ended = target.running.extract(call_number);
    if (ended.empty()) return;
    --target.busy;
    if (is_in_time && is_measured() && !request->is_done)
      measures_.services[request->service].useful_work +=
          static_cast<double>(request->demand.count());
    ended.mapped()(is_in_time ? call_outcome::in_time : call_outcome::late);
  });
}

void model::complete_request(const request_ref& request) {
  if (request->is_done) return;
  request->is_done = true;
  next_request(request);
}

void model::fail_request(const request_ref& request) {
  if (request->is_done) return;
  request->is_done = true;
  if (is_measured()) ++measures_.broken_flows;
}

void model::sample() {
  for (unsigned service = 0; service < user_.services.size(); ++service) {
    double largest = 0;
    double sum = 0;
    unsigned slots = 0;
    for (const auto& it : targets_) {
      if (it.service != service || !it.is_up) continue;
      const double outstanding =
          it.busy + static_cast<double>(it.queue.size()) + queue_share_of(it) * it.slots;
      largest = std::max(largest, outstanding / it.slots);
      sum += outstanding;
      slots += it.slots;
    }
    if (slots == 0) continue;
    auto& service_result = measures_.services[service];
    service_result.largest_sum += largest;
    service_result.mean_sum += sum / slots;
    service_result.capacity +=
        static_cast<double>(slots) * static_cast<double>(sample_interval.count());
  }
  events_.after(sample_interval, [this] { sample(); });
}

void model::kill_target(unsigned index) {
  auto& target = targets_[index];
  target.is_up = false;
  target.busy = 0;
  const auto interrupted = std::move(target.running);
  target.running.clear();
  on_target_gone(index);
  for (const auto& [number, on_end] : interrupted)
    on_end(call_outcome::lost);
}

void model::take_zone_down(unsigned zone) {
  for (unsigned host = 0; host < user_.hosts; ++host) {
    if (host % user_.zones != zone) continue;
    host_up_[host] = false;
    on_host_state(host, false);
  }
  for (const auto& it : targets_)
    if (it.zone == zone) kill_target(it.index);
}

void model::bring_zone_up(unsigned zone) {
  for (unsigned host = 0; host < user_.hosts; ++host) {
    if (host % user_.zones != zone) continue;
    host_up_[host] = true;
    on_host_state(host, true);
  }
  for (auto& it : targets_) {
    if (it.zone != zone) continue;
    restart(it);
    on_target_joined(it.index);
  }
}

void model::replace_target(unsigned index) {
  kill_target(index);
  events_.after(restart_delay, [this, index] {
    restart(targets_[index]);
    on_target_joined(index);
  });
}

void model::schedule_faults() {
  const auto rounds = static_cast<unsigned>(scenario_.length / fault_interval);
  for (unsigned round = 0; round + 2 < rounds; ++round) {
    const auto at = scenario_.warm_up + fault_interval * round + milliseconds(500);
    const auto target = static_cast<unsigned>(faults_() % targets_.size());
    const auto host = static_cast<unsigned>(faults_() % user_.hosts);
    if (scenario_.is_draining_upstreams)
      events_.after(at, [this, target] {
        if (!targets_[target].is_up || targets_[target].is_leaving) return;
        targets_[target].is_leaving = true;
        on_target_leaving(target);
        events_.after(leave_duration, [this, target] { replace_target(target); });
      });
    if (scenario_.is_killing_upstreams || scenario_.is_cold_start)
      events_.after(at + milliseconds(1500), [this, target] {
        const auto other = (target + 5) % static_cast<unsigned>(targets_.size());
        if (targets_[other].is_up && !targets_[other].is_leaving) replace_target(other);
      });
    if (scenario_.is_killing_hosts)
      events_.after(at + milliseconds(200), [this, host] {
        if (!host_up_[host]) return;
        host_up_[host] = false;
        on_host_state(host, false);
        events_.after(host_outage_duration, [this, host] {
          host_up_[host] = true;
          on_host_state(host, true);
        });
      });
    if (scenario_.is_draining_hosts && round % 4 == 0)
      events_.after(at, [this, host] {
        if (!host_up_[host]) return;
        on_host_draining(host);
      });
    if (scenario_.is_shedding)
      events_.after(at, [this, target] {
        targets_[target].is_shedding = true;
        events_.after(milliseconds(2'000),
                      [this, target] { targets_[target].is_shedding = false; });
      });
    if (scenario_.is_misreporting) targets_[target].is_misreporting = true;
  }
  const auto outage_start = scenario_.warm_up + scenario_.length / 3;
  const auto outage_end = scenario_.warm_up + scenario_.length * 2 / 3;
  if (scenario_.is_zone_cut) {
    events_.after(outage_start, [this] {
      cut_zone_ = 1;
      is_outage_ = true;
    });
    events_.after(outage_end, [this] {
      cut_zone_.reset();
      is_outage_ = false;
    });
  }
  if (scenario_.is_zone_down) {
    events_.after(outage_start, [this] {
      is_outage_ = true;
      take_zone_down(1);
    });
    events_.after(outage_end, [this] {
      is_outage_ = false;
      bring_zone_up(1);
    });
  }
}

} // namespace zinnia::bench
