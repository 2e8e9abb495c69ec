#include "zinniarelay/flow/spillover_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace zinnia {
namespace {

constexpr milliseconds max_figure_age{3'000};
// Utilizations by a zone's own callers. In the wait model a flow waits for 0.56 service times at
// the first and for 0.33 at the second.
constexpr double start_utilization = 0.6;
constexpr double stop_utilization = 0.5;
// Flows from other zones do not raise a zone above this utilization: a flow then waits for 1.8
// service times, and the zone's own callers would begin to miss their target too. Of 0.8 to 0.95,
// 0.8 had the most flows in time at full load in benchmarks/zone_spillover.cpp.
constexpr double max_utilization = 0.8;
// Smaller differences between zones are within the noise of sums over a second.
constexpr double min_difference = 0.1;
// From this utilization in the wait model on, a zone may leave opening packets unanswered. Its rate
// of opened flows then exceeds the rate that it serves.
constexpr double overload_utilization = 0.85;
constexpr double overload_growth = 1.05; // of the estimate, per update
constexpr double max_overload_factor = 2;
constexpr double service_time_weight = 0.2; // of the latest estimate
// After a start of the hosts the first sums cover less than a second, so that the estimated service
// times are too long: in the model of the tests a zone at 0.4 of its capacity started spillover.
constexpr int updates_before_start = 4;
constexpr double gain = 0.25;        // share of the distance to the target per update
constexpr double max_increase = 0.1; // of a share per update
constexpr double max_decrease = 0.2;
constexpr double min_share = 0.01; // smaller ones are not worth a start
// Twice the largest one-way latency between zones of the users.
constexpr double unmeasured_delay_ms = 11;
// A flow to another zone crosses it with its opening and again with its request.
constexpr double exchanges_per_flow = 2;
constexpr double max_wait_in_services = 100;
// Utilization of a zone with demand and without slots; above all limits.
constexpr double no_capacity_utilization = 100;
constexpr int bisection_steps = 40;

// The wait model: upstreams with two slots each that get flows at random (M/M/2). Entry hosts do
// not see each other's flows, so that their choice within a zone is near to random, and flows wait
// although other upstreams of the zone have free slots.
double utilization_from_open_flows(double open_per_slot) {
  if (open_per_slot <= 0) return 0;
  return (std::sqrt(1 + 4 * open_per_slot * open_per_slot) - 1) / (2 * open_per_slot);
}

// Inverse of wait = service time * u^2 / (1 - u^2).
double utilization_from_wait(double wait_ms, double service_ms) {
  if (wait_ms <= 0) return 0;
  return std::sqrt(wait_ms / (wait_ms + service_ms));
}

double capacity_per_s(const spillover_policy::zone_figures& zone) {
  return zone.slots * 1'000 / zone.service_ms;
}

// Returns how much more a zone's callers demand than would lead to the given utilization.
double excess_over(const spillover_policy::zone_figures& zone, double utilization) {
  return std::max(0.0, zone.demand_per_s - utilization * capacity_per_s(zone));
}

/// A zone that may take flows from this one.
struct receiver {
  std::string zone;
  spillover_policy::zone_figures figures;
  double part = 0; ///< of its spare capacity, for the callers of this zone

  // Returns the flows a second that this zone may send until a flow costs the given time.
  double accepted_at(double cost_ms) const {
    const auto wait = cost_ms - figures.cost_ms;
    const auto utilization =
        std::min(utilization_from_wait(wait, figures.service_ms), max_utilization);
    return part * std::max(0.0, utilization * capacity_per_s(figures) - figures.demand_per_s);
  }
};

double sum_of(const spillover_policy::zone_shares& shares) {
  return std::accumulate(shares.begin(), shares.end(), 0.0,
                         [](double sum, const auto& it) { return sum + it.second; });
}

} // namespace

std::optional<spillover_policy::change>
spillover_policy::update(const std::string& service, const std::vector<wire::zone_load>& loads,
                         const zone_capacities& capacities) {
  std::vector<wire::zone_load> recent;
  std::copy_if(loads.begin(), loads.end(), std::back_inserter(recent), [&](const auto& it) {
    return it.service() == service && milliseconds(it.age_ms()) <= max_figure_age;
  });
  const auto has_own = std::any_of(recent.begin(), recent.end(), [this](const auto& it) {
    return it.caller_zone() == settings_.zone;
  });
  const auto known = services_.find(service);
  if (!has_own) {
    std::optional<change> out;
    if (known != services_.end() && known->second.is_active) out = change{service, false, {}, {}};
    if (known != services_.end()) services_.erase(known);
    return out;
  }
  auto& state = services_[service];
  ++state.updates;
  estimate_service_times(state, recent, capacities);
  state.figures = figures_from(state, recent, capacities);
  return step(service, state, target_of(state.figures, capacities), capacities);
}

// By Little's law the busy slots divided by the rate are the time for which a flow occupies a slot.
void spillover_policy::estimate_service_times(service_state& state,
                                              const std::vector<wire::zone_load>& recent,
                                              const zone_capacities& capacities) {
  const auto weight = std::max(service_time_weight, 1.0 / state.updates);
  for (const auto& [zone, capacity] : capacities) {
    double open = 0;
    double rate = 0;
    for (const auto& it : recent) {
      if (it.upstream_zone() != zone) continue;
      open += it.open_flows();
      rate += it.opened_per_s();
    }
    if (open <= 0 || rate <= 0 || capacity.slots <= 0) continue;
    const auto utilization = utilization_from_open_flows(open / capacity.slots);
    const auto estimate = utilization * capacity.slots * 1'000 / rate;
    const auto [it, is_new] = state.service_ms.try_emplace(zone, estimate);
    if (is_new) continue;
    if (utilization < overload_utilization) {
      it->second += weight * (estimate - it->second);
      continue;
    }
    // An overloaded zone serves fewer flows than are opened, so that the estimate is too low by an
    // unknown factor. It grows until the zone gets no more flows than it can serve.
    const auto raised = overload_growth * std::max(it->second, estimate);
    it->second = std::max(it->second, std::min(raised, max_overload_factor * estimate));
  }
}

// A zone whose own hosts do not report is left out, because the demand of its callers is unknown.
std::map<std::string, spillover_policy::zone_figures>
spillover_policy::figures_from(const service_state& state,
                               const std::vector<wire::zone_load>& recent,
                               const zone_capacities& capacities) const {
  std::map<std::string, zone_figures> out;
  if (state.service_ms.empty()) return out;
  const auto mean = std::accumulate(state.service_ms.begin(), state.service_ms.end(), 0.0,
                                    [](double sum, const auto& it) { return sum + it.second; }) /
                    static_cast<double>(state.service_ms.size());
  for (const auto& it : recent) {
    auto& zone = out[it.caller_zone()];
    zone.demand_per_s += it.opened_per_s();
  }
  for (auto& [name, zone] : out) {
    const auto capacity = capacities.find(name);
    if (capacity != capacities.end()) zone.slots = capacity->second.slots;
    const auto measured = state.service_ms.find(name);
    zone.service_ms = measured == state.service_ms.end() ? mean : measured->second;
    zone.utilization = zone.slots > 0          ? zone.demand_per_s / capacity_per_s(zone)
                       : zone.demand_per_s > 0 ? no_capacity_utilization
                                               : 0;
    if (name == settings_.zone || capacity == capacities.end()) continue;
    zone.cost_ms = exchanges_per_flow * capacity->second.delay_ms.value_or(unmeasured_delay_ms) +
                   static_cast<double>(settings_.cross_zone_price.count());
  }
  return out;
}

// Finds the cost at which the flows that stay and the flows that leave are all flows. Demands count
// in place of the present loads, so that the result does not depend on the shares in force.
spillover_policy::zone_shares
spillover_policy::target_of(const std::map<std::string, zone_figures>& figures,
                            const zone_capacities& capacities) const {
  const auto found = figures.find(settings_.zone);
  if (found == figures.end() || found->second.demand_per_s <= 0) return {};
  const auto& own = found->second;
  std::vector<receiver> receivers;
  for (const auto& [name, zone] : figures) {
    const auto capacity = capacities.find(name);
    const auto is_usable = capacity != capacities.end() && capacity->second.may_take_flows;
    if (name == settings_.zone || !is_usable || zone.slots <= 0) continue;
    if (zone.utilization >= own.utilization - min_difference) continue;
    double excess = 0;
    for (const auto& [other, it] : figures)
      if (it.utilization >= stop_utilization || other == settings_.zone)
        excess += excess_over(it, zone.utilization);
    if (excess > 0) receivers.push_back({name, zone, excess_over(own, zone.utilization) / excess});
  }
  const auto kept_at = [&own](double cost_ms) {
    return utilization_from_wait(cost_ms, own.service_ms) * capacity_per_s(own);
  };
  const auto accepted_at = [&receivers](double cost_ms) {
    return std::accumulate(
        receivers.begin(), receivers.end(), 0.0,
        [cost_ms](double sum, const auto& it) { return sum + it.accepted_at(cost_ms); });
  };
  double low = 0;
  double high = max_wait_in_services * own.service_ms;
  for (int n = 0; n < bisection_steps; ++n) {
    const auto middle = (low + high) / 2;
    (kept_at(middle) + accepted_at(middle) < own.demand_per_s ? low : high) = middle;
  }
  zone_shares out;
  for (const auto& it : receivers)
    if (const auto accepted = it.accepted_at(high); accepted > 0)
      out[it.zone] = std::min(1.0, accepted / own.demand_per_s);
  if (const auto sum = sum_of(out); sum > 1)
    for (auto& [zone, share] : out)
      share /= sum;
  return out;
}

std::optional<spillover_policy::change>
spillover_policy::step(const std::string& service, service_state& state, const zone_shares& target,
                       const zone_capacities& capacities) const {
  const auto& own = state.figures[settings_.zone];
  const auto target_sum = sum_of(target);
  const auto was_active = state.is_active;
  if (!state.is_active)
    state.is_active = state.updates > updates_before_start &&
                      own.utilization >= start_utilization && target_sum >= min_share;
  else
    state.is_active = own.utilization >= stop_utilization && target_sum >= min_share / 2;
  for (const auto& [zone, share] : target)
    state.shares.try_emplace(zone, 0);
  for (auto it = state.shares.begin(); it != state.shares.end();) {
    const auto capacity = capacities.find(it->first);
    const auto is_usable = state.figures.count(it->first) > 0 && capacity != capacities.end() &&
                           capacity->second.may_take_flows && capacity->second.slots > 0;
    const auto wanted = target.find(it->first);
    const auto goal = state.is_active && wanted != target.end() ? wanted->second : 0;
    it->second += std::clamp(gain * (goal - it->second), -max_decrease, max_increase);
    it = !is_usable || (goal <= 0 && it->second < min_share) ? state.shares.erase(it)
                                                             : std::next(it);
  }
  if (state.is_active == was_active) return std::nullopt;
  return change{service, state.is_active, target, state.figures};
}

const spillover_policy::zone_shares* spillover_policy::shares_of(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second.shares;
}

bool spillover_policy::is_every_other_zone_full(const std::string& service) const {
  const auto* figures = figures_of(service);
  return figures != nullptr && figures->size() > 1 &&
         std::all_of(figures->begin(), figures->end(), [this](const auto& it) {
           return it.first == settings_.zone || it.second.utilization >= max_utilization;
         });
}

std::map<std::string, spillover_policy::zone_shares> spillover_policy::shares() const {
  std::map<std::string, zone_shares> out;
  for (const auto& [service, state] : services_)
    out[service] = state.shares;
  return out;
}

const std::map<std::string, spillover_policy::zone_figures>*
spillover_policy::figures_of(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second.figures;
}

} // namespace zinnia
