#pragma once

#include "control.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/replication/raft_node.h"

#include <map>
#include <optional>
#include <vector>

namespace zinnia {

struct group_settings {
  /// Losses at the same time that the group survives; it has twice as many voters and one.
  std::uint32_t tolerated_losses = 1;
  /// A voter that is silent for this long is replaced when a learner is ready.
  milliseconds voter_silence{1'500};
  /// A learner that is silent for this long is removed.
  milliseconds learner_silence{30'000};
  /// A host that last asked to join longer ago is not added.
  milliseconds join_lifetime{3'000};
};

/// Decides how a control group forms and repairs itself without an operator: hosts
/// that ask are added as learners, learners fill up the voters and replace lost
/// ones, one change at a time (docs/design.md R26, R33).
class group_policy {
public:
  explicit group_policy(const group_settings& settings) : settings_(settings) {}

  /// A host outside the group asks to be taken in.
  void note_join(time_point now, const wire::control_member& host);

  /// The next change that the leader should make, if any.
  std::optional<member_change> next_change(time_point now, const raft_node& node);

private:
  struct joiner {
    wire::control_member host;
    time_point asked;
  };

  std::optional<member_change> removal(time_point now, const raft_node& node) const;
  std::optional<member_change> addition(time_point now, const raft_node& node);
  std::optional<member_change> promotion(const raft_node& node) const;
  std::optional<member_change> replacement(time_point now, const raft_node& node) const;

  group_settings settings_;
  std::map<std::uint64_t, joiner> joiners_;
};

} // namespace zinnia
