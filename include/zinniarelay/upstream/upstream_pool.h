#pragma once

#include "zinniarelay/membership/host_load.h"
#include "zinniarelay/upstream/connection_action.h"
#include "zinniarelay/upstream/upstream_announcement.h"
#include "zinniarelay/upstream/upstream_settings.h"
#include "zinniarelay/upstream/upstream_slot.h"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace zinnia {

/// The state of an upstream for operators and for the load summary.
struct upstream_view {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t usable_slots = 0;
  std::uint32_t outstanding = 0;
  std::string_view state; ///< serving, unhealthy, silent, draining, leaving, expired or superseded
};

/// The leases, slots, health and connections of the upstreams whose dispatching host this is.
/// tick must be called at least every 100 ms.
class upstream_pool {
public:
  explicit upstream_pool(upstream_settings settings, std::uint64_t seed);

  /// Handles a renewal: adds the upstream when it is new, and renews its lease.
  announcement_reply on_announcement(time_point now, const upstream_announcement& announcement);

  /// Sets the upstreams that operators have requested to drain; replaces the previous list.
  void set_drains(const std::vector<incarnation_id>& upstreams);

  /// Acquires a free slot of an upstream with a lease. Empty when there is none. The lease is
  /// checked only here, so the call must start immediately.
  std::optional<upstream_slot> acquire(time_point now, service_id service);

  /// Releases a slot and records how the call ended; duration is the time that the call ran.
  void release(time_point now, const upstream_slot& slot, call_result result,
               microseconds duration);

  /// Returns the connections to open, probe, replace or close. Removes upstreams
  /// without running calls that are superseded or whose lease expired removal_delay ago.
  std::vector<connection_action> tick(time_point now);

  /// Records the result of a probe. A result for a replaced connection is ignored.
  void on_probe_result(time_point now, incarnation_id upstream, std::uint64_t connection,
                       probe_result result);

  /// Returns the number of slots that acquire can hand out now.
  std::uint32_t free_slots(time_point now, service_id service) const;
  /// Returns the number of slots, in use or free, of upstreams that may get calls now.
  std::uint32_t usable_slots(time_point now, service_id service) const;
  /// Returns the number of slots in use.
  std::uint32_t outstanding(service_id service) const;
  /// Returns the mean duration of a call on a slot; 0 before the first completed call.
  microseconds service_time(service_id service) const;
  /// Returns the services that have an upstream.
  std::vector<service_id> services() const;
  /// Returns the state of every upstream, ordered by incarnation.
  std::vector<upstream_view> upstreams(time_point now) const;

private:
  struct connection_state {
    std::uint64_t number = 0; ///< 0 until opened
    time_point next_probe;
    std::optional<time_point> probe_sent;
    time_point last_progress;
    unsigned failed_probes = 0;
  };
  struct upstream {
    service_id service;
    incarnation_id incarnation;
    endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t completed = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_refusals = 0;
    time_point paused_until; ///< gets no calls until then, after a refusal
    bool is_leaving = false;
    bool is_superseded = false;
    bool is_reported_unhealthy = false;
    bool is_probe_healthy = true;
    bool has_echoed = false; ///< a renewal contained a lease echo
    time_point lease_until;
    std::optional<time_point> last_call_result;
    std::optional<time_point> last_probe_result;
    std::uint64_t mark = 0;          ///< the latest lease mark sent
    std::uint64_t previous_mark = 0; ///< its echo may still arrive
    time_point mark_sent;
    time_point previous_mark_sent;
    std::uint64_t last_used = 0; ///< value of acquisitions_ at the last acquire
    connection_state connection;
  };
  struct service_state {
    std::vector<incarnation_id> upstreams;
    double service_time = 0; ///< microseconds, exponentially weighted
  };

  void detect_freeze(time_point now);
  void grant_lease(time_point now, upstream& renewed, const upstream_announcement& announcement);
  void supersede_others(const upstream_announcement& announcement);
  std::uint32_t usable_slots(const upstream& candidate) const;
  bool may_dispatch(time_point now, const upstream& candidate) const;
  enum class health : std::uint8_t { healthy, suspect, unhealthy };
  health health_of(time_point now, const upstream& candidate) const;
  bool is_connected(const upstream& candidate) const;
  bool is_health_ignored(time_point now, const service_state& service) const;
  template <class Visitor>
  void for_each_usable(time_point now, service_id service, Visitor visit) const;
  void check_connection(time_point now, upstream& checked, std::vector<connection_action>& out);
  bool is_removable(time_point now, const upstream& candidate) const;
  void record_superseded(incarnation_id id);

  upstream_settings settings_;
  std::uint64_t mark_state_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t acquisitions_ = 0;
  std::map<incarnation_id, upstream> upstreams_;
  std::map<service_id, service_state> services_;
  std::unordered_set<incarnation_id> drain_requests_;
  std::deque<incarnation_id> superseded_; ///< oldest first
  std::unordered_set<incarnation_id> superseded_index_;
  std::optional<time_point> last_run_; ///< when this pool was last called
  time_point quarantine_until_{};
};

} // namespace zinnia
