#pragma once

#include "control.pb.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace zinnia {

/// The members of the cluster. While voters change, the outgoing set is present too and
/// decisions need a majority of both sets (joint consensus).
struct raft_membership {
  std::vector<wire::control_member> members;
  std::vector<wire::control_member> outgoing;

  template <class Message>
  static raft_membership from_message(const Message& message) {
    return {{message.members().begin(), message.members().end()},
            {message.outgoing().begin(), message.outgoing().end()}};
  }

  template <class Message>
  void write_to(Message& message) const {
    message.mutable_members()->Assign(members.begin(), members.end());
    message.mutable_outgoing()->Assign(outgoing.begin(), outgoing.end());
  }

  bool is_joint() const { return !outgoing.empty(); }
  /// Returns null when neither set has the member.
  const wire::control_member* find(std::uint64_t id) const;
  /// Returns true for a voter of either set.
  bool is_voter(std::uint64_t id) const;
  /// Returns the members of both sets, each once.
  std::vector<wire::control_member> all_members() const;
  std::size_t voter_count() const;

  /// Returns true when a majority of the voters of each set satisfies the predicate;
  /// false without any voter.
  bool has_quorum(const std::function<bool(std::uint64_t id)>& predicate) const;

  /// Returns the highest value that a majority of the voters of each set has reached.
  std::uint64_t quorum_value(const std::function<std::uint64_t(std::uint64_t id)>& value) const;
};

/// Returns true when both sets have the same voters.
bool has_same_voters(const std::vector<wire::control_member>& a,
                     const std::vector<wire::control_member>& b);

} // namespace zinnia
