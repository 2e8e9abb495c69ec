#pragma once

#include "zinniarelay/control/group_policy.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/replication/raft_node.h"

#include <cstdint>
#include <optional>
#include <string>

namespace zinnia {

/// Decides whether a control host of a group that forms itself may acknowledge operators' changes:
/// while the group is smaller than its configuration requires, the loss of as many hosts as it has
/// to tolerate would end it (docs/design.md R48). Covers the first seconds of an installation and
/// groups with too few hosts.
class group_size_policy {
public:
  explicit group_size_policy(const group_settings& settings) : settings_(settings) {}

  /// Observes the group; called with each tick. Returns a warning when the wait for the full size
  /// ends without it.
  std::optional<std::string> tick(time_point now, const raft_node& node);

  /// Returns true when the committed group has its full size, or when this host is the leader and
  /// its wait for the full size has ended without it.
  bool permits_acknowledgement(const raft_node& node) const;

  /// Returns how many further voters the group can lose before it has no quorum; leader only.
  std::size_t tolerated_losses(time_point now, const raft_node& node) const;

  /// Returns the number of voters of the committed group, of the smaller set while it changes.
  static std::size_t voters(const raft_node& node);

private:
  std::size_t required_voters() const { return 2 * std::size_t{settings_.tolerated_losses} + 1; }

  group_settings settings_;
  struct {
    std::uint64_t term = 0; ///< of this leader
    time_point since;
    bool has_ended = false;
  } wait_;
};

} // namespace zinnia
