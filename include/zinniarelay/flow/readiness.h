#pragma once

#include "zinniarelay/core/time.h"

#include <optional>

namespace zinnia {

/// How sure a control host is that its declaration is the newest.
enum class declaration_trust {
  confirmed,  ///< it hears from a quorum
  recalled,   ///< it has just started and knows what was committed before
  unconfirmed ///< it has lost its quorum
};

/// Decides when an entry host takes packets and when a stopping one may end. Once
/// ready it stays so until it stops: each change moves the flows of a whole zone.
class readiness {
public:
  struct settings {
    /// Without a control host that has a quorum, an unconfirmed declaration is used
    /// after this time, so that a cut-off zone serves what it can.
    milliseconds unconfirmed_after{3'000};
    /// Callers' packets arrive for this long after the host says that it stops.
    milliseconds rotation{1'600};
    /// A stopping host without packets for this long is out of rotation.
    milliseconds quiet{400};
    /// The forced end comes after this.
    milliseconds grace{5'000};
  };

  readiness(const settings& values, time_point started) : values_(values), started_(started) {}

  /// True when a declaration of a control host may be put in force.
  bool is_acceptable(time_point now, declaration_trust trust, bool has_declaration) const;
  void set_serving(bool has_declaration, bool has_upstreams);
  void stop(time_point now);

  bool is_ready() const { return is_serving_ && !stopped_; }
  bool is_stopping() const { return stopped_.has_value(); }
  bool may_end(time_point now, time_point last_packet) const;

private:
  settings values_;
  time_point started_;
  bool is_serving_ = false;
  std::optional<time_point> stopped_;
};

} // namespace zinnia
