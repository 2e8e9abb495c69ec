#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/upstream_choice.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/zone_health.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

struct upstream_selector_settings {
  std::string zone; ///< of this host
  /// An upstream is suspect when no report of it arrived for this long.
  milliseconds report_timeout{4'000};
  /// An upstream that did not answer opening packets is suspect for this long.
  milliseconds suspect_period{1'000};
  choice_settings choice;
};

/// Selects the upstream of a new flow by load, zone and health (docs/design.md R38). Health is
/// observed from the packets of callers and from the reports of upstreams.
class upstream_selector {
public:
  upstream_selector(upstream_selector_settings settings, random_engine engine)
      : settings_(std::move(settings)), engine_(engine) {}

  /// What the load of the upstreams is computed from.
  struct view {
    const upstream_directory& upstreams;
    const flow_table& flows;
  };

  /// Returns the upstream for a new flow; null when none is ready. The excluded upstream is
  /// chosen only if it is the only one.
  const upstream_directory::entry* select(time_point now, const view& known,
                                          const std::string& service, std::uint64_t excluded);

  /// Records that a caller has an answer of an upstream.
  void record_answer(time_point now, const upstream_directory::entry& upstream);
  /// Records that a caller repeated an opening packet that an upstream did not answer; `forwarded`
  /// is when the upstream was sent that packet.
  void record_timeout(time_point now, const upstream_directory& upstreams, std::uint64_t upstream,
                      time_point forwarded);
  /// Records contact with the zone of an upstream if its report arrived now.
  void record_report(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records when an upstream of the zone last sent a report.
  void record_zone_contact(const std::string& zone, time_point contact);
  /// Records that an update of a control host arrived.
  void record_update(time_point now) { last_update_ = now; }

  /// Uses the suspects in the combined view of all entry hosts; they replace the earlier ones.
  void set_suspects(time_point now, const upstream_directory& upstreams,
                    const wire::suspect_upstreams& suspects);
  /// Stores the sums of a reply. Those of earlier replies stay until they are 3 s old.
  void set_zone_loads(time_point now, std::vector<wire::zone_load> loads);
  /// A sum of the load reports of all entry hosts.
  struct stored_zone_load {
    wire::zone_load load;
    time_point measured; ///< when the oldest report of the sum was received
  };
  /// Returns the sums that are not older than 3 s.
  std::vector<stored_zone_load> zone_loads(time_point now) const;

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
  std::size_t shared_suspects() const { return shared_suspects_.size(); }

  /// Follows changes of the directory's content.
  void index_services(const upstream_directory& upstreams);
  /// Removes the observations of upstreams that the directory no longer contains.
  void remove_expired(const upstream_directory& upstreams);

private:
  /// An upstream that other hosts found to be unresponsive.
  struct shared_suspect {
    time_point observed;      ///< last observation
    time_point avoided_until; ///< no opening packet is sent to it before
    time_point probed_until;  ///< an opening packet may still be answered until then
  };
  /// The ready upstreams of a service, by incarnation.
  struct ready_upstreams {
    std::vector<std::uint64_t> local; ///< in the zone of this host
    std::vector<std::uint64_t> remote;
  };

  /// Adds upstreams of the list, at most max_compared of them from a random position on.
  void add_candidates(time_point now, const view& known, const std::vector<std::uint64_t>& list,
                      std::uint64_t excluded, std::vector<upstream_candidate>& out);
  upstream_candidate candidate_of(time_point now, const view& known,
                                  const upstream_directory::entry& upstream) const;
  bool is_suspect(time_point now, const upstream_directory::entry& upstream) const;
  bool is_shared_suspect(time_point now, std::uint64_t upstream) const;
  /// Records the selection of an upstream that returns gradually.
  void record_probe(time_point now, std::uint64_t upstream);
  /// Keeps the latest suspects of each service and zone, at most half of its upstreams.
  void limit_shared_suspects(const upstream_directory& upstreams);

  upstream_selector_settings settings_;
  random_engine engine_;
  std::unordered_map<std::uint64_t, health_observation> health_observations_;
  zone_health zone_health_;
  std::map<std::string, ready_upstreams> ready_upstreams_; ///< by service
  std::optional<time_point> last_update_;
  std::unordered_map<std::uint64_t, shared_suspect> shared_suspects_; ///< by incarnation
  /// By service, zone of the callers and zone of the upstreams.
  std::map<std::array<std::string, 3>, stored_zone_load> zone_loads_;
  time_point last_notable_event_;
};

} // namespace zinnia
