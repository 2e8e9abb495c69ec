#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/evacuated_zones.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/shared_suspects.h"
#include "zinniarelay/flow/spillover_policy.h"
#include "zinniarelay/flow/upstream_choice.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/warmup_tokens.h"
#include "zinniarelay/flow/zone_delays.h"
#include "zinniarelay/flow/zone_health.h"
#include "zinniarelay/flow/zone_loads.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnia {

/// Whether sums over all entry hosts decide on flows to other zones.
enum class zone_spillover { off, adaptive };

struct upstream_selector_settings {
  std::string zone; ///< of this host
  /// An upstream is suspect when no report of it arrived for this long.
  milliseconds report_timeout{4'000};
  /// An upstream that did not answer opening packets is suspect for this long.
  milliseconds suspect_period{1'000};
  choice_settings choice;
  zone_spillover spillover = zone_spillover::off;
  /// Waiting time that one flow to another zone is worth.
  milliseconds cross_zone_price{0};
};

/// Selects the upstream of a new flow by load, zone and health (docs/design.md R38). Health is
/// observed from the packets of callers and from the reports of upstreams.
class upstream_selector {
public:
  upstream_selector(upstream_selector_settings settings, random_engine engine)
      : settings_(std::move(settings)), engine_(engine),
        spillover_({settings_.zone, settings_.cross_zone_price}),
        shared_suspects_(settings_.suspect_period, engine) {}

  /// What the load of the upstreams is computed from.
  struct view {
    const upstream_directory& upstreams;
    const flow_table& flows;
  };

  /// Returns the upstream for a new flow; null when none is ready, or when all that are lack a
  /// token (lacks_token()). The excluded upstream is chosen only if it is the only one.
  const upstream_directory::entry* select(time_point now, const view& known,
                                          const std::string& service, std::uint64_t excluded);

  /// Returns true when the last call of select() found upstreams without a token.
  bool lacks_token() const { return lacks_token_; }
  /// Takes the token that a copy of an opening packet needs for its upstream. Returns false when
  /// there is none.
  bool permit_copy(time_point now, const view& known, const upstream_directory::entry& upstream);
  /// Returns true when a control host may send a token in time.
  bool may_get_token(time_point now) const;
  /// Records that an opening packet for a service with a warm-up limit arrived.
  void record_demand(time_point now) { last_demand_ = now; }
  bool has_demand(time_point now) const;
  /// Records that upstreams may have restarted unnoticed; until end_uncertainty(), those of
  /// services with a limit need a token.
  void begin_uncertainty() { certain_from_ = time_point::max(); }
  void end_uncertainty(time_point from) { certain_from_ = std::min(certain_from_, from); }
  warmup_tokens& tokens() { return tokens_; }
  const warmup_tokens& tokens() const { return tokens_; }

  /// Moves the shares of spillover by the latest sums, at most every 500 ms.
  void update_spillover(time_point now, const view& known);
  const spillover_policy& spillover() const { return spillover_; }
  const std::string& zone() const { return settings_.zone; }
  /// Removes and returns the starts and ends of spillover since the last call.
  std::vector<spillover_policy::change> take_spillover_changes() {
    return std::exchange(spillover_changes_, {});
  }

  /// Records that a caller has an answer of an upstream, this long after the opening packet.
  void record_answer(time_point now, const upstream_directory::entry& upstream,
                     microseconds answered_after);
  /// Records that a caller repeated an opening packet that an upstream did not answer; `forwarded`
  /// is when the upstream was sent that packet.
  void record_timeout(time_point now, const upstream_directory& upstreams, std::uint64_t upstream,
                      time_point forwarded);
  /// Records contact with the zone of an upstream if its report arrived now.
  void record_report(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records when an upstream of the zone last sent a report.
  void record_zone_contact(const std::string& zone, time_point contact);
  /// Records that an update of a control host arrived.
  void record_update(time_point now) {
    last_update_ = now;
    tokens_.advance(now);
  }

  /// Follows changes of the directory's content and of the evacuations.
  void index_services(const upstream_directory& upstreams, const evacuated_zones& evacuations);
  /// Returns the number of selections for which upstreams of evacuated zones were left out.
  std::uint64_t kept_away() const { return kept_away_; }
  /// Uses the suspects in the combined view of all entry hosts; they replace the earlier ones.
  void set_suspects(time_point now, const upstream_directory& upstreams,
                    const wire::suspect_upstreams& suspects);
  /// Stores the sums of a reply. Those of earlier replies stay until they are 3 s old.
  void set_zone_loads(time_point now, std::vector<wire::zone_load> loads) {
    zone_loads_.merge(now, std::move(loads));
  }
  /// Returns the sums that are not older than 3 s, with their present ages.
  std::vector<wire::zone_load> current_zone_loads(time_point now) const {
    return zone_loads_.current(now);
  }

  /// Health of one upstream, as observed from the packets of callers.
  struct health_observation {
    time_point last_answer;     ///< when a caller last showed that it had an answer
    time_point last_timeout;    ///< when a caller last repeated an unanswered opening packet
    time_point last_forwarded;  ///< when the upstream was sent that packet
    std::uint32_t timeouts = 0; ///< unanswered opening packets since the last answer
  };
  const std::unordered_map<std::uint64_t, health_observation>& health_observations() const {
    return health_observations_;
  }
  /// Returns when an event last occurred that other hosts should learn of at once: an opening
  /// packet stayed unanswered, or a suspect of the others answered.
  time_point last_notable_event() const { return last_notable_event_; }
  /// Returns the number of upstreams that count as suspect because of other hosts, including those
  /// that return gradually.
  std::size_t shared_suspect_count() const { return shared_suspects_.size(); }

  /// Removes the observations of upstreams that the directory no longer contains.
  void remove_expired(const upstream_directory& upstreams);

private:
  /// The ready upstreams of a service, by incarnation.
  struct ready_upstreams {
    std::vector<std::uint64_t> local; ///< in the zone of this host
    std::vector<std::uint64_t> remote;
    bool has_evacuated = false; ///< others are in evacuated zones
    std::map<std::string, std::vector<std::uint64_t>> by_zone;
  };

  /// Returns the upstreams to compare for a new flow.
  std::vector<upstream_candidate> candidates_for(time_point now, const view& known,
                                                 const std::string& service,
                                                 const ready_upstreams& listed,
                                                 std::uint64_t excluded);
  /// Adds upstreams of the list, at most max_compared of them from a random position on.
  void add_candidates(time_point now, const view& known, const std::vector<std::uint64_t>& list,
                      std::uint64_t excluded, std::vector<upstream_candidate>& out);
  upstream_candidate candidate_of(time_point now, const view& known,
                                  const upstream_directory::entry& upstream) const;
  bool is_suspect(time_point now, const upstream_directory::entry& upstream) const;
  /// Returns true when an opening packet for the upstream needs a token.
  bool needs_token(const view& known, const upstream_directory::entry& upstream) const;
  /// Returns true when the reports of the upstream have stopped arriving.
  bool is_overdue(time_point now, const upstream_directory::entry& upstream) const;
  /// Returns true when new flows may go to upstreams of a zone.
  bool may_take_flows(time_point now, const std::string& zone) const;
  /// Returns the upstreams of the zone that the policy selects; null when the policy has no say.
  const std::vector<std::uint64_t>* zone_by_policy(time_point now, const std::string& service,
                                                   const ready_upstreams& listed);
  spillover_policy::zone_capacities capacities_of(time_point now, const view& known,
                                                  const ready_upstreams& listed) const;

  upstream_selector_settings settings_;
  random_engine engine_;
  std::unordered_map<std::uint64_t, health_observation> health_observations_;
  zone_health zone_health_;
  std::map<std::string, ready_upstreams> ready_upstreams_; ///< by service
  std::optional<time_point> last_update_;
  std::uint64_t kept_away_ = 0;
  warmup_tokens tokens_;
  bool lacks_token_ = false;
  time_point certain_from_; ///< end of the uncertainty
  std::optional<time_point> last_demand_;
  spillover_policy spillover_;
  zone_delays zone_delays_;
  time_point next_spillover_update_;
  std::vector<spillover_policy::change> spillover_changes_;
  shared_suspects shared_suspects_;
  zone_loads zone_loads_;
  time_point last_notable_event_;
};

} // namespace zinnia
