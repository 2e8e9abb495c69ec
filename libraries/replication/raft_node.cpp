#include "zinniarelay/replication/raft_node.h"

#include <algorithm>
#include <array>
#include <glog/logging.h>
#include <limits>
#include <xxhash.h>

namespace zinnia {

const char* name_of(raft_role role) {
  constexpr std::array names{"follower", "pre_candidate", "candidate", "leader"};
  return names.at(static_cast<std::size_t>(role));
}

raft_node::raft_node(const raft_settings& settings, stored_state state, random_engine engine,
                     time_point now)
    : settings_(settings), engine_(engine), identity_(std::move(state.identity).value()),
      log_(state.snapshot, std::move(state.entries)), commit_index_(log_.snapshot_index()),
      now_(now) {
  election_deadline_ = draw_time(settings_.first_election, 3 * settings_.first_election);
}

raft_effects raft_node::step(time_point now, raft_event event) {
  now_ = std::max(now_, now);
  effects_ = {};
  // A process that was frozen learns here, before it acts on anything else, that
  // its contact to the quorum is too old.
  if (role_ == raft_role::leader) step_down_without_quorum();
  std::visit([this](const auto& it) { on(it); }, event);
  return std::move(effects_);
}

void raft_node::on(const raft_tick& /*event*/) {
  if (role_ == raft_role::leader) {
    record_identities();
    if (now_ >= next_heartbeat_) broadcast();
    return;
  }
  if (now_ < election_deadline_) return;
  if (may_campaign())
    start_pre_vote();
  else
    schedule_election();
}

void raft_node::on(const raft_proposal& event) {
  if (role_ != raft_role::leader) {
    effects_.refusal = "not the leader";
    return;
  }
  if (log_.last_index() - commit_index_ >= settings_.max_uncommitted_entries) {
    effects_.refusal = "too many operations wait for a quorum";
    return;
  }
  wire::log_entry entry;
  entry.set_command(event.command);
  append_own(std::move(entry));
  effects_.proposed_index = log_.last_index();
  broadcast();
  advance_commit();
}

void raft_node::on(const raft_member_proposal& event) {
  if (role_ != raft_role::leader || !is_membership_settled()) {
    effects_.refusal = "not the leader, or another change of members is in progress";
    return;
  }
  wire::log_entry entry;
  entry.set_command(event.command);
  auto next = event.next;
  if (!has_same_voters(next.members, membership().members)) next.outgoing = membership().members;
  next.write_to(entry);
  append_own(std::move(entry));
  effects_.proposed_index = log_.last_index();
  broadcast();
  advance_commit();
}

void raft_node::on(const raft_compaction& event) {
  if (commit_index_ <= log_.snapshot_index()) return;
  auto snapshot = std::make_shared<wire::stored_snapshot>();
  snapshot->set_last_index(commit_index_);
  snapshot->set_last_term(log_.term_at(commit_index_).value());
  log_.membership_at(commit_index_).write_to(*snapshot);
  snapshot->set_state(event.state);
  log_.compact(snapshot, settings_.retained_entries);
  effects_.snapshot = std::move(snapshot);
  effects_.retained = log_.all_entries();
}

// Before the first entry of its own term is committed, a leader does not know what
// its predecessors committed.
void raft_node::on(const raft_read& /*event*/) {
  if (role_ != raft_role::leader || commit_index_ < own_term_index_) {
    effects_.refusal = "not the leader, or not yet confirmed as the leader";
    return;
  }
  broadcast();
  effects_.read_round = round_;
}

bool raft_node::is_acceptable(const wire::raft_message& message) {
  const auto refuse = [&](const std::string& cause) {
    effects_.complaints.push_back("message of control host " + std::to_string(message.from()) +
                                  " ignored: " + cause);
    return false;
  };
  if (message.cluster() != identity_.cluster()) return refuse("it is of another cluster");
  if (message.to() != id() || message.from() == id() || message.from() == 0)
    return refuse("it is for control host " + std::to_string(message.to()));
  const auto* known = membership().find(message.from());
  if (known != nullptr && known->identity() != 0 && known->identity() != message.from_identity())
    return refuse("its data folder is not the one that this member joined with");
  // Until a founder's folder is recorded, an emptied one must not pass for it.
  if (known != nullptr && known->identity() == 0 && !known->learner() && !message.from_founder())
    return refuse("its data folder is new, but the member is a voter; replace it");
  return true;
}

void raft_node::on(const raft_received& event) {
  const auto& message = event.message;
  if (!is_acceptable(message)) return;
  // A request for a pre-vote names the term of an election that may never start.
  const bool is_pre_vote =
      (message.has_vote() && message.vote().pre_vote()) ||
      (message.has_voted() && message.voted().pre_vote() && message.voted().granted());
  // A member that hears from a live leader does not help to replace it, so that a
  // removed member or one with a broken link does not disturb the others.
  if (message.has_vote()) {
    const bool has_leader =
        role_ == raft_role::leader ||
        (leader_ != 0 && leader_contact_ && now_ - *leader_contact_ < settings_.election_timeout);
    if (has_leader && message.term() > term()) return;
  }
  if (!is_pre_vote && message.term() > term()) {
    const bool is_from_leader = message.has_append() || message.has_snapshot();
    become_follower(message.term(), is_from_leader ? message.from() : 0);
  }
  switch (message.body_case()) {
  case wire::raft_message::kVote:
    return take(message, message.vote());
  case wire::raft_message::kVoted:
    return take(message, message.voted());
  case wire::raft_message::kAppend:
    return take(message, message.append());
  case wire::raft_message::kAppended:
    return take(message, message.appended());
  case wire::raft_message::kSnapshot:
    return take(message, message.snapshot());
  case wire::raft_message::kInstalled:
    return take(message, message.installed());
  case wire::raft_message::BODY_NOT_SET:
    effects_.complaints.push_back("message without a body ignored");
  }
}

// Elections.

time_point raft_node::draw_time(microseconds shortest, microseconds longest) {
  std::uniform_int_distribution<std::int64_t> draw(shortest.count(), longest.count());
  return now_ + microseconds(draw(engine_));
}

void raft_node::schedule_election() {
  election_deadline_ = draw_time(settings_.election_timeout, 2 * settings_.election_timeout);
}

// When two candidates collide, nobody waits for a leader any more; with the full
// timeout again, 200 measured elections among two of three voters took up to 2.3 s.
void raft_node::schedule_retry() {
  election_deadline_ = draw_time(settings_.election_timeout / 4, settings_.election_timeout);
}

bool raft_node::is_foreign() const {
  const auto* self = membership().find(id());
  return self != nullptr && self->identity() != 0 && self->identity() != identity_.identity();
}

// A data folder that was never founded or joined has no members and no vote, and
// neither has one that took over the id of another folder (R25).
bool raft_node::may_vote() const {
  const auto* self = membership().find(id());
  if (self == nullptr) return false;
  return self->identity() == 0 ? identity_.founder() : !is_foreign();
}

// A voter that an uncommitted entry removes may hold the longest log, and then
// only it can lead until that entry is committed.
bool raft_node::may_campaign() const {
  if (membership().is_voter(id())) return may_vote();
  const auto index = log_.membership_index();
  return index > commit_index_ && log_.membership_at(index - 1).is_voter(id());
}

bool raft_node::is_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const {
  return last_term > log_.last_term() ||
         (last_term == log_.last_term() && last_index >= log_.last_index());
}

void raft_node::ask_for_votes(bool is_pre_vote) {
  votes_ = {id()};
  for (const auto& member : membership().everyone()) {
    if (member.id() == id() || !membership().is_voter(member.id())) continue;
    auto& message = send(member.id());
    message.set_term(is_pre_vote ? term() + 1 : term());
    message.mutable_vote()->set_pre_vote(is_pre_vote);
    message.mutable_vote()->set_last_index(log_.last_index());
    message.mutable_vote()->set_last_term(log_.last_term());
  }
}

bool raft_node::has_won() const {
  return membership().has_quorum([this](std::uint64_t member) { return votes_.count(member) > 0; });
}

// A pre-vote changes no term, so that a member that returns from a partition does
// not unseat a working leader.
void raft_node::start_pre_vote() {
  role_ = raft_role::pre_candidate;
  leader_ = 0;
  schedule_retry();
  ask_for_votes(true);
  if (has_won()) start_election();
}

void raft_node::start_election() {
  role_ = raft_role::candidate;
  leader_ = 0;
  identity_.set_term(term() + 1);
  identity_.set_voted_for(id());
  persist_identity();
  election_started_ = now_;
  schedule_retry();
  ask_for_votes(false);
  if (has_won()) become_leader();
}

void raft_node::take(const wire::raft_message& message, const wire::vote_request& body) {
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
  auto& reply = send(message.from());
  // A granted pre-vote repeats the term that was asked for.
  if (body.pre_vote() && is_granted) reply.set_term(message.term());
  reply.mutable_voted()->set_pre_vote(body.pre_vote());
  reply.mutable_voted()->set_granted(is_granted);
}

void raft_node::take(const wire::raft_message& message, const wire::vote_reply& body) {
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
  led_since_ = now_;
  progress_.clear();
  rounds_.clear();
  for (const auto& member : membership().everyone()) {
    auto& it = progress_of(member.id());
    if (votes_.count(member.id()) > 0) it.contact = election_started_;
  }
  // Entries of earlier terms become committed with the first entry of this term;
  // counting their copies alone could lose them again.
  append_own({});
  own_term_index_ = log_.last_index();
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
    quorum_contact_ = quorum_contact();
    progress_.clear();
    schedule_election();
  }
  role_ = raft_role::follower;
  leader_ = leader;
}

void raft_node::step_down_without_quorum() {
  if (now_ - quorum_contact() <= settings_.election_timeout) return;
  effects_.complaints.push_back("stepped down: no contact to a quorum");
  become_follower(term(), 0);
}

// Contact to a quorum.

raft_node::progress& raft_node::progress_of(std::uint64_t member) {
  const auto [it, is_new] = progress_.try_emplace(member);
  if (is_new) it->second.next = log_.last_index() + 1;
  return it->second;
}

time_point raft_node::contact_of(std::uint64_t member) const {
  if (member == id()) return now_;
  const auto it = progress_.find(member);
  return it == progress_.end() ? time_point{} : it->second.contact;
}

bool raft_node::is_reachable(std::uint64_t member) const {
  return now_ - contact_of(member) <= settings_.election_timeout;
}

time_point raft_node::quorum_contact() const {
  const auto ticks = membership().quorum_value([this](std::uint64_t member) {
    return static_cast<std::uint64_t>(contact_of(member).time_since_epoch().count());
  });
  return time_point(microseconds(static_cast<std::int64_t>(ticks)));
}

milliseconds raft_node::quorum_age(time_point now) const {
  std::optional<time_point> contact = quorum_contact_;
  if (role_ == raft_role::leader) {
    // With a single voter the contact is the present.
    const bool is_alone = membership().has_quorum([this](auto member) { return member == id(); });
    contact = is_alone ? now : quorum_contact();
  }
  if (!contact) return milliseconds::max();
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - *contact));
}

std::uint32_t raft_node::age_for_message() const {
  constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(highest, quorum_age(now_).count()));
}

bool raft_node::is_confirmed(std::uint64_t round) const {
  if (role_ != raft_role::leader) return false;
  return membership().has_quorum([&](std::uint64_t member) {
    if (member == id()) return true;
    const auto it = progress_.find(member);
    return it != progress_.end() && it->second.answered_round >= round;
  });
}

milliseconds raft_node::silence_of(std::uint64_t member, time_point now) const {
  if (member == id()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - std::max(led_since_, contact_of(member)));
}

bool raft_node::is_promotable(std::uint64_t member) const {
  return role_ == raft_role::leader && check_promotion(member).has_value();
}

// The age counts from when the answered round was sent, because that is the last
// moment at which the member provably still followed this leader.
void raft_node::note_answer(std::uint64_t member, std::uint64_t round) {
  auto& answered = progress_of(member).answered_round;
  answered = std::max(answered, round);
  const auto it = std::find_if(rounds_.begin(), rounds_.end(),
                               [&](const auto& sent) { return sent.number == round; });
  if (it == rounds_.end()) return;
  auto& from = progress_of(member);
  if (it->time < from.contact) return;
  from.contact = it->time;
  from.committed = it->committed;
}

// Replication, the leader's side.

wire::raft_message& raft_node::send(std::uint64_t to) {
  auto& message = effects_.messages.emplace_back();
  message.set_from(id());
  message.set_to(to);
  message.set_term(term());
  message.set_cluster(identity_.cluster());
  message.set_from_identity(identity_.identity());
  message.set_from_founder(identity_.founder());
  message.set_from_zone(identity_.zone());
  return message;
}

void raft_node::persist_identity() {
  effects_.identity = identity_;
}

void raft_node::append_own(wire::log_entry entry) {
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  effects_.appended.push_back(entry);
  log_.append(std::move(entry));
}

void raft_node::start_round() {
  rounds_.push_back({++round_, now_, commit_index_});
  while (now_ - rounds_.front().time > 2 * settings_.election_timeout)
    rounds_.pop_front();
}

void raft_node::broadcast() {
  next_heartbeat_ = now_ + settings_.heartbeat;
  start_round();
  for (const auto& member : membership().everyone())
    if (member.id() != id()) send_entries(member.id());
}

void raft_node::send_entries(std::uint64_t member) {
  auto& to = progress_of(member);
  if (to.snapshot || to.next <= log_.base_index()) return send_chunk(member);
  auto& message = send(member);
  auto& body = *message.mutable_append();
  body.set_previous_index(to.next - 1);
  body.set_previous_term(log_.term_at(to.next - 1).value());
  body.set_commit_index(commit_index_);
  body.set_round(round_);
  body.set_quorum_age_ms(age_for_message());
  for (auto& entry : log_.entries_from(to.next, settings_.append_bytes))
    *body.add_entries() = std::move(entry);
  // The next message continues here without waiting for the answer; a lost one is
  // noticed when the member refuses its successor.
  to.next += static_cast<std::uint64_t>(body.entries_size());
}

void raft_node::send_chunk(std::uint64_t member) {
  auto& to = progress_of(member);
  if (!to.snapshot) {
    to.snapshot = std::make_shared<const std::string>(log_.snapshot()->SerializeAsString());
    to.snapshot_index = log_.snapshot_index();
    to.snapshot_checksum = XXH64(to.snapshot->data(), to.snapshot->size(), 0);
    to.offset = 0;
  }
  auto& body = *send(member).mutable_snapshot();
  body.set_last_index(to.snapshot_index);
  body.set_offset(to.offset);
  // A member that does not answer is asked without data, because a chunk with
  // each heartbeat would exceed the limit of control traffic.
  to.is_probed = !is_reachable(member);
  if (!to.is_probed) {
    body.set_data(to.snapshot->substr(to.offset, settings_.chunk_bytes));
    body.set_done(to.offset + body.data().size() == to.snapshot->size());
  }
  body.set_checksum(to.snapshot_checksum);
  body.set_round(round_);
}

void raft_node::take(const wire::raft_message& message, const wire::append_reply& body) {
  if (role_ != raft_role::leader || message.term() != term()) return;
  if (membership().find(message.from()) == nullptr) return;
  auto& from = progress_of(message.from());
  if (from.identity == 0) from.identity = message.from_identity();
  if (from.identity == message.from_identity()) from.zone = message.from_zone();
  if (from.identity != message.from_identity()) return;
  note_answer(message.from(), body.round());
  if (body.success()) {
    from.match = std::max(from.match, std::min(body.match_index(), log_.last_index()));
    from.next = std::max(from.next, from.match + 1);
    const auto committed_before = commit_index_;
    advance_commit();
    // Members apply what is committed; without a message of its own they would learn
    // of it with the next heartbeat.
    if (role_ == raft_role::leader && commit_index_ > committed_before) broadcast();
    if (role_ == raft_role::leader && from.next <= log_.last_index()) send_entries(message.from());
    return;
  }
  // One lost message makes the member refuse all that were sent after it; only the
  // first refusal starts a new transmission.
  if (body.round() <= from.rewound_round) return;
  from.rewound_round = round_;
  start_round();
  from.next = std::max(from.match, std::min(body.match_index(), log_.last_index())) + 1;
  send_entries(message.from());
}

void raft_node::take(const wire::raft_message& message, const wire::snapshot_reply& body) {
  if (role_ != raft_role::leader || message.term() != term()) return;
  if (membership().find(message.from()) == nullptr) return;
  auto& from = progress_of(message.from());
  if (from.identity == 0) from.identity = message.from_identity();
  if (from.identity == message.from_identity()) from.zone = message.from_zone();
  if (from.identity != message.from_identity()) return;
  note_answer(message.from(), body.round());
  if (!from.snapshot || body.checksum() != from.snapshot_checksum) return;
  if (body.done()) {
    from.snapshot.reset();
    from.match = std::max(from.match, from.snapshot_index);
    from.next = from.match + 1;
    advance_commit();
    if (role_ == raft_role::leader) send_entries(message.from());
    return;
  }
  // A repeated answer asks for a chunk that is already on its way.
  const bool is_progress = body.offset() > from.offset || from.is_probed;
  from.offset = std::min<std::uint64_t>(body.offset(), from.snapshot->size());
  if (is_progress) send_chunk(message.from());
}

void raft_node::advance_commit() {
  if (role_ != raft_role::leader) return;
  const auto index = membership().quorum_value([this](std::uint64_t member) {
    return member == id() ? log_.last_index() : match_index(member);
  });
  if (index <= commit_index_ || log_.term_at(index) != term()) return;
  commit_to(index);
  finish_membership_change();
}

void raft_node::commit_to(std::uint64_t index) {
  while (commit_index_ < index)
    effects_.committed.push_back(log_.at(++commit_index_));
}

// Members.

bool raft_node::is_membership_settled() const {
  return !membership().is_joint() && log_.membership_index() <= commit_index_;
}

void raft_node::finish_membership_change() {
  if (log_.membership_index() > commit_index_) return;
  if (membership().is_joint()) {
    wire::log_entry entry;
    raft_membership{membership().members, {}}.write_to(entry);
    append_own(std::move(entry));
    broadcast();
    advance_commit();
    return;
  }
  if (membership().is_voter(id())) return;
  // The others learn of the commit before the removed leader stops.
  broadcast();
  become_follower(term(), 0);
}

// Founders and learners are named before their data folders are known; once a
// folder has answered, another one under the same id is refused for good. The zones
// of founders that only their addresses name are learnt in the same way.
void raft_node::record_identities() {
  if (commit_index_ < own_term_index_ || !is_membership_settled()) return;
  auto next = membership();
  bool is_changed = false;
  for (auto& member : next.members) {
    const auto seen = progress_.find(member.id());
    const auto zone = member.id() == id()       ? identity_.zone()
                      : seen == progress_.end() ? 0
                                                : seen->second.zone;
    if (member.zone() == 0 && zone != 0) {
      member.set_zone(zone);
      is_changed = true;
    }
    if (member.identity() != 0) continue;
    const auto identity = member.id() == id()       ? identity_.identity()
                          : seen == progress_.end() ? 0
                                                    : seen->second.identity;
    if (identity == 0) continue;
    member.set_identity(identity);
    is_changed = true;
  }
  if (!is_changed) return;
  wire::log_entry entry;
  next.write_to(entry);
  append_own(std::move(entry));
  broadcast();
  advance_commit();
}

std::uint64_t raft_node::match_index(std::uint64_t member) const {
  if (member == id()) return log_.last_index();
  const auto it = progress_.find(member);
  return it == progress_.end() ? 0 : it->second.match;
}

result<void> raft_node::check_promotion(std::uint64_t member) const {
  const auto place = "control host " + std::to_string(member);
  const auto* known = membership().find(member);
  if (known == nullptr || !known->learner())
    return failure(error_kind::malformed, place, "is not a learner");
  if (!is_reachable(member)) return failure(error_kind::unavailable, place, "does not answer");
  // Entries that were committed while its answer was on the way do not count, or
  // a learner would never have caught up while operators work.
  // It must hold the entry that records its data folder, without which it does not
  // vote; the joint members could then elect nobody after the loss of the leader.
  const auto needed = std::max(progress_.at(member).committed, log_.membership_index());
  if (known->identity() == 0 || match_index(member) < needed)
    return failure(error_kind::unavailable, place,
                   "has synced " + std::to_string(match_index(member)) + " of " +
                       std::to_string(needed) + " committed entries");
  return success();
}

result<raft_membership> raft_node::plan(time_point now, const member_change& change) const {
  const std::string place = "change of members";
  if (role_ != raft_role::leader) return failure(error_kind::unavailable, place, "not the leader");
  if (commit_index_ < own_term_index_ || now - quorum_contact() > settings_.election_timeout)
    return failure(error_kind::unavailable, place, "the leader is not confirmed by a quorum");
  if (!is_membership_settled())
    return failure(error_kind::conflict, place, "another change is in progress");

  auto next = membership();
  auto& members = next.members;
  const auto find = [&](std::uint64_t id) {
    return std::find_if(members.begin(), members.end(),
                        [&](const auto& it) { return it.id() == id; });
  };
  auto ids = change.also;
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
    const auto it = find(change.replaced);
    if (it == members.end() || it->learner())
      return failure(error_kind::malformed, place,
                     std::to_string(change.replaced) + " is not a voter");
    members.erase(it);
    find(change.member.id())->set_learner(false);
    break;
  }
  }
  if (next.voter_count() % 2 == 0)
    return failure(error_kind::malformed, place,
                   "would leave " + std::to_string(next.voter_count()) +
                       " voters; the number of voters must be odd");
  const bool is_alive = next.has_quorum([&](std::uint64_t id) {
    return id == this->id() || now - contact_of(id) <= settings_.election_timeout;
  });
  if (!is_alive)
    return failure(error_kind::unavailable, place, "would lose the quorum: too few voters answer");
  return next;
}

// Replication, the follower's side.

void raft_node::hear_from_leader(const wire::raft_message& message) {
  role_ = raft_role::follower;
  leader_ = message.from();
  leader_contact_ = now_;
  schedule_election();
}

void raft_node::take(const wire::raft_message& message, const wire::append_request& body) {
  auto& reply = send(message.from());
  auto& answer = *reply.mutable_appended();
  answer.set_round(body.round());
  if (message.term() < term()) return;
  hear_from_leader(message);

  // Entries up to the commit index are settled, whatever part of them is still held.
  auto previous = body.previous_index();
  int skipped = 0;
  if (previous < commit_index_) {
    skipped = static_cast<int>(std::min<std::uint64_t>(
        commit_index_ - previous, static_cast<std::uint64_t>(body.entries_size())));
    previous += static_cast<std::uint64_t>(skipped);
  } else if (log_.term_at(previous) != body.previous_term()) {
    auto hint = std::min(previous - 1, log_.last_index());
    if (log_.term_at(previous) && previous > log_.base_index())
      hint = log_.first_of_term(previous) - 1;
    answer.set_match_index(std::max(hint, commit_index_));
    return;
  }
  for (int n = skipped; n < body.entries_size(); ++n) {
    const auto& entry = body.entries(n);
    ++previous;
    if (entry.index() != previous) {
      effects_.complaints.push_back("entries out of order ignored");
      --previous;
      break;
    }
    const auto held = log_.term_at(previous);
    if (held == entry.term()) continue;
    if (held) log_.truncate_from(previous);
    log_.append(entry);
    effects_.appended.push_back(entry);
  }
  answer.set_success(true);
  answer.set_match_index(previous);
  commit_to(std::min(body.commit_index(), previous));
  // Contact alone is not enough: entry hosts that poll a member which lags, or
  // whose copies the leader ignores, have to turn to another one (R28).
  if (commit_index_ >= body.commit_index())
    quorum_contact_ = now_ - milliseconds(body.quorum_age_ms());
}

void raft_node::take(const wire::raft_message& message, const wire::snapshot_request& body) {
  auto& answer = *send(message.from()).mutable_installed();
  answer.set_round(body.round());
  answer.set_checksum(body.checksum());
  if (message.term() < term()) return;
  hear_from_leader(message);
  if (body.last_index() <= commit_index_) {
    answer.set_done(true);
    return;
  }
  if (incoming_checksum_ != body.checksum()) {
    incoming_checksum_ = body.checksum();
    incoming_.clear();
  }
  if (body.offset() == incoming_.size()) {
    incoming_ += body.data();
    if (body.done()) {
      auto snapshot = std::make_shared<wire::stored_snapshot>();
      const bool is_intact = XXH64(incoming_.data(), incoming_.size(), 0) == body.checksum() &&
                             snapshot->ParseFromString(incoming_);
      incoming_.clear();
      incoming_checksum_ = 0;
      if (is_intact) {
        answer.set_done(true);
        restore(std::move(snapshot));
        return;
      }
      effects_.complaints.push_back("snapshot with a wrong checksum ignored");
    }
  }
  answer.set_offset(incoming_.size());
}

void raft_node::restore(std::shared_ptr<const wire::stored_snapshot> snapshot) {
  commit_index_ = snapshot->last_index();
  log_.install(snapshot);
  effects_.snapshot = snapshot;
  effects_.retained = log_.all_entries();
  effects_.restored = std::move(snapshot);
}

} // namespace zinnia
