#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/spillover_policy.h"
#include "zinniarelay/flow/upstream_choice.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/zone_delays.h"
#include "zinniarelay/flow/zone_health.h"

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
        spillover_({settings_.zone, settings_.cross_zone_price}) {}

  /// What the load of the upstreams is computed from.
  struct view {
    const upstream_directory& upstreams;
    const flow_table& flows;
  };

  /// Returns the upstream for a new flow; null when none is ready. The excluded upstream is
  /// chosen only if it is the only one.
  const upstream_directory::entry* select(time_point now, const view& known,
                                          const std::string& service, std::uint64_t excluded);

  /// Replaces the sums of load by zone that a control host has sent.
  void set_zone_loads(time_point now, std::vector<wire::zone_load> loads);
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
  /// Records that a caller repeated an opening packet that an upstream did not answer.
  void record_timeout(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records contact with the zone of an upstream if its report arrived now.
  void record_report(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records when an upstream of the zone last sent a report.
  void record_zone_contact(const std::string& zone, time_point contact);
  /// Records that an update of a control host arrived.
  void record_update(time_point now) { last_update_ = now; }

  /// Follows changes of the directory's content.
  void index_services(const upstream_directory& upstreams);
  /// Removes the observations of upstreams that the directory no longer contains.
  void remove_expired(const upstream_directory& upstreams);

private:
  /// Health of one upstream, as observed from the packets of callers.
  struct health_observation {
    time_point last_answer;     ///< when a caller last showed that it had an answer
    time_point last_timeout;    ///< when a caller last repeated an unanswered opening packet
    std::uint32_t timeouts = 0; ///< unanswered opening packets since the last answer
  };
  /// The ready upstreams of a service, by incarnation.
  struct ready_upstreams {
    std::vector<std::uint64_t> local; ///< in the zone of this host
    std::vector<std::uint64_t> remote;
    std::map<std::string, std::vector<std::uint64_t>> by_zone;
  };

  /// Adds upstreams of the list, at most max_compared of them from a random position on.
  void add_candidates(time_point now, const view& known, const std::vector<std::uint64_t>& list,
                      std::uint64_t excluded, std::vector<upstream_candidate>& out);
  upstream_candidate candidate_of(time_point now, const view& known,
                                  const upstream_directory::entry& upstream) const;
  bool is_suspect(time_point now, const upstream_directory::entry& upstream) const;
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
  spillover_policy spillover_;
  zone_delays zone_delays_;
  std::vector<wire::zone_load> zone_loads_;
  time_point zone_loads_arrival_;
  time_point next_spillover_update_;
  std::vector<spillover_policy::change> spillover_changes_;
};

} // namespace zinnia
