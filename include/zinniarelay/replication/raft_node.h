#pragma once

#include "control.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/replication/log_store.h"
#include "zinniarelay/replication/raft_log.h"
#include "zinniarelay/replication/raft_membership.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace zinnia {

struct raft_settings {
  milliseconds heartbeat{200};
  /// Shortest time without contact after which a member asks for votes or a
  /// leader steps down; the actual time is drawn from once to twice this value.
  milliseconds election_timeout{600};
  /// The same for a member that has just started. A pre-vote does not disturb a leader
  /// that others hear from; without one, each election costs the whole system time.
  milliseconds first_election{100};
  std::size_t append_bytes = 65'536;          ///< entries in one message
  std::size_t chunk_bytes = 65'536;           ///< part of a snapshot in one message
  std::size_t max_uncommitted_entries = 1024; ///< further proposals are refused
  std::uint64_t retained_entries = 256;       ///< kept before a snapshot for lagging members
};

enum class raft_role { follower, pre_candidate, candidate, leader };

/// "follower", "pre_candidate", "candidate" or "leader".
const char* name_of(raft_role role);

/// A change of members that an operator asks for.
struct member_change {
  enum class kind { add_learner, promote, remove, replace };
  kind action = kind::add_learner;
  wire::control_member member;
  std::vector<std::uint64_t> also; ///< further members to promote or remove in the same step
  std::uint64_t replaced = 0;
};

/// Events of raft_node.
struct raft_tick {};
struct raft_received {
  wire::raft_message message;
};
struct raft_proposal {
  std::string command;
};
struct raft_member_proposal {
  raft_membership next; ///< as raft_node::plan() returned it
  std::string command;
};
/// The state after the last committed entry that was handed out.
struct raft_compaction {
  std::string state;
};
/// Asks a quorum whether this member still leads.
struct raft_read {};
using raft_event = std::variant<raft_tick, raft_received, raft_proposal, raft_member_proposal,
                                raft_compaction, raft_read>;

/// What the owner carries out, in the order of the members: nothing may be sent
/// or applied before the earlier parts are synced.
struct raft_effects {
  std::optional<wire::node_identity> identity;           ///< write to the identity file
  std::shared_ptr<const wire::stored_snapshot> snapshot; ///< write with `retained`
  std::vector<wire::log_entry> retained;                 ///< the log beside the new snapshot
  std::vector<wire::log_entry> appended;                 ///< append to the log
  std::shared_ptr<const wire::stored_snapshot> restored; ///< replaces the applied state
  std::vector<wire::log_entry> committed;                ///< apply
  std::vector<wire::raft_message> messages;              ///< send
  std::optional<std::uint64_t> proposed_index;           ///< where a proposal was appended
  std::optional<std::uint64_t> read_round;               ///< that confirms a raft_read
  std::string refusal;                                   ///< why there is neither
  std::vector<std::string> complaints;                   ///< for the log: what was ignored and why
};

/// One member of the replicated log as a state machine (docs/design.md R25, R26).
/// It is Raft with pre-vote, a leader that steps down without contact to a quorum,
/// learners, snapshots in chunks, and joint consensus for changes of voters.
class raft_node {
public:
  /// The stored state must have an identity. A folder that was not founded has no
  /// members; such a node follows any leader of its cluster and never votes.
  raft_node(const raft_settings& settings, stored_state state, random_engine engine,
            time_point now);

  raft_effects step(time_point now, raft_event event);

  /// The members after a change, or why the change is refused: error_kind::conflict
  /// for another change in progress, unavailable when this is not a confirmed leader
  /// or the quorum would be lost, malformed when it makes no sense.
  result<raft_membership> plan(time_point now, const member_change& change) const;

  raft_role role() const { return role_; }
  std::uint64_t id() const { return identity_.control(); }
  std::uint64_t term() const { return identity_.term(); }
  const wire::node_identity& identity() const { return identity_; }
  /// 0 when unknown.
  std::uint64_t leader() const { return leader_; }
  std::uint64_t commit_index() const { return commit_index_; }
  const raft_log& log() const { return log_; }
  const raft_membership& membership() const { return log_.membership(); }
  /// True when no change of members is in progress.
  bool is_membership_settled() const;
  /// True when the cluster's members include this id with another data folder.
  bool is_foreign() const;
  /// Time since a quorum was in contact and this member had all that was committed;
  /// milliseconds::max() for never.
  milliseconds quorum_age(time_point now) const;
  /// True once a quorum has answered a round of this leader's present term. What was
  /// committed when the round was sent is then the newest that was acknowledged.
  bool is_confirmed(std::uint64_t round) const;
  /// Time since a member last answered this leader, or since it leads.
  milliseconds silence_of(std::uint64_t member, time_point now) const;
  /// True when a learner could be promoted now.
  bool is_promotable(std::uint64_t member) const;
  /// The highest entry that a member has synced; known by the leader only.
  std::uint64_t match_index(std::uint64_t member) const;

private:
  struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    time_point contact{};                        ///< when the newest answered round was sent
    std::uint64_t committed = 0;                 ///< the commit index when it was sent
    std::uint64_t answered_round = 0;            ///< the newest one
    std::uint64_t identity = 0;                  ///< of the data folder that answered first
    std::uint32_t zone = 0;                      ///< that the member names
    std::shared_ptr<const std::string> snapshot; ///< being sent
    std::uint64_t snapshot_index = 0;
    std::uint64_t snapshot_checksum = 0;
    std::uint64_t offset = 0;
    bool is_probed = false;          ///< the last snapshot message had no data
    std::uint64_t rewound_round = 0; ///< refusals of this and earlier rounds are dealt with
  };
  struct sent_round {
    std::uint64_t number = 0;
    time_point time;
    std::uint64_t committed = 0;
  };

  void on(const raft_tick& event);
  void on(const raft_received& event);
  void on(const raft_proposal& event);
  void on(const raft_member_proposal& event);
  void on(const raft_compaction& event);
  void on(const raft_read& event);

  bool is_acceptable(const wire::raft_message& message);
  void take(const wire::raft_message& message, const wire::vote_request& body);
  void take(const wire::raft_message& message, const wire::vote_reply& body);
  void take(const wire::raft_message& message, const wire::append_request& body);
  void take(const wire::raft_message& message, const wire::append_reply& body);
  void take(const wire::raft_message& message, const wire::snapshot_request& body);
  void take(const wire::raft_message& message, const wire::snapshot_reply& body);

  void start_pre_vote();
  void start_election();
  void become_leader();
  void become_follower(std::uint64_t term, std::uint64_t leader);
  void step_down_without_quorum();
  void hear_from_leader(const wire::raft_message& message);
  void note_answer(std::uint64_t member, std::uint64_t round);
  /// The progress of the member whose answer this is; null when it does not count.
  progress* take_answer(const wire::raft_message& message, std::uint64_t round);
  time_point draw_time(microseconds shortest, microseconds longest);
  void schedule_election();
  void schedule_retry();
  bool may_vote() const;
  bool may_campaign() const;
  bool is_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const;
  void ask_for_votes(bool is_pre_vote);
  bool has_won() const;

  void append_own(wire::log_entry entry);
  void start_round();
  void broadcast();
  void send_entries(std::uint64_t member);
  void send_chunk(std::uint64_t member);
  void advance_commit();
  void commit_to(std::uint64_t index);
  void finish_membership_change();
  void record_identities();
  void restore(std::shared_ptr<const wire::stored_snapshot> snapshot);
  wire::raft_message& send(std::uint64_t to);
  void persist_identity();
  progress& progress_of(std::uint64_t member);
  time_point contact_of(std::uint64_t member) const;
  bool is_reachable(std::uint64_t member) const;
  time_point quorum_contact() const;
  std::uint32_t age_for_message() const;
  result<void> check_promotion(std::uint64_t member) const;

  raft_settings settings_;
  random_engine engine_;
  wire::node_identity identity_;
  raft_log log_;
  std::uint64_t commit_index_ = 0;
  raft_role role_ = raft_role::follower;
  std::uint64_t leader_ = 0;

  time_point now_;
  time_point election_deadline_;
  time_point next_heartbeat_;
  time_point election_started_;
  std::optional<time_point> leader_contact_;
  std::optional<time_point> quorum_contact_; ///< as the leader reported it to a follower
  std::set<std::uint64_t> votes_;

  std::map<std::uint64_t, progress> progress_;
  std::deque<sent_round> rounds_;
  std::uint64_t round_ = 0;
  std::uint64_t own_term_index_ = 0; ///< first entry of this leader's term
  time_point led_since_;

  std::uint64_t incoming_checksum_ = 0;
  std::string incoming_;

  raft_effects effects_;
};

} // namespace zinnia
