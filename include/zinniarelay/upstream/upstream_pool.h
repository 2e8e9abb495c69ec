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

/// An upstream as operators and the load summary see it.
struct upstream_view {
  service_id service;
  incarnation_id incarnation;
  endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t usable_slots = 0;
  std::uint32_t outstanding = 0;
  std::string_view state; ///< serving, unhealthy, silent, draining, leaving, expired or superseded
};

/// The upstreams whose dispatching host this is: their leases, slots, health and connections.
/// Call tick at least every 100 ms.
class upstream_pool {
public:
  explicit upstream_pool(upstream_settings settings, std::uint64_t seed);

  announcement_answer on_announcement(time_point now, const upstream_announcement& said);

  /// The upstreams that operators have asked to drain; replaces those given before.
  void set_drains(const std::vector<incarnation_id>& upstreams);

  /// Takes a free slot of an upstream with a lease. The lease is checked here, so
  /// the call must start at once.
  std::optional<upstream_slot> acquire(time_point now, service_id service);

  /// Gives a slot back; held is the time that the call ran.
  void release(time_point now, const upstream_slot& slot, call_result result, microseconds held);

  /// Connections to open, probe, replace or close.
  std::vector<connection_action> tick(time_point now);

  void on_probe_result(time_point now, incarnation_id upstream, std::uint64_t connection,
                       probe_result result);

  /// Slots that acquire would give now.
  std::uint32_t free_slots(time_point now, service_id service) const;
  /// Slots of upstreams that may get work now, in use or free.
  std::uint32_t usable_slots(time_point now, service_id service) const;
  /// Slots in use.
  std::uint32_t outstanding(service_id service) const;
  /// Mean time that a call holds a slot; 0 before the first completed call.
  microseconds service_time(service_id service) const;
  /// Services with an upstream.
  std::vector<service_id> services() const;
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
    std::uint32_t failures_in_row = 0;
    std::uint32_t refusals_in_row = 0;
    time_point paused_until; ///< gets no work after a refusal until then
    bool is_leaving = false;
    bool is_superseded = false;
    bool is_reported_unhealthy = false;
    bool is_probe_healthy = true;
    bool has_echoed = false;
    time_point lease_until;
    std::optional<time_point> last_call;
    std::optional<time_point> last_probe;
    std::uint64_t mark = 0;      ///< last lease mark sent
    std::uint64_t last_mark = 0; ///< the one before, whose echo may still be under way
    time_point mark_sent;
    time_point last_mark_sent;
    std::uint64_t last_used = 0;
    connection_state connection;
  };
  struct service_state {
    std::vector<incarnation_id> upstreams;
    double service_time = 0; ///< microseconds, exponentially weighted
  };

  void notice_time(time_point now);
  void grant_lease(time_point now, upstream& it, const upstream_announcement& said);
  void supersede_others(const upstream_announcement& said);
  std::uint32_t usable_slots(const upstream& it) const;
  bool has_permission(time_point now, const upstream& it) const;
  enum class health : std::uint8_t { healthy, doubtful, unhealthy };
  health health_of(time_point now, const upstream& it) const;
  bool is_connected(const upstream& it) const;
  bool is_distrusted(time_point now, const service_state& service) const;
  template <class Visitor>
  void for_each_usable(time_point now, service_id service, Visitor visit) const;
  void check_connection(time_point now, upstream& it, std::vector<connection_action>& out);
  bool is_finished(time_point now, const upstream& it) const;
  void retire(incarnation_id id);

  upstream_settings settings_;
  std::uint64_t mark_state_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t uses_ = 0;
  std::map<incarnation_id, upstream> upstreams_;
  std::map<service_id, service_state> services_;
  std::unordered_set<incarnation_id> drains_;
  std::deque<incarnation_id> retired_;
  std::unordered_set<incarnation_id> retired_index_;
  std::optional<time_point> last_call_;
  time_point quarantine_until_{};
};

} // namespace zinnia
