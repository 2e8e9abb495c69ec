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
  milliseconds heartbeat_interval{200};
  /// A leader steps down after this time without contact with a quorum. The election
  /// timeout of a member is random between this value and twice this value.
  milliseconds election_timeout{600};
  /// Minimum election timeout of a member that has just started; the maximum is three
  /// times this value. It can be short because a pre-vote does not disturb a leader that
  /// other members are in contact with. Without a leader, the whole system waits for the
  /// election.
  milliseconds first_election_timeout{100};
  std::size_t max_append_bytes = 65'536;      ///< size of the entries in one message
  std::size_t chunk_bytes = 65'536;           ///< size of the snapshot part in one message
  std::size_t max_uncommitted_entries = 1024; ///< further proposals are refused
  std::uint64_t retained_entries = 256;       ///< kept before a snapshot for lagging members
  std::size_t retained_bytes = 4U << 20U;     ///< of these entries, at most
};

enum class raft_role { follower, pre_candidate, candidate, leader };

/// Returns "follower", "pre_candidate", "candidate" or "leader".
const char* name_of(raft_role role);

/// A membership change that an operator or the group policy requests.
struct member_change {
  enum class kind { add_learner, promote, remove, replace };
  kind action = kind::add_learner;
  wire::control_member member;
  /// Further members to promote or remove in the same change.
  std::vector<std::uint64_t> additional_ids;
  std::uint64_t replaced_id = 0; ///< the voter that `member` replaces
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
  raft_membership next; ///< returned by raft_node::plan()
  std::string command;
};
/// Requests a snapshot. `state` is the applied state after the last entry of
/// raft_effects::committed.
struct raft_compaction {
  std::string state;
};
/// Requests a confirmation by a quorum that this member is still the leader (read index).
struct raft_read {};
using raft_event = std::variant<raft_tick, raft_received, raft_proposal, raft_member_proposal,
                                raft_compaction, raft_read>;

/// The effects that the owner executes, in the order of the members below. Nothing may be
/// sent or applied before the preceding members are written and synced.
struct raft_effects {
  std::optional<wire::node_identity> identity;           ///< write to the identity file
  std::shared_ptr<const wire::stored_snapshot> snapshot; ///< write with `retained_entries`
  std::vector<wire::log_entry> retained_entries;         ///< the log after the new snapshot
  std::vector<wire::log_entry> appended;                 ///< append to the log
  std::shared_ptr<const wire::stored_snapshot> restored_snapshot; ///< replaces the applied state
  std::vector<wire::log_entry> committed;                         ///< apply
  std::vector<wire::raft_message> messages;                       ///< send
  std::optional<std::uint64_t> proposed_index;                    ///< log index of the proposal
  std::optional<std::uint64_t> read_round; ///< round that confirms a raft_read
  std::string refusal;                     ///< set when a proposal or raft_read is refused
  std::vector<std::string> warnings;       ///< log lines, for example ignored messages
};

/// One member of the replicated log as a state machine (docs/design.md R25, R26).
/// Implements Raft with pre-vote, a leader that steps down without contact with a quorum,
/// learners, snapshots in chunks, read index, and joint consensus for changes of voters.
class raft_node {
public:
  /// `state` must have an identity. The log of a data folder that did not found the
  /// cluster has no members at first; such a node follows any leader of its cluster and
  /// never votes.
  raft_node(const raft_settings& settings, stored_state state, random_engine engine,
            time_point now);

  /// Handles an event and returns the resulting effects.
  raft_effects step(time_point now, raft_event event);

  /// Returns the membership after a change. Fails with error_kind::conflict when another
  /// change is in progress, error_kind::unavailable when this node is not a confirmed
  /// leader or the quorum would be lost, and error_kind::malformed for an invalid change.
  result<raft_membership> plan(time_point now, const member_change& change) const;

  raft_role role() const { return role_; }
  std::uint64_t id() const { return identity_.control(); }
  std::uint64_t term() const { return identity_.term(); }
  const wire::node_identity& identity() const { return identity_; }
  /// Returns the id of the leader, or 0 when unknown.
  std::uint64_t leader() const { return leader_; }
  std::uint64_t commit_index() const { return commit_index_; }
  const raft_log& log() const { return log_; }
  /// Returns the latest membership in the log, committed or not.
  const raft_membership& membership() const { return log_.membership(); }
  /// Returns true when no membership change is in progress.
  bool is_membership_settled() const;
  /// Returns true when the membership records another data folder for this node's id.
  bool has_conflicting_identity() const;
  /// Returns the time since the last contact with a quorum at which this member had every
  /// committed entry; milliseconds::max() when there was none.
  milliseconds quorum_age(time_point now) const;
  /// Returns true once a quorum has replied to a round of this leader's current term.
  /// The commit index at the time when the round was sent then covers every entry that
  /// any leader had acknowledged by that time.
  bool is_confirmed(std::uint64_t round) const;
  /// Returns the time since the last reply of a member to this leader, or since this node
  /// became leader if that is later.
  milliseconds time_since_contact(std::uint64_t member, time_point now) const;
  /// Returns true when a learner can be promoted now.
  bool is_promotable(std::uint64_t member) const;
  /// Returns the highest index that a member is known to have synced; leader only.
  std::uint64_t match_index(std::uint64_t member) const;

private:
  struct progress {
    std::uint64_t next_index = 1;
    std::uint64_t match_index = 0;
    time_point last_contact{};                   ///< when the newest acknowledged round was sent
    std::uint64_t committed = 0;                 ///< commit index when that round was sent
    std::uint64_t acknowledged_round = 0;        ///< newest round with a reply
    std::uint64_t identity = 0;                  ///< data folder of the first reply
    std::uint32_t zone = 0;                      ///< zone in the latest reply
    std::shared_ptr<const std::string> snapshot; ///< snapshot being sent
    std::uint64_t snapshot_index = 0;
    std::uint64_t snapshot_checksum = 0;
    std::uint64_t snapshot_offset = 0;
    bool is_probed = false;          ///< the last snapshot message had no data
    std::uint64_t rewound_round = 0; ///< rejections of this and earlier rounds are ignored
  };
  /// A numbered set of messages to the members. A member's reply with the number shows that
  /// the member still followed this leader when the round was sent.
  struct sent_round {
    std::uint64_t number = 0;
    time_point sent_at;
    std::uint64_t committed = 0; ///< commit index when the round was sent
  };

  void on(const raft_tick& event);
  void on(const raft_received& event);
  void on(const raft_proposal& event);
  void on(const raft_member_proposal& event);
  void on(const raft_compaction& event);
  void on(const raft_read& event);

  bool is_acceptable(const wire::raft_message& message);
  void handle(const wire::raft_message& message, const wire::vote_request& body);
  void handle(const wire::raft_message& message, const wire::vote_reply& body);
  void handle(const wire::raft_message& message, const wire::append_request& body);
  void handle(const wire::raft_message& message, const wire::append_reply& body);
  void handle(const wire::raft_message& message, const wire::snapshot_request& body);
  void handle(const wire::raft_message& message, const wire::snapshot_reply& body);

  void start_pre_vote();
  void start_election();
  void become_leader();
  void become_follower(std::uint64_t term, std::uint64_t leader);
  void step_down_without_quorum();
  void record_leader_contact(const wire::raft_message& message);
  void record_reply(std::uint64_t member, std::uint64_t round);
  /// Records a reply and returns the progress of its sender; null when the reply is ignored.
  progress* accept_reply(const wire::raft_message& message, std::uint64_t round);
  /// Returns a random deadline between `min` and `max` from now.
  time_point random_deadline(microseconds min, microseconds max);
  void schedule_election();
  void schedule_election_retry();
  bool may_vote() const;
  bool may_campaign() const;
  bool is_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const;
  void request_votes(bool is_pre_vote);
  bool has_won() const;

  /// Appends an entry of the leader's term.
  void append_as_leader(wire::log_entry entry);
  void start_round();
  void broadcast();
  void send_entries(std::uint64_t member);
  void send_chunk(std::uint64_t member);
  void advance_commit();
  void commit_to(std::uint64_t index);
  void finish_membership_change();
  void record_identities();
  void restore(std::shared_ptr<const wire::stored_snapshot> snapshot);
  /// Adds a message to the effects and returns it; the calling function fills the body.
  wire::raft_message& add_message(std::uint64_t to);
  void persist_identity();
  progress& progress_of(std::uint64_t member);
  time_point last_contact(std::uint64_t member) const;
  bool is_reachable(std::uint64_t member) const;
  time_point last_quorum_contact() const;
  std::uint32_t quorum_age_field() const;
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
  std::optional<time_point> reported_quorum_contact_; ///< last value from the leader
  std::set<std::uint64_t> votes_;

  std::map<std::uint64_t, progress> progress_;
  std::deque<sent_round> rounds_;
  std::uint64_t last_round_ = 0;
  std::uint64_t term_start_index_ = 0; ///< first entry of this leader's term
  time_point leader_since_;

  std::uint64_t incoming_snapshot_checksum_ = 0;
  std::string incoming_snapshot_;

  raft_effects effects_;
};

} // namespace zinnia
