#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

struct spillover_settings {
  std::string zone;                 ///< of this host
  milliseconds cross_zone_price{0}; ///< waiting time that one flow to another zone is worth
};

/// Decides which share of the new flows of this zone's callers goes to which other zone
/// (docs/design/cross-zone-spillover.md). Answers the load pattern in which the callers of a zone
/// need more than its upstreams can serve while other zones have idle slots. The shares follow from
/// sums over all entry hosts, so that all hosts of a zone compute nearly the same ones.
class spillover_policy {
public:
  /// What this host knows about the upstreams of a service in one zone.
  struct zone_capacity {
    double slots = 0;               ///< of the usable upstreams, in slots of warm ones
    std::optional<double> delay_ms; ///< added time to an answer; no value before a measurement
    bool may_take_flows = true;     ///< neither cut off nor closed to new flows
  };
  using zone_capacities = std::map<std::string, zone_capacity>;
  using zone_shares = std::map<std::string, double>;

  /// The figures behind a share.
  struct zone_figures {
    double utilization = 0; ///< if the zone served its own callers alone
    double demand_per_s = 0;
    double slots = 0;
    double service_ms = 0; ///< estimated time for which a flow occupies a slot
    double cost_ms = 0;    ///< of a flow to the zone, without its wait
  };

  /// The start or the end of spillover from this zone.
  struct change {
    std::string service;
    bool is_start = false;
    zone_shares target;                          ///< that the figures call for
    std::map<std::string, zone_figures> figures; ///< by zone; empty when they are too old
  };

  explicit spillover_policy(spillover_settings settings) : settings_(std::move(settings)) {}

  /// Moves the shares of a service towards those that its sums call for, whose ages are the
  /// present ones. Without recent figures of this zone, the service has no shares afterwards.
  std::optional<change> update(const std::string& service,
                               const std::vector<wire::zone_load>& loads,
                               const zone_capacities& capacities);

  /// Returns the shares of the new flows that go to other zones; null without recent figures.
  const zone_shares* shares_of(const std::string& service) const;
  /// Returns true when the figures of the other zones show that none of them has spare capacity.
  bool is_every_other_zone_full(const std::string& service) const;
  /// Returns the shares of all services with recent figures.
  std::map<std::string, zone_shares> shares() const;
  /// Returns the figures of the last update, by zone; null without recent figures.
  const std::map<std::string, zone_figures>* figures_of(const std::string& service) const;

private:
  struct service_state {
    bool is_active = false;
    int updates = 0;
    zone_shares shares;
    std::map<std::string, double> service_ms; ///< smoothed, by zone
    std::map<std::string, zone_figures> figures;
  };

  static void estimate_service_times(service_state& state,
                                     const std::vector<wire::zone_load>& recent,
                                     const zone_capacities& capacities);
  std::map<std::string, zone_figures> figures_from(const service_state& state,
                                                   const std::vector<wire::zone_load>& recent,
                                                   const zone_capacities& capacities) const;
  zone_shares target_of(const std::map<std::string, zone_figures>& figures,
                        const zone_capacities& capacities) const;
  std::optional<change> step(const std::string& service, service_state& state,
                             const zone_shares& target, const zone_capacities& capacities) const;

  spillover_settings settings_;
  std::map<std::string, service_state> services_;
};

} // namespace zinnia
