#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/evacuated_zones.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/load_reporter.h"
#include "zinniarelay/flow/packet_head.h"
#include "zinniarelay/flow/route_table.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/upstream_selector.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

struct flow_router_settings {
  upstream_selector_settings selection;
  /// After a suspension of the process, opening packets are dropped until an update that was
  /// requested since then has arrived, at most for this long.
  milliseconds outdated_view_timeout{1'500};
  /// Set when this host exchanges load reports with the control hosts.
  std::optional<load_reporter::identity> load_reports;
};

/// The decision on one packet.
struct flow_decision {
  enum class action_type {
    forward,
    reset,
    drop,
    hold, ///< decide again when an update of a control host has arrived
  };
  /// Why the action was chosen; each reason has a counter.
  enum class reason_type {
    opened,       ///< a new flow was placed
    reopened,     ///< repeated opening packet, sent to the same upstream
    moved,        ///< repeated opening packet, sent to another upstream
    routed,       ///< packet of an open flow, routed by its tag
    no_route,     ///< the declaration has no route with this address
    no_upstream,  ///< no ready upstream of the service is known
    unknown_tag,  ///< the tag does not name a known upstream
    not_a_caller, ///< a packet that only upstreams send
    not_ready,    ///< no declaration or upstreams yet, or no such route in an unconfirmed one
    outdated,     ///< no update since a suspension of the process
    cold,         ///< no token for a cold upstream
  };
  static constexpr std::size_t reason_count = 11;

  action_type action = action_type::drop;
  reason_type reason = reason_type::not_ready;
  endpoint destination;                     ///< forward: the upstream's address
  const std::string* upstream_id = nullptr; ///< forward: valid until the next call
  std::uint32_t route_tag = 0;              ///< forward: written into the packet
  /// Time since the opening; set for the first packet that shows that the caller has an answer.
  std::optional<milliseconds> answered_after = std::nullopt;
  /// forward: the upstream's zone when it is not the zone of this host; valid until the next call
  const std::string* other_zone = nullptr;
};

/// Returns the reason as used in logs and metrics, for instance "no_route".
const char* name_of(flow_decision::reason_type reason);

/// Decides on each packet of a caller. A packet of an open flow is routed by its tag
/// alone, so any host can forward any packet. Only opening packets depend on the
/// declaration and on load.
class flow_router {
public:
  flow_router(flow_router_settings settings, random_engine engine)
      : settings_(std::move(settings)), selector_(settings_.selection, engine) {
    if (settings_.load_reports)
      load_reporter_.emplace(*settings_.load_reports, random_engine(engine()));
  }

  /// Decides on a packet that arrived from a caller, and counts the decision by its reason.
  flow_decision route(time_point now, const packet_head& head);

  /// Records the warm-up grants of a reply; `requested` is when the request was sent.
  void record_grants(time_point requested, const wire::news_reply& reply);
  /// Records whether an update is from a restored view, whose upstreams may be earlier
  /// incarnations.
  void record_origin(time_point now, const wire::news_reply& reply);
  /// Makes the upstreams of a zone cold from now on for the warm-up of their services.
  void count_zone_as_cold(time_point now, const std::string& zone) {
    upstreams_.count_zone_as_cold(now, zone);
  }

  /// Puts a declaration in force. Returns false and changes nothing when it is not newer.
  bool apply(const wire::flow_declaration& declaration);
  /// Puts a change of the declaration in force. Fails and changes nothing as route_table::apply().
  result<void> apply(const wire::flow_declaration_change& change);
  /// Puts evacuations of zones in force: from now on no flow is opened in such a zone. Returns the
  /// zones that changed; none when a version at least as high is in force.
  std::vector<evacuated_zones::change> apply(time_point now,
                                             const wire::zone_evacuations& evacuations);
  /// Records that a control host in contact with a quorum knows of no newer declaration than this
  /// version. From the time that it is in force, a route that it does not have does not exist.
  void confirm(std::uint64_t version = 0);
  /// Whether an update leaves out upstreams that the control host has.
  enum class update_extent { complete, partial };
  /// Merges an update from a control host. Returns true when the directory's content changed. Until
  /// the first complete one, a service without a known upstream may have some.
  bool merge_update(time_point now, const wire::upstream_news& update,
                    update_extent extent = update_extent::complete);
  /// Begins a list of all upstreams, from a process of a control host; updates that are merged from
  /// now on belong to it.
  void begin_list(std::uint64_t source);
  /// Records which upstreams of the list have reported to a control host, by the account of a
  /// process. Ignored when the list is from another process.
  void record_liveness(time_point now, std::uint64_t source,
                       const wire::upstream_liveness& liveness);
  /// Returns true when all upstreams of a control host are known, and there are any.
  bool has_upstreams() const { return is_list_complete_ && upstreams_.size() > 0; }
  /// Records that the process did not run until now: upstreams may have left meanwhile.
  void record_suspension(time_point now) {
    resumed_ = now;
    selector_.begin_uncertainty();
  }
  /// Records that the last merged update was requested at this time.
  void record_update_request(time_point requested);
  /// Removes idle flows and expired upstreams, at most every 100 ms.
  void tick(time_point now);

  upstream_selector& selector() { return selector_; }
  const upstream_selector& selector() const { return selector_; }
  const route_table& routes() const { return routes_; }
  const upstream_directory& upstreams() const { return upstreams_; }
  const flow_table& flows() const { return flows_; }
  const evacuated_zones& evacuations() const { return evacuations_; }
  /// Returns the number of openings for which upstreams of evacuated zones were left out.
  std::uint64_t openings_kept_away() const { return selector_.kept_away(); }
  std::uint64_t count_of(flow_decision::reason_type reason) const;

  /// Uses the suspects, only when this host sends load reports, and the sums of a control host's
  /// reply (docs/design/load-reports.md).
  void apply_loads(time_point now, const wire::news_reply& reply);
  /// Returns the load report to send to the control hosts now; no value when none is due.
  std::optional<wire::flow_load> take_due_load(time_point now);

private:
  /// Decides on an opening packet.
  flow_decision open_flow(time_point now, const packet_head& head);
  /// Returns true when a flow may be opened at an upstream.
  bool accepts_flows(const upstream_directory::entry& upstream) const;
  static bool is_opening(time_point now, const flow_table::flow& flow);
  bool is_outdated(time_point now) const;
  /// Returns true when the declaration in force is at least as new as one that a quorum confirmed.
  bool is_confirmed() const {
    return confirmed_version_ && routes_.version() >= *confirmed_version_;
  }
  /// Decides on a packet of an open flow.
  flow_decision route_open_flow(time_point now, const packet_head& head);
  flow_decision forward(const upstream_directory::entry& to, flow_decision::reason_type why) const;
  flow_router_settings settings_;
  route_table routes_;
  upstream_directory upstreams_;
  flow_table flows_;
  evacuated_zones evacuations_;
  upstream_selector selector_;
  std::optional<load_reporter> load_reporter_;
  bool is_list_complete_ = false;
  std::uint64_t list_source_ = 0; ///< process whose list of upstreams was merged last
  bool is_last_update_complete_ = false;
  std::optional<std::uint64_t> confirmed_version_;
  bool is_view_restored_ = false;     ///< and no other update has arrived since
  time_point restored_view_ended_;    ///< end of the uncertainty about a restored view
  std::optional<time_point> resumed_; ///< end of a suspension; unset after an update since then
  time_point next_expiry_;
  std::array<std::uint64_t, flow_decision::reason_count> counts_{};
};

} // namespace zinnia
