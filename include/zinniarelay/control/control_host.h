#pragma once

#include "flow.pb.h"
#include "operator.pb.h"
#include "zinniarelay/control/group_policy.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/replication/control_state.h"
#include "zinniarelay/replication/log_store.h"
#include "zinniarelay/replication/raft_node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

struct control_host_settings {
  wire::control_member self;
  std::uint64_t cluster = 0;
  std::vector<wire::control_member> founders; ///< used only when the cluster is founded
  raft_settings raft;
  std::uint64_t compaction_entries = 1'000; ///< applied entries between snapshots
  milliseconds status_lifetime{600'000};    ///< a host that is silent for longer is forgotten
  std::size_t peers_in_reply = 16;          ///< entry hosts named in one answer to Sync
  /// Set for a group that forms and repairs itself (docs/design.md R33).
  std::optional<group_settings> group;
};

/// The control role: replicated log, applied state, answers to operators and entry
/// hosts, and the statuses that entry hosts report. Calls are not concurrent.
class control_host {
public:
  /// An operation that waits for its entry to be committed.
  struct ticket {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool is_member_change = false;
  };
  /// Either the answer or the ticket to ask for it with.
  template <class Reply>
  struct submission {
    std::optional<Reply> answer;
    ticket pending;
  };

  /// Founds a cluster: writes identity and founding members into an empty folder.
  /// Fails with error_kind::conflict for a folder in use, error_kind::malformed for
  /// an even number of founders or when this host is not one of them.
  static result<void> initialize(storage& files, const control_host_settings& settings,
                                 random_engine& engine);

  /// Loads the folder. A folder without identity is taken as a new host that waits
  /// to be added as a learner. Fails with error_kind::conflict when the folder
  /// belongs to another control host or cluster.
  static result<control_host> open(storage& files, const control_host_settings& settings,
                                   random_engine engine, time_point now);

  void tick(time_point now);
  void receive(time_point now, wire::raft_message message);

  /// What is to be sent since the last call. Everything it depends on is synced.
  std::vector<wire::raft_message> take_messages();
  /// What is to be logged since the last call.
  std::vector<std::string> take_complaints();
  /// Set after a write failed. The log in memory is ahead of the disk then; the host takes no
  /// part in the group until reopen() succeeds, and goes on to serve what is committed.
  const std::optional<error>& fault() const { return fault_; }
  /// Takes the group's state from the disk again, as a restart does, and keeps the upstreams.
  /// Fails with error_kind::io while the disk fails, and with another kind when the folder is
  /// not this host's any more.
  result<void> reopen(time_point now);

  submission<wire::apply_reply> apply(time_point now, std::uint64_t wall_ms,
                                      const wire::apply_request& request);
  submission<wire::apply_reply> drain(time_point now, std::uint64_t wall_ms,
                                      const wire::drain_request& request);
  submission<wire::members_reply> change_members(time_point now, std::uint64_t wall_ms,
                                                 const wire::members_request& request);

  /// No value while the operation waits for a quorum.
  std::optional<wire::apply_reply> apply_answer(const ticket& pending,
                                                const wire::apply_request& request) const;
  std::optional<wire::apply_reply> drain_answer(const ticket& pending) const;
  std::optional<wire::members_reply> members_answer(const ticket& pending) const;
  /// The answer when the owner no longer waits; the operation may still be accepted.
  wire::apply_reply unconfirmed_apply() const;
  wire::members_reply unconfirmed_members() const;

  /// Proposes a declaration of packet flows. Answered at once when a version at
  /// least as high is in force. The caller has checked the declaration.
  submission<wire::version_reply> apply_version(time_point now, std::uint64_t wall_ms,
                                                const wire::version_request& request);
  std::optional<wire::version_reply> version_answer(const ticket& pending) const;
  wire::version_reply unconfirmed_version() const;

  /// Asks a quorum for the index of the newest acknowledged entry; the leader only.
  struct read_ticket {
    std::uint64_t round = 0;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
  };
  /// No value when this host does not lead or cannot be sure of it.
  std::optional<read_ticket> begin_read(time_point now);
  std::optional<wire::read_reply> read_answer(const read_ticket& pending) const;

  /// The declaration of packet flows that this host has applied; version 0 for none.
  const wire::versioned_declaration& flows() const { return flows_; }

  /// Takes what this host knew before it started. It serves entry hosts until a quorum
  /// has been heard from (docs/design.md R39).
  void recall(time_point now, wire::recalled_view view);
  /// What this host would want to recall after a restart; `wall_ms` is the Unix time.
  wire::recalled_view view(time_point now, std::uint64_t wall_ms) const;
  /// Changes when view() does.
  struct view_position {
    std::uint64_t version = 0;
    std::uint64_t upstreams = 0;

    friend bool operator==(const view_position&, const view_position&) = default;
  };
  view_position position_of_view() const;

  /// A host outside the group asks to be taken in.
  wire::join_reply join(time_point now, const wire::join_request& request);
  /// The request that this host sends while it has no place in a group.
  std::optional<wire::join_request> join_request_due(time_point now) const;
  std::vector<std::string> member_addresses(std::uint32_t preferred_zone) const;

  /// A report that an upstream made to this host.
  upstream_directory::merge_result report(time_point now, const upstream_report& value);
  const upstream_directory& upstreams() const { return upstreams_; }
  /// News of upstreams from another control host.
  wire::spread_reply take_spread(time_point now, const wire::spread_request& request);
  wire::spread_request spread_since(std::uint64_t position, bool is_complete) const;
  wire::news_reply news(time_point now, const wire::news_request& request) const;
  /// True when an entry host should not wait for the answer to its request.
  bool has_urgent_news(const wire::news_request& request) const;
  /// Tells this process from an earlier one at the same address.
  std::uint64_t source() const { return source_; }

  wire::diff_reply diff(const wire::apply_request& request) const;
  wire::status_reply status(time_point now) const;
  wire::audit_reply audit(const wire::audit_request& request) const;
  wire::metrics_reply metrics(time_point now) const;
  wire::sync_reply sync(time_point now, const wire::sync_request& request);

  const raft_node& node() const { return node_; }
  const control_state& state() const { return state_; }
  std::uint64_t applied_index() const { return applied_index_; }
  std::size_t cut_bytes() const { return cut_bytes_; }
  /// Empty for an unknown member.
  std::string address_of(std::uint64_t member) const;

private:
  struct seen_host {
    wire::host_status status;
    time_point seen;
  };
  struct outcome {
    std::uint64_t term = 0;
    wire::operation_result result;
  };

  control_host(storage& files, const control_host_settings& settings, raft_node node,
               random_engine engine);

  /// Steps the node and carries out its effects; returns what it answered.
  raft_effects step(time_point now, raft_event event);
  void carry_out(const raft_effects& effects);
  result<void> persist(const raft_effects& effects);
  void apply_entries(const std::vector<wire::log_entry>& entries);
  void compact_if_due(time_point now);
  submission<wire::apply_reply> propose(time_point now, std::uint64_t wall_ms,
                                        wire::control_command command);
  std::string check(const wire::control_command& command) const;
  wire::apply_reply reply_of(const wire::operation_result& result) const;
  wire::members_reply members_reply_of(bool is_accepted, const std::string& cause) const;
  void add_known_hosts(time_point now, const wire::sync_request& request, wire::sync_reply& reply);
  void forget_silent_hosts(time_point now);
  void maintain_group(time_point now);
  void decode_flows();
  /// The newest declaration that is known to be committed.
  const wire::flow_declaration& committed_declaration() const;

  control_host_settings settings_;
  log_store store_;
  raft_node node_;
  control_state state_;
  random_engine engine_;
  std::uint64_t applied_index_ = 0;
  std::uint64_t entries_since_snapshot_ = 0;
  std::size_t cut_bytes_ = 0;
  /// Results by log index, for tickets; the oldest are dropped.
  std::map<std::uint64_t, outcome> outcomes_;
  std::map<std::uint32_t, seen_host> hosts_;
  std::vector<wire::raft_message> messages_;
  std::vector<std::string> complaints_;
  std::optional<error> fault_;
  std::uint64_t sync_count_ = 0;
  std::uint64_t source_ = 0;
  std::optional<group_policy> group_;
  std::uint64_t group_changes_ = 0;
  wire::versioned_declaration flows_;
  wire::flow_declaration recalled_; ///< in force before this host started
  time_point started_;
  upstream_directory upstreams_;
};

} // namespace zinnia
