#include "model/model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace zinnia::bench {
namespace {

constexpr microseconds sample_period{10'000};
// A joining upstream in the cold-start scenario is slow for this many requests.
constexpr unsigned cold_requests = 20;
constexpr double cold_factor = 5;
constexpr milliseconds fault_period{4'000};
constexpr milliseconds host_outage{6'000};
constexpr milliseconds leave_time{3'000};
constexpr milliseconds restart_time{1'000};

double unit(std::uint64_t bits) {
  return (static_cast<double>(bits >> 11U) + 0.5) * 0x1p-53;
}

microseconds exponential(double mean, std::uint64_t bits) {
  return microseconds(1 + static_cast<std::int64_t>(-mean * std::log(unit(bits))));
}

} // namespace

model::model(user_profile user, scenario what, std::uint64_t seed)
    : user_(std::move(user)), what_(std::move(what)), policy_engine_(seed ^ 0x5bd1e995U),
      host_up_(user_.hosts, true), seed_(seed), faults_(seed + 1) {
  seen_.services.resize(user_.services.size());
  for (unsigned service = 0; service < user_.services.size(); ++service) {
    arrivals_.emplace_back(seed * 31 + service);
    for (unsigned n = 0; n < user_.services[service].targets; ++n) {
      target it;
      it.index = static_cast<unsigned>(targets_.size());
      it.service = service;
      it.zone = n % user_.zones;
      it.slots = user_.slots;
      renew(it);
      it.served = cold_requests;
      targets_.push_back(std::move(it));
    }
  }
}

void model::renew(target& it) {
  it.incarnation = incarnation_id{faults_() | 1U};
  it.address = {0x0A000000U + it.index, next_port_++};
  it.is_up = true;
  it.is_leaving = false;
  it.is_shedding = false;
  it.busy = 0;
  it.served = 0;
  it.queue.clear();
}

bool model::is_measured() const {
  return events_.now().time_since_epoch() >= what_.warm_up;
}

measures model::run() {
  start();
  for (unsigned service = 0; service < user_.services.size(); ++service)
    events_.after(what_.settling, [this, service] { arrive(service); });
  events_.after(what_.warm_up, [this] { sample(); });
  schedule_faults();
  const auto end = time_point{} + what_.warm_up + what_.length;
  events_.run_until(end);
  seen_.control_bytes = control_bytes();
  return seen_;
}

void model::arrive(unsigned service) {
  const auto& profile = user_.services[service];
  auto& engine = arrivals_[service];
  const double work = static_cast<double>(profile.mean.count()) * what_.requests_per_flow;
  const double slots = static_cast<double>(profile.targets) * user_.slots;
  const auto gap = exponential(work / (what_.load * slots), engine());
  events_.after(gap, [this, service] {
    auto it = std::make_shared<request>();
    it->flow = next_flow_++;
    it->service = service;
    it->caller_zone = static_cast<unsigned>(arrivals_[service]() % user_.zones);
    it->left = what_.requests_per_flow - 1;
    it->demand = demand_of(it->flow, 0, service);
    const double limit = what_.deadline * static_cast<double>(user_.services[service].mean.count());
    it->deadline = events_.now() + microseconds(static_cast<std::int64_t>(limit));
    if (is_measured()) ++seen_.flows;
    note_request();
    submit(it);
    arrive(service);
  });
}

microseconds model::demand_of(std::uint64_t flow, std::uint32_t number, unsigned service) const {
  const std::array<std::uint64_t, 4> input{seed_, flow, number, service};
  return exponential(static_cast<double>(user_.services[service].mean.count()),
                     XXH64(input.data(), sizeof input, 0));
}

void model::next_request(const request_ref& previous) {
  if (previous->left == 0) return;
  auto it = std::make_shared<request>();
  it->flow = previous->flow;
  it->number = previous->number + 1;
  it->service = previous->service;
  it->caller_zone = previous->caller_zone;
  it->left = previous->left - 1;
  it->demand = demand_of(it->flow, it->number, it->service);
  events_.after(what_.think, [this, it] {
    const double limit =
        what_.deadline * static_cast<double>(user_.services[it->service].mean.count());
    it->deadline = events_.now() + microseconds(static_cast<std::int64_t>(limit));
    note_request();
    submit(it);
  });
}

void model::note_request() {
  if (is_measured()) ++seen_.requests;
  if (is_outage_) ++seen_.outage_requests;
}

void model::note_retry() {
  if (is_measured()) ++seen_.retries;
  if (is_outage_) ++seen_.outage_retries;
}

void model::note_arrival(const request_ref& it) {
  if (!it->arrived) it->arrived = events_.now();
}

void model::serve(target& at, const request_ref& it, served_action done) {
  const auto now = events_.now();
  auto& measured = seen_.services[it->service];
  const auto mean = static_cast<double>(user_.services[it->service].mean.count());
  if (is_measured() && it->arrived && !it->is_done)
    measured.waits.push_back(static_cast<double>((now - *it->arrived).count()) / mean);
  ++at.busy;
  const bool is_cold = what_.is_cold && at.served < cold_requests;
  ++at.served;
  const auto whole = is_cold ? microseconds(static_cast<std::int64_t>(
                                   cold_factor * static_cast<double>(it->demand.count())))
                             : it->demand;
  // A call that reaches its deadline is cancelled, and its work was wasted.
  const bool is_in_time = now + whole <= it->deadline;
  const auto held = is_in_time ? whole : std::max(it->deadline - now, microseconds(1));
  const auto number = next_call_++;
  at.running.emplace(number, std::move(done));
  events_.after(held, [this, &at, it, is_in_time, number] {
    auto ended = at.running.extract(number);
    if (ended.empty()) return;
    --at.busy;
    if (is_in_time && is_measured() && !it->is_done)
      seen_.services[it->service].useful_work += static_cast<double>(it->demand.count());
    ended.mapped()(is_in_time ? served::in_time : served::late);
  });
}

void model::answered(const request_ref& it) {
  if (it->is_done) return;
  it->is_done = true;
  next_request(it);
}

void model::gave_up(const request_ref& it) {
  if (it->is_done) return;
  it->is_done = true;
  if (is_measured()) ++seen_.broken_flows;
}

void model::sample() {
  for (unsigned service = 0; service < user_.services.size(); ++service) {
    double largest = 0;
    double sum = 0;
    unsigned slots = 0;
    for (const auto& it : targets_) {
      if (it.service != service || !it.is_up) continue;
      const double held =
          it.busy + static_cast<double>(it.queue.size()) + queued_for(it) * it.slots;
      largest = std::max(largest, held / it.slots);
      sum += held;
      slots += it.slots;
    }
    if (slots == 0) continue;
    auto& measured = seen_.services[service];
    measured.largest_sum += largest;
    measured.mean_sum += sum / slots;
    measured.capacity += static_cast<double>(slots) * static_cast<double>(sample_period.count());
  }
  events_.after(sample_period, [this] { sample(); });
}

void model::kill_target(unsigned index) {
  auto& it = targets_[index];
  it.is_up = false;
  it.busy = 0;
  const auto lost = std::move(it.running);
  it.running.clear();
  on_target_gone(index);
  for (const auto& [number, done] : lost)
    done(served::lost);
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
    renew(it);
    on_target_joined(it.index);
  }
}

void model::replace_target(unsigned index) {
  kill_target(index);
  events_.after(restart_time, [this, index] {
    renew(targets_[index]);
    on_target_joined(index);
  });
}

void model::schedule_faults() {
  const auto turns = static_cast<unsigned>(what_.length / fault_period);
  for (unsigned turn = 0; turn + 2 < turns; ++turn) {
    const auto at = what_.warm_up + fault_period * turn + milliseconds(500);
    const auto victim = static_cast<unsigned>(faults_() % targets_.size());
    const auto host = static_cast<unsigned>(faults_() % user_.hosts);
    if (what_.is_draining_upstreams)
      events_.after(at, [this, victim] {
        if (!targets_[victim].is_up || targets_[victim].is_leaving) return;
        targets_[victim].is_leaving = true;
        on_target_leaving(victim);
        events_.after(leave_time, [this, victim] { replace_target(victim); });
      });
    if (what_.is_killing_upstreams || what_.is_cold)
      events_.after(at + milliseconds(1500), [this, victim] {
        const auto other = (victim + 5) % static_cast<unsigned>(targets_.size());
        if (targets_[other].is_up && !targets_[other].is_leaving) replace_target(other);
      });
    if (what_.is_killing_hosts)
      events_.after(at + milliseconds(200), [this, host] {
        if (!host_up_[host]) return;
        host_up_[host] = false;
        on_host_state(host, false);
        events_.after(host_outage, [this, host] {
          host_up_[host] = true;
          on_host_state(host, true);
        });
      });
    if (what_.is_draining_hosts && turn % 4 == 0)
      events_.after(at, [this, host] {
        if (!host_up_[host]) return;
        on_host_draining(host);
      });
    if (what_.is_shedding)
      events_.after(at, [this, victim] {
        targets_[victim].is_shedding = true;
        events_.after(milliseconds(2'000),
                      [this, victim] { targets_[victim].is_shedding = false; });
      });
    if (what_.is_misreporting) targets_[victim].is_misreporting = true;
  }
  const auto middle = what_.warm_up + what_.length / 3;
  const auto last = what_.warm_up + what_.length * 2 / 3;
  if (what_.is_zone_cut) {
    events_.after(middle, [this] {
      cut_zone_ = 1;
      is_outage_ = true;
    });
    events_.after(last, [this] {
      cut_zone_.reset();
      is_outage_ = false;
    });
  }
  if (what_.is_zone_down) {
    events_.after(middle, [this] {
      is_outage_ = true;
      take_zone_down(1);
    });
    events_.after(last, [this] {
      is_outage_ = false;
      bring_zone_up(1);
    });
  }
}

} // namespace zinnia::bench
