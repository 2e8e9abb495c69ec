#pragma once

#include "control.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/replication/raft_node.h"

#include <map>
#include <optional>
#include <vector>

namespace zinnia {

struct group_settings {
  /// Number of simultaneous host losses that the group survives. The group has twice as many
  /// voters plus one.
  std::uint32_t tolerated_losses = 1;
  /// A voter without contact for longer is replaced when a learner is ready.
  milliseconds voter_timeout{1'500};
  /// A learner without contact for longer is removed.
  milliseconds learner_timeout{30'000};
  /// A join request expires after this time.
  milliseconds join_request_lifetime{3'000};
  /// The leader of a group with fewer voters waits so long for the others before it acknowledges a
  /// change. Longer than a group takes to form whose processes are killed during their first start
  /// and started again 0.5 s later (up to 3.8 s in review/2).
  milliseconds full_size_wait{10'000};
};

/// Decides how a control group forms and repairs itself without an operator. Hosts that
/// request to join are added as learners. Learners are promoted until there are enough
/// voters, and replace lost voters. Changes are made one at a time (docs/design.md R26, R33).
class group_policy {
public:
  explicit group_policy(const group_settings& settings) : settings_(settings) {}

  /// Records the request of a host outside the group to join.
  void record_join_request(time_point now, const wire::control_member& host);

  /// Returns the next change that the leader should make, if any.
  std::optional<member_change> next_change(time_point now, const raft_node& node);

private:
  struct join_request {
    wire::control_member host;
    time_point received_at;
  };

  std::optional<member_change> removal(time_point now, const raft_node& node) const;
  std::optional<member_change> addition(time_point now, const raft_node& node);
  std::optional<member_change> promotion(const raft_node& node) const;
  std::optional<member_change> replacement(time_point now, const raft_node& node) const;

  group_settings settings_;
  std::map<std::uint64_t, join_request> join_requests_; ///< by host id
};

} // namespace zinnia
