#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/membership/member.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>

namespace zinnia {

struct router_settings {
  /// One-way delay to another zone when none was set.
  microseconds zone_delay{5000};
  /// Assumed until a summary carries a measured one.
  microseconds service_time{20'000};
  /// Time constant with which own decisions are forgotten.
  milliseconds decision_memory{300};
  /// Share of a flow's packets that reach the chooser's zone because it is near. The fabric
  /// sprays packets over all hosts, so another zone costs no additional trip.
  double locality = 0;
  /// Advantage, in requests per slot, that another zone must have before flows go there.
  double spill_margin = 0.02;
  /// Part of a host's reported queue that one chooser makes up for by sending less.
  double queue_share = 0.25;
  /// One-way trips during which a slot borrowed from another zone is idle or its grant is
  /// under way.
  double trips_per_loan = 4;
};

/// Chooses the executing host of a new flow from load summaries (docs/design.md R22).
class host_router {
public:
  host_router(host_id self, zone_id zone, router_settings settings, std::uint64_t seed);

  /// Takes the state of a host, this one included, from a member_changed effect.
  void on_member(time_point now, const member& value);
  void on_forgotten(host_id id);

  /// One-way delay to another zone.
  void set_zone_delay(zone_id zone, microseconds delay);

  /// Empty when no live host has an upstream of the service.
  std::optional<host_id> choose(time_point now, service_id service, std::uint64_t key);

  /// The host to ask for a slot (R24), other than those asked already: one of this zone, or,
  /// when the own queue costs more than the trips, one of another zone.
  std::optional<host_id> choose_lender(time_point now, service_id service,
                                       std::span<const host_id> asked = {});

private:
  struct candidate {
    host_id id;
    zone_id zone;
    std::uint32_t slots = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t queued = 0;
    microseconds service_time{0};
    bool is_draining = false;
    bool is_fabric_silent = false;
    double decisions = 0; ///< flows sent there, older ones count less
  };
  struct service_hosts {
    std::vector<candidate> hosts; ///< ordered by id
    bool is_spilling = false;
    time_point aged;
  };

  void remove(host_id id);
  void age_decisions(time_point now, service_hosts& hosts) const;
  microseconds delay_to(zone_id zone) const;
  double load_of(const candidate& it) const;
  double trip_cost(const candidate& it) const;
  bool is_loan_worth_trips(const candidate& own) const;
  candidate* two_choices(std::vector<candidate*>& from);
  candidate* weighted_pick(const std::vector<candidate*>& from);

  host_id self_;
  zone_id zone_;
  router_settings settings_;
  random_engine engine_;
  std::map<service_id, service_hosts> services_;
  std::unordered_map<host_id, std::pair<incarnation_id, std::uint64_t>> seen_;
  std::unordered_map<zone_id, microseconds> delays_;
};

} // namespace zinnia
