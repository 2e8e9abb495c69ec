#include "zinniarelay/control/group_policy.h"

#include <algorithm>

namespace zinnia {
namespace {

using kind = member_change::kind;

// Returns true when a later member has the same address: the disk of the earlier member is
// lost.
bool is_superseded(const raft_membership& group, const wire::control_member& member) {
  bool is_after_member = false;
  for (const auto& it : group.members) {
    if (it.id() == member.id())
      is_after_member = true;
    else if (is_after_member && it.address() == member.address())
      return true;
  }
  return false;
}

std::size_t voters_in_zone(const raft_membership& group, std::uint32_t zone,
                           std::uint64_t excluded_id) {
  return static_cast<std::size_t>(
      std::count_if(group.members.begin(), group.members.end(), [&](const auto& it) {
        return !it.learner() && it.zone() == zone && it.id() != excluded_id;
      }));
}

// Returns the learners that can be promoted now. Learners in the zones with the fewest voters,
// not counting `excluded_id`, come first.
std::vector<wire::control_member> ready_learners(const raft_node& node, std::uint64_t excluded_id) {
  std::vector<wire::control_member> out;
  const auto& group = node.membership();
  for (const auto& it : group.members)
    if (it.learner() && !is_superseded(group, it) && node.is_promotable(it.id())) out.push_back(it);
  std::stable_sort(out.begin(), out.end(), [&](const auto& a, const auto& b) {
    return voters_in_zone(group, a.zone(), excluded_id) <
           voters_in_zone(group, b.zone(), excluded_id);
  });
  return out;
}

member_change change_of(kind action, const wire::control_member& member) {
  member_change out;
  out.action = action;
  out.member = member;
  return out;
}

} // namespace

void group_policy::record_join_request(time_point now, const wire::control_member& host) {
  join_requests_[host.id()] = {host, now};
}

std::optional<member_change> group_policy::next_change(time_point now, const raft_node& node) {
  if (node.role() != raft_role::leader || !node.is_membership_settled()) return std::nullopt;
  if (auto out = replacement(now, node)) return out;
  if (auto out = promotion(node)) return out;
  if (auto out = addition(now, node)) return out;
  return removal(now, node);
}

std::optional<member_change> group_policy::addition(time_point now, const raft_node& node) {
  for (auto it = join_requests_.begin(); it != join_requests_.end();) {
    const auto& [host, received_at] = it->second;
    const bool is_member = node.membership().find(it->first) != nullptr;
    if (is_member || now - received_at > settings_.join_request_lifetime) {
      it = join_requests_.erase(it);
      continue;
    }
    return change_of(kind::add_learner, host);
  }
  return std::nullopt;
}

// Promotes two learners at a time, because an even number of voters tolerates no more losses
// than one voter fewer.
std::optional<member_change> group_policy::promotion(const raft_node& node) const {
  const auto target = 2 * std::size_t{settings_.tolerated_losses} + 1;
  if (node.membership().voter_count() + 2 > target) return std::nullopt;
  const auto ready = ready_learners(node, 0);
  if (ready.size() < 2) return std::nullopt;
  auto out = change_of(kind::promote, ready[0]);
  out.additional_ids.push_back(ready[1].id());
  return out;
}

std::optional<member_change> group_policy::replacement(time_point now,
                                                       const raft_node& node) const {
  const auto& group = node.membership();
  for (const auto& it : group.members) {
    if (it.learner() || it.id() == node.id()) continue;
    const bool is_lost =
        is_superseded(group, it) || node.time_since_contact(it.id(), now) > settings_.voter_timeout;
    if (!is_lost) continue;
    const auto ready = ready_learners(node, it.id());
    if (ready.empty()) continue;
    auto out = change_of(kind::replace, ready.front());
    out.replaced_id = it.id();
    return out;
  }
  return std::nullopt;
}

std::optional<member_change> group_policy::removal(time_point now, const raft_node& node) const {
  const auto& group = node.membership();
  for (const auto& it : group.members) {
    if (!it.learner()) continue;
    if (is_superseded(group, it) ||
        node.time_since_contact(it.id(), now) > settings_.learner_timeout)
      return change_of(kind::remove, it);
  }
  return std::nullopt;
}

} // namespace zinnia
