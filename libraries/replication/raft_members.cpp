#include "zinniarelay/replication/raft_node.h"

#include <algorithm>

namespace zinnia {

// Membership changes (docs/design.md R26, R33).

bool raft_node::is_membership_settled() const {
  return !membership().is_joint() && log_.membership_index() <= commit_index_;
}

void raft_node::finish_membership_change() {
  if (log_.membership_index() > commit_index_) return;
  if (membership().is_joint()) {
    wire::log_entry entry;
    raft_membership{membership().members, {}}.write_to(entry);
    append_as_leader(std::move(entry));
    broadcast();
    advance_commit();
    return;
  }
  if (membership().is_voter(id())) return;
  // Sends the commit index to the other members before the removed leader steps down.
  broadcast();
  become_follower(term(), 0);
}

// Founders and learners become members before the identities of their data folders are
// known. The identity of the first folder that replies is recorded in the log; another
// folder with the same id is refused from then on. Zones of founders that are configured
// without a zone are recorded in the same way.
void raft_node::record_identities() {
  if (commit_index_ < term_start_index_ || !is_membership_settled()) return;
  auto next = membership();
  bool is_changed = false;
  for (auto& member : next.members) {
    const auto peer = progress_.find(member.id());
    const auto zone = member.id() == id()       ? identity_.zone()
                      : peer == progress_.end() ? 0
                                                : peer->second.zone;
    if (member.zone() == 0 && zone != 0) {
      member.set_zone(zone);
      is_changed = true;
    }
    if (member.identity() != 0) continue;
    const auto identity = member.id() == id()       ? identity_.identity()
                          : peer == progress_.end() ? 0
                                                    : peer->second.identity;
    if (identity == 0) continue;
    member.set_identity(identity);
    is_changed = true;
  }
  if (!is_changed) return;
  wire::log_entry entry;
  next.write_to(entry);
  append_as_leader(std::move(entry));
  broadcast();
  advance_commit();
}

std::uint64_t raft_node::match_index(std::uint64_t member) const {
  if (member == id()) return log_.last_index();
  const auto it = progress_.find(member);
  return it == progress_.end() ? 0 : it->second.match_index;
}

result<void> raft_node::check_promotion(std::uint64_t member) const {
  const auto place = "control host " + std::to_string(member);
  const auto* learner = membership().find(member);
  if (learner == nullptr || !learner->learner())
    return failure(error_kind::malformed, place, "is not a learner");
  if (!is_reachable(member)) return failure(error_kind::unavailable, place, "does not answer");
  // Entries that were committed while the learner's reply was in transit are not required.
  // Otherwise a learner could never catch up under a steady load of operations.
  // The learner must have the entry that records its data folder, because it does not vote
  // without that entry. After the loss of the leader, the joint membership could then
  // elect no leader.
  const auto needed = std::max(progress_.at(member).committed, log_.membership_index());
  if (learner->identity() == 0 || match_index(member) < needed)
    return failure(error_kind::unavailable, place,
                   "has synced " + std::to_string(match_index(member)) + " of " +
                       std::to_string(needed) + " committed entries");
  return success();
}

result<raft_membership> raft_node::plan(time_point now, const member_change& change) const {
  const std::string place = "change of members";
  if (role_ != raft_role::leader) return failure(error_kind::unavailable, place, "not the leader");
  if (commit_index_ < term_start_index_ || now - last_quorum_contact() > settings_.election_timeout)
    return failure(error_kind::unavailable, place, "the leader is not confirmed by a quorum");
  if (!is_membership_settled())
    return failure(error_kind::conflict, place, "another change is in progress");

  auto next = membership();
  auto& members = next.members;
  const auto find = [&](std::uint64_t id) {
    return std::find_if(members.begin(), members.end(),
                        [&](const auto& it) { return it.id() == id; });
  };
  auto ids = change.additional_ids;
  ids.insert(ids.begin(), change.member.id());
  switch (change.action) {
  case member_change::kind::add_learner: {
    if (change.member.id() == 0 || change.member.address().empty())
      return failure(error_kind::malformed, place, "a learner needs an id and an address");
    for (const auto& it : members)
      if (it.id() == change.member.id() ||
          (it.address() == change.member.address() && change.member.identity() == 0))
        return failure(error_kind::conflict, place, "id or address belongs to a member");
    auto learner = change.member;
    learner.set_learner(true);
    members.push_back(std::move(learner));
    break;
  }
  case member_change::kind::promote:
    for (const auto id : ids) {
      ZINNIA_TRY(check_promotion(id));
      find(id)->set_learner(false);
    }
    break;
  case member_change::kind::remove:
    for (const auto id : ids) {
      const auto it = find(id);
      if (it == members.end())
        return failure(error_kind::malformed, place, std::to_string(id) + " is not a member");
      members.erase(it);
    }
    break;
  case member_change::kind::replace: {
    ZINNIA_TRY(check_promotion(change.member.id()));
    const auto it = find(change.replaced_id);
    if (it == members.end() || it->learner())
      return failure(error_kind::malformed, place,
                     std::to_string(change.replaced_id) + " is not a voter");
    members.erase(it);
    find(change.member.id())->set_learner(false);
    break;
  }
  }
  if (next.voter_count() % 2 == 0)
    return failure(error_kind::malformed, place,
                   "would leave " + std::to_string(next.voter_count()) +
                       " voters; the number of voters must be odd");
  const bool is_quorum_reachable = next.has_quorum([&](std::uint64_t id) {
    return id == this->id() || now - last_contact(id) <= settings_.election_timeout;
  });
  if (!is_quorum_reachable)
    return failure(error_kind::unavailable, place, "would lose the quorum: too few voters answer");
  return next;
}

} // namespace zinnia
