#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/membership/member.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>

namespace zinnia {

struct router_settings {
  /// Default one-way delay to another zone.
  microseconds zone_delay{5000};
  /// Default mean service time until a load summary contains a measured one.
  microseconds service_time{20'000};
  /// Time constant of the exponential decay of this host's decision counts.
  milliseconds decision_decay_time{300};
  /// Weight of the delay to another zone: the fraction of a flow's packets that arrive in the
  /// zone of this host. It is 0 because the fabric distributes packets over all hosts, so
  /// choosing another zone adds no delay.
  double locality = 0;
  /// Load advantage, in requests per slot, that another zone must have before it gets new flows.
  double spill_margin = 0.02;
  /// Fraction of a host's reported queue that one router compensates for by sending fewer flows.
  double queue_share = 0.25;
  /// Number of one-way delays during which a slot borrowed from another zone is idle, including
  /// the delivery of its grant.
  double delays_per_loan = 4;
};

/// Chooses the executing host of a new flow from load summaries (docs/design.md R22).
class host_router {
public:
  host_router(host_id self, zone_id zone, router_settings settings, std::uint64_t seed);

  /// Applies the state of a host, this host included, from a member_changed effect.
  void on_member(time_point now, const member& value);
  void on_member_removed(host_id id);

  /// Sets the one-way delay to another zone.
  void set_zone_delay(zone_id zone, microseconds delay);

  /// Returns the executing host for a new flow. Empty when no live host has an upstream of the
  /// service.
  std::optional<host_id> choose(time_point now, service_id service, std::uint64_t key);

  /// Returns the host to request a slot from (R24), except hosts that were already requested. It
  /// is a host of this zone or, when waiting in the local queue costs more than the delay, a host
  /// of another zone.
  std::optional<host_id> choose_lender(time_point now, service_id service,
                                       std::span<const host_id> requested = {});

private:
  struct candidate {
    host_id id;
    zone_id zone;
    std::uint32_t slots = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t queued = 0;
    microseconds service_time{0};
    bool is_draining = false;
    bool is_without_fabric_packets = false;
    double decisions = 0; ///< flows sent to the host, with exponential decay
  };
  struct service_hosts {
    std::vector<candidate> hosts; ///< ordered by id
    bool is_spilling = false;
    time_point decayed_at;
  };

  void remove(host_id id);
  void decay_decisions(time_point now, service_hosts& hosts) const;
  microseconds delay_to(zone_id zone) const;
  double load_of(const candidate& host) const;
  double delay_cost(const candidate& host) const;
  bool is_remote_loan_worthwhile(const candidate& local) const;
  candidate* pick_less_loaded_of_two(std::vector<candidate*>& candidates);
  candidate* pick_weighted(const std::vector<candidate*>& candidates);

  host_id self_;
  zone_id zone_;
  router_settings settings_;
  random_engine engine_;
  std::map<service_id, service_hosts> services_;
  std::unordered_map<host_id, std::pair<incarnation_id, std::uint64_t>>
      versions_; ///< incarnation and load sequence of the last applied state
  std::unordered_map<zone_id, microseconds> delays_;
};

} // namespace zinnia
