#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_directory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace zinnia {

/// The upstreams that leave opening packets of other entry hosts unanswered (docs/design.md R47).
/// Answers the load pattern in which an upstream fails and each of many entry hosts would send it
/// several callers before it notices. A wrong view of the other hosts never takes more than half of
/// the upstreams of a service and zone away, and none for longer than its suspect period and the
/// gradual return after it.
class shared_suspects {
public:
  /// Returns when this host last saw an answer of an upstream.
  using last_answer_of = std::function<time_point(std::uint64_t incarnation)>;

  /// An upstream is avoided for `suspect_period` after the last observation.
  shared_suspects(milliseconds suspect_period, random_engine engine)
      : suspect_period_(suspect_period), engine_(engine) {}

  /// Replaces the suspects by the list of a control host. Returns the time of the latest own answer
  /// of a listed upstream, of which the other hosts should learn; the epoch when there is none.
  time_point set(time_point now, const upstream_directory& upstreams,
                 const wire::suspect_upstreams& list, const last_answer_of& last_answer);
  /// Returns true while no opening packet should be sent to the upstream.
  bool is_suspect(time_point now, std::uint64_t upstream) const;
  /// Records that an opening packet is sent to an upstream, which may be one that returns.
  void record_opening(time_point now, std::uint64_t upstream);
  /// Records an answer of an upstream. Returns true when it was a suspect.
  bool record_answer(std::uint64_t upstream) { return suspects_.erase(upstream) > 0; }
  /// Keeps the latest suspects of each service and zone, at most half of its ready upstreams.
  void limit(const upstream_directory& upstreams);
  /// Removes the suspects that the directory no longer contains.
  void remove_expired(const upstream_directory& upstreams);

  /// Returns the number of suspects, including those that return gradually.
  std::size_t size() const { return suspects_.size(); }

private:
  struct suspect {
    time_point observed;      ///< last observation
    time_point avoided_until; ///< no opening packet is sent to it before
    time_point probed_until;  ///< an opening packet may still be answered until then
  };

  milliseconds suspect_period_;
  random_engine engine_;
  std::unordered_map<std::uint64_t, suspect> suspects_; ///< by incarnation
};

} // namespace zinnia
