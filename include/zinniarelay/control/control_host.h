#pragma once

#include "flow.pb.h"
#include "operator.pb.h"
#include "zinniarelay/control/group_policy.h"
#include "zinniarelay/control/group_size_policy.h"
#include "zinniarelay/control/start_notices.h"
#include "zinniarelay/control/warmup_leases.h"
#include "zinniarelay/core/encoded_contents.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/compact_replies.h"
#include "zinniarelay/flow/declaration_contents.h"
#include "zinniarelay/flow/declaration_history.h"
#include "zinniarelay/flow/evacuated_zones.h"
#include "zinniarelay/flow/load_summary.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/replication/control_state.h"
#include "zinniarelay/replication/log_store.h"
#include "zinniarelay/replication/raft_node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnia {

struct control_host_settings {
  wire::control_member self;
  std::uint64_t cluster = 0;
  std::vector<wire::control_member> founders; ///< used only to found the cluster
  raft_settings raft;
  std::uint64_t compaction_entries = 1'000; ///< applied entries between snapshots, at most
  /// Size of the applied entries between snapshots, at most. The log has to fit the disk twice,
  /// because it is written again after a failed write.
  std::size_t compaction_bytes = 8U << 20U;
  milliseconds status_lifetime{600'000}; ///< an entry host without a report for longer is removed
  std::size_t peers_in_reply = 16;       ///< entry hosts listed in one reply to Sync
  /// Set for a group that forms and repairs itself (docs/design.md R33).
  std::optional<group_settings> group;
  std::vector<std::string> zones; ///< names that operators may evacuate without an upstream in them
  bool has_load_reports = false;  ///< whether load reports of entry hosts are accepted
};

/// The control role: replicated log, applied state, replies to operators and entry hosts,
/// and the statuses that entry hosts report. Not thread-safe.
class control_host {
public:
  /// An operation that waits for its entry to be committed.
  struct ticket {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool is_member_change = false;
  };
  /// Either the reply, or the ticket to poll for the reply with.
  template <class Reply>
  struct submission {
    std::optional<Reply> reply;
    ticket pending;
  };

  /// Founds a cluster: writes identity and founding members into an empty folder.
  /// Fails with error_kind::conflict for a folder in use, error_kind::malformed for
  /// an even number of founders or when this host is not one of them.
  static result<void> initialize(storage& files, const control_host_settings& settings,
                                 random_engine& engine);

  /// Loads the folder. A folder without identity belongs to a new host, which waits to be
  /// added as a learner. Fails with error_kind::conflict when the folder belongs to another
  /// control host or cluster.
  static result<control_host> open(storage& files, const control_host_settings& settings,
                                   random_engine engine, time_point now);

  /// Called at least several times a second. After a longer gap the process was suspended.
  void tick(time_point now);
  void receive(time_point now, wire::raft_message message);

  /// Returns the messages to send since the last call. The state that they depend on is
  /// synced.
  std::vector<wire::raft_message> take_messages();
  /// Returns the warnings to log since the last call.
  std::vector<std::string> take_warnings();
  /// Returns the error of a failed write. The log in memory is then ahead of the disk. The
  /// host does not take part in the group until reopen() succeeds, and continues to serve
  /// the committed state.
  const std::optional<error>& fault() const { return fault_; }
  /// Loads the state of the group from the disk again, as a restart does, and keeps the
  /// upstreams. Fails with error_kind::io while the disk fails, and with another kind when
  /// the folder no longer belongs to this host.
  result<void> reopen(time_point now);

  /// Returns true when an operator's change that this host has applied may be acknowledged: it
  /// then survives as many losses as the group is configured to tolerate (docs/design.md R48).
  /// Every reply that acknowledges a change waits for this, also one to a repeated request.
  bool may_acknowledge() const;

  submission<wire::apply_reply> apply(time_point now, std::uint64_t wall_ms,
                                      const wire::apply_request& request);
  submission<wire::apply_reply> drain(time_point now, std::uint64_t wall_ms,
                                      const wire::drain_request& request);
  submission<wire::members_reply> change_members(time_point now, std::uint64_t wall_ms,
                                                 const wire::members_request& request);

  /// Returns the reply to an operation, or no value while the operation waits for a quorum.
  std::optional<wire::apply_reply> apply_reply_for(const ticket& pending,
                                                   const wire::apply_request& request) const;
  std::optional<wire::apply_reply> drain_reply_for(const ticket& pending) const;
  std::optional<wire::members_reply> members_reply_for(const ticket& pending) const;
  /// Returns the reply when the owner stops waiting; the operation may still be accepted.
  wire::apply_reply unconfirmed_apply() const;
  wire::members_reply unconfirmed_members() const;

  /// Proposes a declaration of packet flows. Accepts without a proposal when a version at least
  /// as high is in force. The calling code has validated the declaration.
  submission<wire::version_reply> apply_version(time_point now, std::uint64_t wall_ms,
                                                const wire::version_request& request);
  std::optional<wire::version_reply> version_reply_for(const ticket& pending) const;
  wire::version_reply unconfirmed_version() const;

  /// Completes an order to evacuate or restore a zone at the time at which this host receives it:
  /// names the state of the zone that the order is based on. A forwarded order is unchanged.
  /// Returns false when this host was suspended and the order may be older than the state.
  bool receive_evacuation(time_point now, wire::evacuation_request& request) const;
  /// Proposes an order that receive_evacuation() has completed. An order for an unknown zone is
  /// refused as invalid. The reply to the ticket is evacuation_reply_for().
  submission<wire::apply_reply> evacuate(time_point now, std::uint64_t wall_ms,
                                         const wire::evacuation_request& request);
  std::optional<wire::apply_reply> evacuation_reply_for(const ticket& pending) const;
  /// Returns the reply when the owner stops waiting; the order may still be accepted.
  wire::apply_reply unconfirmed_evacuation() const;
  /// Returns the evacuations that this host knows to be committed.
  const evacuated_zones& evacuations() const { return evacuations_; }
  /// Returns the zones evacuated and restored since the last call.
  std::vector<evacuated_zones::change> take_zone_changes();
  /// Returns the known zones with their evacuations and upstreams.
  wire::zones_reply zones() const;

  /// A read that waits for a quorum to confirm the leader; `index` covers every entry that
  /// was acknowledged before the read.
  struct read_ticket {
    std::uint64_t round = 0;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
  };
  /// Starts a read. Returns no value when this host is not the leader or is not yet confirmed.
  std::optional<read_ticket> begin_read(time_point now);
  /// Returns no value while the read waits for a quorum. The reply is not confirmed when this
  /// host has lost its leadership or its disk has failed.
  std::optional<wire::read_reply> read_reply_for(const read_ticket& pending) const;

  /// Returns the declaration of packet flows that this host has applied; version 0 for none.
  const wire::versioned_declaration& flows() const { return flows_; }

  /// Restores the view that this host saved before its restart. The host serves the view
  /// to entry hosts until its first contact with a quorum (docs/design.md R39).
  void restore_view(time_point now, wire::recalled_view view);
  /// Returns the view to save for restoration after a restart; `wall_ms` is the Unix time.
  wire::recalled_view current_view(time_point now, std::uint64_t wall_ms) const;
  /// Identifies the content of current_view(): differs when the content has changed.
  struct view_position {
    std::uint64_t version = 0;
    std::uint64_t upstreams = 0;
    std::uint64_t evacuations = 0;

    friend bool operator==(const view_position&, const view_position&) = default;
  };
  view_position current_view_position() const;

  /// Handles the request of a host outside the group to join.
  wire::join_reply join(time_point now, const wire::join_request& request);
  /// Returns the request to join the group if this host has to send one. Returns no value when
  /// the host is the leader or in contact with a quorum, or when settings.group is not set.
  std::optional<wire::join_request> join_request_due(time_point now) const;
  /// Returns the addresses of all members, those in the preferred zone first.
  std::vector<std::string> member_addresses(std::uint32_t preferred_zone) const;

  /// Merges a report that an upstream sent to this host; `wall_ms` is the Unix time, from which the
  /// warm-up of an upstream that states none is computed. 0: it is unknown.
  upstream_directory::merge_result merge_report(time_point now, const upstream_report& value,
                                                std::uint64_t wall_ms = 0);
  const upstream_directory& upstreams() const { return upstreams_; }
  /// The entry hosts that get a notice when this host starts; saved with the view.
  start_notices& notices() { return notices_; }
  /// Merges the upstreams that another control host replicates to this one.
  wire::spread_reply merge_replicated(time_point now, const wire::spread_request& request);
  /// Upstreams to replicate to another control host, which then has all updates up to `position`.
  struct replication {
    wire::spread_request request;
    std::uint64_t position = 0;
  };
  /// Returns the first upstreams to replicate, of all or of the changes since a position, in a
  /// request of bounded size.
  replication replication_since(std::uint64_t position, bool is_complete) const;
  /// Returns the updates that an entry host does not have yet; `received` is when its request
  /// arrived.
  wire::news_reply updates(time_point now, const wire::news_request& request, time_point received);
  wire::news_reply updates(time_point now, const wire::news_request& request) {
    return updates(now, request, now);
  }
  /// Returns true when the reply to an entry host must not be delayed: it lacks a change of
  /// content, or all updates of this process. A request that requires a quorum waits for one.
  bool has_urgent_update(time_point now, const wire::news_request& request) const;
  /// Grants warm-up leases as the leader, once a quorum has confirmed a read that began after the
  /// request arrived. Otherwise the reply has no grants.
  wire::grant_reply grant_warmup(time_point now, const read_ticket& pending,
                                 const wire::grant_request& request);
  /// Returns the request for warm-up leases if this host has to send one to the leader.
  std::optional<wire::grant_request> warmup_request_due(time_point now);
  /// Records the reply to a request for warm-up leases; `requested` is when the request was sent.
  void record_warmup_grants(time_point requested, const wire::grant_reply& reply);
  /// Makes the upstreams of a zone cold from now on for the warm-up of their services; to be called
  /// when the evacuation of the zone has ended.
  void count_zone_as_cold(time_point now, const std::string& zone);
  struct warmup_status {
    std::size_t cold_upstreams = 0;
    std::size_t entry_leases = 0;   ///< granted to entry hosts
    std::size_t control_leases = 0; ///< granted to control hosts, as the leader
    std::uint64_t granted = 0;      ///< grants and renewals, as the leader
    std::uint64_t refused = 0;      ///< requests for an upstream that another host holds
  };
  warmup_status warmup(time_point now) const;

  /// Records a load report that an entry host sent from an address (docs/design/load-reports.md).
  /// Ignored without has_load_reports.
  void record_load(time_point now, const endpoint& from, const wire::flow_load& report);
  const load_summary& loads() const { return loads_; }
  /// Returns the upstreams that have become suspect since the last call.
  std::vector<std::uint64_t> take_new_suspects() { return loads_.take_new_suspects(); }
  /// Returns a random number that distinguishes this process from an earlier one at the same
  /// address.
  std::uint64_t source() const { return source_; }

  /// Returns how a declaration differs from the applied configuration.
  wire::diff_reply diff(const wire::apply_request& request) const;
  wire::status_reply status(time_point now) const;
  wire::audit_reply audit(const wire::audit_request& request) const;
  wire::metrics_reply metrics(time_point now) const;
  /// Records the status of an entry host. Returns the changes of the configuration that the
  /// host does not have yet, and a sample of the other entry hosts.
  wire::sync_reply sync(time_point now, const wire::sync_request& request);

  const raft_node& node() const { return node_; }
  const control_state& state() const { return state_; }
  std::uint64_t applied_index() const { return applied_index_; }
  std::size_t truncated_bytes() const { return truncated_bytes_; }
  /// Returns an empty string for an unknown member.
  std::string address_of(std::uint64_t member) const;

private:
  struct reported_host {
    wire::host_status status;
    time_point last_report;
  };
  struct outcome {
    std::uint64_t term = 0;
    wire::operation_result result;
  };

  control_host(storage& files, const control_host_settings& settings, raft_node node,
               random_engine engine);

  /// Steps the node, executes its effects and returns them.
  raft_effects step(time_point now, raft_event event);
  void execute(const raft_effects& effects);
  result<void> persist(const raft_effects& effects);
  void apply_entries(const std::vector<wire::log_entry>& entries);
  void compact_if_due(time_point now);
  submission<wire::apply_reply> propose(time_point now, std::uint64_t wall_ms,
                                        wire::control_command command);
  /// Returns why a command must not be proposed, or an empty string.
  std::string check(const wire::control_command& command) const;
  std::string unconfirmed_cause() const;
  wire::apply_reply build_apply_reply(const wire::operation_result& result) const;
  wire::members_reply build_members_reply(bool is_accepted, const std::string& cause) const;
  void add_changes(time_point now, const wire::sync_request& request, wire::sync_reply& reply);
  void add_peer_hosts(time_point now, const wire::sync_request& request, wire::sync_reply& reply);
  void expire_hosts(time_point now);
  void maintain_group(time_point now);
  void decode_flows();
  /// Adds the upstreams that the entry host lacks, at most a page where it accepts parts.
  void add_upstreams(time_point now, const wire::news_request& request, wire::news_reply& reply);
  /// Adds which upstreams have reported in time.
  void add_liveness(time_point now, const wire::news_request& request, wire::news_reply& reply);
  /// Adds the committed declaration, as a part or a change where the entry host accepts one.
  void add_declaration(time_point now, const wire::news_request& request, wire::news_reply& reply);
  /// Puts the newest committed evacuations in force.
  void update_evacuations(time_point now, const wire::zone_evacuations& committed);
  /// Adds the evacuations if the entry host lacks them.
  void add_evacuations(time_point now, const wire::news_request& request,
                       wire::news_reply& reply) const;
  /// Returns the evacuations after all entries of the log, of which some may not be committed.
  wire::zone_evacuations logged_evacuations() const;
  bool lacks_evacuations(const wire::news_request& request) const;
  bool is_known_zone(const std::string& zone) const;
  /// Puts the warm-up limits of the committed declaration in force.
  void follow_limits();
  void maintain_warmup(time_point now);
  /// Begins the wait of a new leader before its first grant.
  void observe_leadership(time_point now);
  /// Adds the warm-up leases of an entry host.
  void add_warmup_grants(time_point now, const wire::news_request& request, time_point received,
                         wire::news_reply& reply);
  bool has_new_grant(const wire::news_request& request) const;
  /// Returns true when the entry host lacks a suspect upstream.
  bool has_urgent_suspects(time_point now, const wire::news_request& request) const;
  void add_load_metrics(time_point now, wire::metrics_reply& out) const;
  /// Adds the suspect upstreams and the sums of the load reports.
  void add_loads(time_point now, const wire::news_request& request, wire::news_reply& reply);
  bool has_quorum(time_point now) const;
  /// Whether this host serves its restored view until its first contact with a quorum.
  bool serves_restored_view(time_point now) const;
  /// Returns the newest declaration that this host knows to be committed.
  const wire::flow_declaration& committed_declaration() const;

  control_host_settings settings_;
  log_store store_;
  raft_node node_;
  control_state state_;
  random_engine engine_;
  std::uint64_t applied_index_ = 0;
  std::uint64_t entries_since_snapshot_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
  std::size_t truncated_bytes_ = 0;
  /// Results by log index, for tickets; limited to the latest ones.
  std::map<std::uint64_t, outcome> outcomes_;
  std::map<std::uint32_t, reported_host> hosts_;
  std::vector<wire::raft_message> messages_;
  std::vector<std::string> warnings_;
  std::optional<error> fault_;
  std::uint64_t sync_count_ = 0;
  encoded_contents configuration_contents_;
  std::uint64_t source_ = 0;
  std::optional<group_policy> group_;
  std::optional<group_size_policy> group_size_;
  std::uint64_t group_changes_ = 0;
  wire::versioned_declaration flows_;
  declaration_history history_;
  wire::flow_declaration restored_declaration_; ///< from the restored view
  evacuated_zones evacuations_;
  wire::zone_evacuations logged_evacuations_; ///< at the start of this host
  std::vector<evacuated_zones::change> zone_changes_;
  time_point started_;
  upstream_directory upstreams_;
  start_notices notices_;
  load_summary loads_;
  compact_replies compact_replies_;
  declaration_contents declaration_contents_;
  struct {
    time_point built;
    milliseconds overdue_after{0};
    std::optional<wire::upstream_liveness> content;
  } liveness_; ///< in the last replies
  std::optional<time_point> last_tick_;
  time_point next_expiry_;            ///< when the upstreams without reports are removed next
  std::optional<time_point> resumed_; ///< end of the last suspension
  struct own_lease {
    double rate = 0;
    time_point expires;
  };
  std::uint64_t limits_version_ = 0; ///< of the declaration whose warm-up limits are in force
  std::uint64_t granting_term_ = 0;  ///< the last term in which this host was the leader
  time_point granting_from_;         ///< when its first grant in this term is permitted
  warmup_leases control_leases_;     ///< granted to control hosts, as the leader
  std::map<std::uint64_t, own_lease> own_leases_; ///< granted to this host, by incarnation
  warmup_leases entry_leases_;                    ///< granted to entry hosts
  std::set<std::uint64_t> eligible_entry_hosts_;  ///< that could get another lease now
  std::set<std::uint64_t> full_entry_hosts_;      ///< that get as many leases as a reply contains
  std::set<std::uint64_t> last_requested_;        ///< incarnations
  time_point next_warmup_request_;
  struct {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
  } warmup_counts_;
};

} // namespace zinnia
