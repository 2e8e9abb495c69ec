#pragma once

#include "zinniarelay/core/time.h"

#include <optional>

namespace zinnia {

/// Whether a control host's declaration is known to be the newest.
enum class declaration_trust {
  confirmed,  ///< the control host is in contact with a quorum
  restored,   ///< the control host has just started; the declaration was committed before
  unconfirmed ///< the control host has lost its quorum
};

/// Decides when an entry host accepts packets and when a stopping one may exit. A ready host
/// stays ready until it stops, because each change of readiness moves the flows of a whole zone.
class readiness {
public:
  struct settings {
    /// An unconfirmed declaration is accepted this long after the start, when no control host
    /// with a quorum was reached. A partitioned zone then still serves.
    milliseconds unconfirmed_after{3'000};
    /// Packets of callers keep arriving for this long after the host reports not ready.
    milliseconds rotation_delay{1'600};
    /// A stopping host is out of rotation when no packet arrived for this long.
    milliseconds quiet_period{400};
    /// A stopping host exits after this time, even if packets still arrive.
    milliseconds grace_period{5'000};
  };

  readiness(const settings& values, time_point started) : settings_(values), started_(started) {}

  /// Returns true when a declaration of a control host may be put in force.
  bool is_acceptable(time_point now, declaration_trust trust, bool has_declaration) const;
  /// Makes the host ready once it has both a declaration and upstreams.
  void set_serving(bool has_declaration, bool has_upstreams);
  /// Makes the host not ready and starts the delays before its exit.
  void stop(time_point now);

  bool is_ready() const { return is_serving_ && !stop_requested_; }
  bool is_stopping() const { return stop_requested_.has_value(); }
  /// Returns true when a stopping host is out of rotation or its grace period has passed.
  bool may_exit(time_point now, time_point last_packet) const;

private:
  settings settings_;
  time_point started_;
  bool is_serving_ = false;
  std::optional<time_point> stop_requested_;
};

} // namespace zinnia
