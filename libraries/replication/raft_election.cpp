#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <limits>
#include <random>

namespace zinnia {

// Elections and roles (docs/design.md R25).

time_point raft_node::random_deadline(microseconds min, microseconds max) {
  std::uniform_int_distribution<std::int64_t> distribution(min.count(), max.count());
  return now_ + microseconds(distribution(engine_));
}

void raft_node::schedule_election() {
  election_deadline_ = random_deadline(settings_.election_timeout, 2 * settings_.election_timeout);
}

// After a split vote there is no leader to wait for, so the retry uses a shorter timeout. With
// the full timeout, elections among two of three voters took up to 2.3 s.
void raft_node::schedule_election_retry() {
  election_deadline_ = random_deadline(settings_.election_timeout / 4, settings_.election_timeout);
}

bool raft_node::has_conflicting_identity() const {
  const auto* self = membership().find(id());
  return self != nullptr && self->identity() != 0 && self->identity() != identity_.identity();
}

// A data folder that neither founded nor joined the cluster has no members and must not
// vote. The same holds for a folder whose id belongs to another folder (R25).
bool raft_node::may_vote() const {
  const auto* self = membership().find(id());
  if (self == nullptr) return false;
  return self->identity() == 0 ? identity_.founder() : !has_conflicting_identity();
}

// A voter that an uncommitted entry removes may have the longest log. Then it is the only
// member that can be elected, and it has to lead until that entry is committed.
bool raft_node::may_campaign() const {
  if (membership().is_voter(id())) return may_vote();
  const auto index = log_.membership_index();
  return index > commit_index_ && log_.membership_at(index - 1).is_voter(id());
}

bool raft_node::is_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const {
  return last_term > log_.last_term() ||
         (last_term == log_.last_term() && last_index >= log_.last_index());
}

void raft_node::request_votes(bool is_pre_vote) {
  votes_ = {id()};
  for (const auto& member : membership().all_members()) {
    if (member.id() == id() || !membership().is_voter(member.id())) continue;
    auto& message = add_message(member.id());
    message.set_term(is_pre_vote ? term() + 1 : term());
    message.mutable_vote()->set_pre_vote(is_pre_vote);
    message.mutable_vote()->set_last_index(log_.last_index());
    message.mutable_vote()->set_last_term(log_.last_term());
  }
}

bool raft_node::has_won() const {
  return membership().has_quorum([this](std::uint64_t member) { return votes_.count(member) > 0; });
}

// A pre-vote does not change the term. A member that returns from a partition therefore
// does not depose a working leader.
void raft_node::start_pre_vote() {
  role_ = raft_role::pre_candidate;
  leader_ = 0;
  schedule_election_retry();
  request_votes(true);
  if (has_won()) start_election();
}

void raft_node::start_election() {
  role_ = raft_role::candidate;
  leader_ = 0;
  identity_.set_term(term() + 1);
  identity_.set_voted_for(id());
  persist_identity();
  election_started_ = now_;
  schedule_election_retry();
  request_votes(false);
  if (has_won()) become_leader();
}

void raft_node::handle(const wire::raft_message& message, const wire::vote_request& body) {
  bool is_granted = may_vote() && is_up_to_date(body.last_index(), body.last_term());
  if (body.pre_vote()) {
    is_granted = is_granted && message.term() > term();
  } else {
    is_granted = is_granted && message.term() == term() &&
                 (identity_.voted_for() == 0 || identity_.voted_for() == message.from());
    if (is_granted && identity_.voted_for() == 0) {
      identity_.set_voted_for(message.from());
      persist_identity();
    }
    if (is_granted) schedule_election();
  }
  auto& reply = add_message(message.from());
  // A granted pre-vote has the term of the request.
  if (body.pre_vote() && is_granted) reply.set_term(message.term());
  reply.mutable_voted()->set_pre_vote(body.pre_vote());
  reply.mutable_voted()->set_granted(is_granted);
}

void raft_node::handle(const wire::raft_message& message, const wire::vote_reply& body) {
  if (!body.granted()) return;
  const bool is_expected = body.pre_vote()
                               ? role_ == raft_role::pre_candidate && message.term() == term() + 1
                               : role_ == raft_role::candidate && message.term() == term();
  if (!is_expected) return;
  votes_.insert(message.from());
  if (!has_won()) return;
  if (body.pre_vote())
    start_election();
  else
    become_leader();
}

void raft_node::become_leader() {
  role_ = raft_role::leader;
  leader_ = id();
  leader_since_ = now_;
  progress_.clear();
  rounds_.clear();
  for (const auto& member : membership().all_members()) {
    auto& peer = progress_of(member.id());
    if (votes_.count(member.id()) > 0) peer.last_contact = election_started_;
  }
  // Entries of earlier terms are committed together with the first entry of this term. An
  // entry that counted as committed by its copies alone could still be replaced.
  append_as_leader({});
  term_start_index_ = log_.last_index();
  broadcast();
  advance_commit();
}

void raft_node::become_follower(std::uint64_t new_term, std::uint64_t leader) {
  if (new_term > term()) {
    identity_.set_term(new_term);
    identity_.set_voted_for(0);
    persist_identity();
  }
  if (role_ == raft_role::leader) {
    reported_quorum_contact_ = last_quorum_contact();
    progress_.clear();
    schedule_election();
  }
  role_ = raft_role::follower;
  leader_ = leader;
}

void raft_node::step_down_without_quorum() {
  if (now_ - last_quorum_contact() <= settings_.election_timeout) return;
  effects_.warnings.push_back("stepped down: no contact with a quorum");
  become_follower(term(), 0);
}

// Time of the last contact with members and with a quorum.

raft_node::progress& raft_node::progress_of(std::uint64_t member) {
  const auto [it, is_new] = progress_.try_emplace(member);
  if (is_new) it->second.next_index = log_.last_index() + 1;
  return it->second;
}

time_point raft_node::last_contact(std::uint64_t member) const {
  if (member == id()) return now_;
  const auto it = progress_.find(member);
  return it == progress_.end() ? time_point{} : it->second.last_contact;
}

bool raft_node::is_reachable(std::uint64_t member) const {
  return now_ - last_contact(member) <= settings_.election_timeout;
}

time_point raft_node::last_quorum_contact() const {
  const auto ticks = membership().quorum_value([this](std::uint64_t member) {
    return static_cast<std::uint64_t>(last_contact(member).time_since_epoch().count());
  });
  return time_point(microseconds(static_cast<std::int64_t>(ticks)));
}

milliseconds raft_node::quorum_age(time_point now) const {
  std::optional<time_point> contact = reported_quorum_contact_;
  if (role_ == raft_role::leader) {
    // A single voter is its own quorum, which is always in contact.
    const bool is_alone = membership().has_quorum([this](auto member) { return member == id(); });
    contact = is_alone ? now : last_quorum_contact();
  }
  if (!contact) return milliseconds::max();
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - *contact));
}

std::uint32_t raft_node::quorum_age_field() const {
  constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(highest, quorum_age(now_).count()));
}

bool raft_node::is_confirmed(std::uint64_t round) const {
  if (role_ != raft_role::leader) return false;
  return membership().has_quorum([&](std::uint64_t member) {
    if (member == id()) return true;
    const auto it = progress_.find(member);
    return it != progress_.end() && it->second.acknowledged_round >= round;
  });
}

milliseconds raft_node::time_since_contact(std::uint64_t member, time_point now) const {
  if (member == id()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now -
                                                  std::max(leader_since_, last_contact(member)));
}

bool raft_node::is_promotable(std::uint64_t member) const {
  return role_ == raft_role::leader && check_promotion(member).has_value();
}

// The contact counts from the time at which the acknowledged round was sent, because that is
// the latest time at which the member provably still followed this leader.
void raft_node::record_reply(std::uint64_t member, std::uint64_t round) {
  auto& acknowledged = progress_of(member).acknowledged_round;
  acknowledged = std::max(acknowledged, round);
  const auto it = std::find_if(rounds_.begin(), rounds_.end(),
                               [&](const auto& sent) { return sent.number == round; });
  if (it == rounds_.end()) return;
  auto& peer = progress_of(member);
  if (it->sent_at < peer.last_contact) return;
  peer.last_contact = it->sent_at;
  peer.committed = it->committed;
}

} // namespace zinnia
