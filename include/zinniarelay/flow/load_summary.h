#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/load_report.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zinnia {

/// The load reports of all entry hosts on a control host, and their combined view of the upstreams
/// (docs/design/load-reports.md). Answers the failure in which an upstream stops answering and each
/// of many entry hosts would find it out with flows of its own callers. Not thread-safe.
class load_summary {
public:
  /// What became of a report; each value has a counter.
  enum class outcome {
    accepted,
    malformed,      ///< a field is missing or too long, or there are too many entries
    other_format,   ///< of another release
    unknown_sender, ///< the sender has sent no presence notice
    replayed,       ///< not newer than the last report of its process, or of an earlier process
    implausible,    ///< a figure that no entry host can have
    too_many_hosts,
    outdated, ///< waited in the socket while this process was suspended
  };
  static constexpr std::size_t outcome_count = 8;
  enum class sender { present, unknown };

  /// Records a report that arrived now.
  outcome record(time_point now, const endpoint& from, sender presence,
                 const wire::flow_load& report);

  /// Returns the upstreams that are suspect now, those with the latest observations first.
  wire::suspect_upstreams suspects(time_point now) const;
  /// Returns the upstreams that have become suspect since the last call, at most 1,000.
  std::vector<std::uint64_t> take_new_suspects() { return std::exchange(new_suspects_, {}); }
  /// Returns all sums of the reports of the last 3 s, those with the most flows first.
  std::vector<wire::zone_load> loads(time_point now) const;

  /// Returns true when the receiver lacks a suspect and its reply may contain the list now.
  bool has_new_suspects(time_point now, const wire::news_request& receiver) const;
  /// Adds suspects and sums to the reply to an entry host, as far as its rate permits.
  void add_to(time_point now, const wire::news_request& receiver, wire::news_reply& reply);

  /// Removes what has expired.
  void tick(time_point now);

  std::uint64_t count_of(outcome value) const {
    return counts_.at(static_cast<std::size_t>(value));
  }
  std::uint64_t received_bytes() const { return received_bytes_; }
  std::uint64_t reply_bytes() const { return reply_bytes_; }
  std::size_t hosts() const { return hosts_.size(); }

private:
  struct reported_host {
    std::uint64_t process = 0;
    std::uint64_t previous_process = 0;
    std::uint64_t sequence = 0;
    time_point received;
    time_point flows_received; ///< with the last complete report
    std::string zone;
    std::vector<wire::zone_flows> flows;
  };
  /// An unanswered opening packet of an entry host.
  struct unanswered_opening {
    endpoint host;
    std::uint32_t count = 0; ///< at this host since its last answer
    time_point forwarded;
    time_point found;
  };
  struct upstream_view {
    std::optional<time_point> last_answer;      ///< at any host
    std::vector<unanswered_opening> unanswered; ///< forwarded after the last answer, one a host
    /// The two hosts with the latest events.
    endpoint last_observer;
    endpoint other_observer;
    time_point last_event;
    time_point other_event; ///< of other_observer
    bool is_suspect = false;

    std::optional<time_point> suspect_since(time_point now) const;
  };
  /// What an entry host was sent.
  struct receiver_state {
    double permitted_bytes = 0; ///< of lists of suspects
    time_point refilled;
    time_point last_loads;
    std::size_t next_load = 0; ///< position in the sums
  };

  outcome check(time_point now, const endpoint& from, sender presence,
                const wire::flow_load& report) const;
  void merge(time_point now, const endpoint& from, const wire::upstream_observation& seen);
  static double permitted_bytes(time_point now, const receiver_state& to);
  void add_loads(time_point now, receiver_state& to, wire::news_reply& reply);
  const std::vector<wire::zone_load>& ranked_loads(time_point now);
  const wire::suspect_upstreams& listed_suspects(time_point now);

  std::map<endpoint, reported_host> hosts_;
  std::unordered_map<std::uint64_t, upstream_view> upstreams_; ///< by incarnation
  std::unordered_map<std::string, receiver_state> receivers_;  ///< by name
  std::uint64_t position_ = 0;                                 ///< grows with each new suspect
  std::vector<std::uint64_t> new_suspects_;
  wire::suspect_upstreams listed_; ///< in the last replies
  std::optional<time_point> listed_at_;
  std::vector<wire::zone_load> ranked_;
  std::optional<time_point> ranked_at_;
  std::optional<time_point> last_tick_;
  time_point next_expiry_;
  std::array<std::uint64_t, outcome_count> counts_{};
  std::uint64_t received_bytes_ = 0;
  std::uint64_t reply_bytes_ = 0;
};

/// Returns the outcome as used in metrics, for instance "replayed".
const char* name_of(load_summary::outcome value);

} // namespace zinnia
