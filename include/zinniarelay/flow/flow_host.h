#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_router.h"
#include "zinniarelay/flow/held_packets.h"
#include "zinniarelay/flow/packet_head.h"
#include "zinniarelay/flow/readiness.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace zinnia {

struct flow_host_settings {
  flow_router_settings router;
  readiness::settings rotation;
};

/// Returns how far the declaration of a reply is known to be the newest.
declaration_trust trust_of(const wire::news_reply& reply);
/// Returns the value as used in logs, for instance "confirmed".
const char* name_of(declaration_trust value);

/// The role of an entry host of packet flows: decides on the packets of callers, puts the updates
/// of control hosts in force, and decides when the host is ready and when it may exit. Not
/// thread-safe.
class flow_host {
public:
  flow_host(const flow_host_settings& settings, random_engine engine, time_point started)
      : router_(settings.router, engine), readiness_(settings.rotation, started),
        last_update_(started), in_force_since_(started) {}

  /// Decides on a packet that arrived from a caller. Holds a copy of the packet when the decision
  /// has to wait for an update.
  flow_decision handle(time_point now, const packet_head& head, std::span<const std::byte> bytes);
  /// Removes and returns the held packets. The owner calls handle() for each of them with the time
  /// of its arrival, so that a packet which still has to wait does so for the rest of its time.
  std::vector<held_packets::packet> take_held(time_point now) {
    last_release_ = now;
    return held_.take(now);
  }
  /// Returns true when a held packet may get the token of a cold upstream.
  bool may_release_held(time_point now) const;
  /// Returns true when the next request asks for warm-up grants.
  bool wants_grants(time_point now) const;
  /// Makes the upstreams of a zone cold from now on for the warm-up of their services; to be called
  /// when the evacuation of the zone has ended.
  void count_zone_as_cold(time_point now, const std::string& zone) {
    router_.count_zone_as_cold(now, zone);
  }

  /// What an update changed.
  struct update_result {
    bool is_declaration_new = false;            ///< another version is in force
    std::optional<error> refusal;               ///< why a change of the declaration was not applied
    std::vector<evacuated_zones::change> zones; ///< evacuated and restored
  };
  /// Puts a reply of a control host in force; `requested` is when the request was sent.
  update_result apply(time_point now, const wire::news_reply& reply, time_point requested);
  /// Returns the version of the declaration that the next request names; 0 requests a complete one.
  std::uint64_t requested_version() const {
    return needs_complete_declaration_ ? 0 : router_.routes().version();
  }

  /// Returns the version of the evacuations that the next request names.
  std::uint64_t evacuations_version() const { return router_.evacuations().version(); }

  /// Records that the process runs. Returns the time for which it did not run, if it was suspended.
  std::optional<milliseconds> record_iteration(time_point now);
  /// Removes idle flows and expired upstreams.
  void tick(time_point now) { router_.tick(now); }
  /// Returns the load report to send to the control hosts now; no value when none is due.
  std::optional<wire::flow_load> take_due_load(time_point now) {
    return router_.take_due_load(now);
  }
  /// Makes the host not ready and starts the delays before its exit.
  void stop(time_point now) { readiness_.stop(now); }

  /// Removes and returns the starts and ends of cross-zone spillover since the last call.
  std::vector<spillover_policy::change> take_spillover_changes() {
    return router_.selector().take_spillover_changes();
  }

  bool is_ready() const { return readiness_.is_ready(); }
  bool is_stopping() const { return readiness_.is_stopping(); }
  /// Returns true when a stopping host is out of rotation or its grace period has passed.
  bool may_exit(time_point now) const { return readiness_.may_exit(now, last_packet_); }

  const flow_router& router() const { return router_; }
  const held_packets& held() const { return held_; }
  /// Time of the last update; the start of this host before the first.
  time_point last_update() const { return last_update_; }
  /// Time since which the declaration is in force; the start of this host before the first.
  time_point in_force_since() const { return in_force_since_; }

private:
  /// Returns true when enough packets wait for tokens already.
  bool is_token_queue_full() const;
  void apply_declaration(time_point now, const wire::news_reply& reply, update_result& out);
  void apply_change(const wire::flow_declaration_change& change, update_result& out);

  flow_router router_;
  held_packets held_;
  time_point last_release_;
  readiness readiness_;
  bool needs_complete_declaration_ = false; ///< a change led to another declaration
  time_point last_packet_;
  std::optional<time_point> last_iteration_;
  time_point last_update_;
  time_point in_force_since_;
};

} // namespace zinnia
