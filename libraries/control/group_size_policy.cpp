#include "zinniarelay/control/group_size_policy.h"

#include <algorithm>
#include <functional>

namespace zinnia {
namespace {

// The latest membership in the log may still be replaced. An acknowledgement relies on the
// committed one.
raft_membership committed_membership(const raft_node& node) {
  return node.log().membership_at(node.commit_index());
}

std::size_t spare_voters(const std::vector<wire::control_member>& members,
                         const std::function<bool(const wire::control_member&)>& is_reachable) {
  std::size_t voters = 0;
  std::size_t reachable = 0;
  for (const auto& it : members) {
    if (it.learner()) continue;
    ++voters;
    if (is_reachable(it)) ++reachable;
  }
  const auto quorum = voters / 2 + 1;
  return reachable - std::min(reachable, quorum);
}

} // namespace

// Until joint consensus ends, the outgoing voters can still end the group.
std::size_t group_size_policy::voters(const raft_node& node) {
  const auto group = committed_membership(node);
  const auto incoming = group.voter_count();
  if (!group.is_joint()) return incoming;
  return std::min(incoming, raft_membership{group.outgoing, {}}.voter_count());
}

std::size_t group_size_policy::tolerated_losses(time_point now, const raft_node& node) const {
  const auto is_reachable = [&](const wire::control_member& it) {
    return node.time_since_contact(it.id(), now) <= settings_.voter_timeout;
  };
  const auto group = committed_membership(node);
  const auto incoming = spare_voters(group.members, is_reachable);
  return group.is_joint() ? std::min(incoming, spare_voters(group.outgoing, is_reachable))
                          : incoming;
}

std::optional<std::string> group_size_policy::tick(time_point now, const raft_node& node) {
  const auto count = voters(node);
  if (node.role() != raft_role::leader || count >= required_voters()) {
    wait_ = {};
    return std::nullopt;
  }
  if (wait_.term != node.term()) wait_ = {node.term(), now, false};
  if (wait_.has_ended || now - wait_.since < settings_.full_size_wait) return std::nullopt;
  wait_.has_ended = true;
  return "changes are acknowledged with " + std::to_string(count) + " of " +
         std::to_string(required_voters()) + " voters; the group tolerates " +
         std::to_string(tolerated_losses(now, node)) + " instead of " +
         std::to_string(settings_.tolerated_losses) + " losses";
}

bool group_size_policy::permits_acknowledgement(const raft_node& node) const {
  if (voters(node) >= required_voters()) return true;
  return node.role() == raft_role::leader && wait_.has_ended && wait_.term == node.term();
}

} // namespace zinnia
