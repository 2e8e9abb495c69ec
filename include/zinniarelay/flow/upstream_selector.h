#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/upstream_choice.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/warmup_tokens.h"
#include "zinniarelay/flow/zone_health.h"

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

  /// Records that a caller has an answer of an upstream.
  void record_answer(time_point now, const upstream_directory::entry& upstream);
  /// Records that a caller repeated an opening packet that an upstream did not answer.
  void record_timeout(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records contact with the zone of an upstream if its report arrived now.
  void record_report(time_point now, const upstream_directory& upstreams, std::uint64_t upstream);
  /// Records when an upstream of the zone last sent a report.
  void record_zone_contact(const std::string& zone, time_point contact);
  /// Records that an update of a control host arrived.
  void record_update(time_point now) {
    last_update_ = now;
    tokens_.advance(now);
  }

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
  };

  /// Adds upstreams of the list, at most max_compared of them from a random position on.
  void add_candidates(time_point now, const view& known, const std::vector<std::uint64_t>& list,
                      std::uint64_t excluded, std::vector<upstream_candidate>& out);
  upstream_candidate candidate_of(time_point now, const view& known,
                                  const upstream_directory::entry& upstream) const;
  bool is_suspect(time_point now, const upstream_directory::entry& upstream) const;
  /// Returns true when an opening packet for the upstream needs a token.
  bool needs_token(const view& known, const upstream_directory::entry& upstream) const;

  upstream_selector_settings settings_;
  random_engine engine_;
  std::unordered_map<std::uint64_t, health_observation> health_observations_;
  zone_health zone_health_;
  std::map<std::string, ready_upstreams> ready_upstreams_; ///< by service
  std::optional<time_point> last_update_;
  warmup_tokens tokens_;
  bool lacks_token_ = false;
  time_point certain_from_; ///< end of the uncertainty
  std::optional<time_point> last_demand_;
};

} // namespace zinnia
