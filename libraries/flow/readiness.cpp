#include "zinniarelay/flow/readiness.h"

namespace zinnia {

// A host that has a declaration may accept any newer one, because control hosts send only
// committed ones. A host without a declaration could receive an old one from a partitioned
// control host, and would serve by it while the other hosts use a newer one. A restored
// declaration was in force until the control host stopped; it is accepted because waiting for
// a quorum after a loss of all power would cost callers the time of an election.
bool readiness::is_acceptable(time_point now, declaration_trust trust, bool has_declaration) const {
  return trust != declaration_trust::unconfirmed || has_declaration ||
         now - started_ > settings_.unconfirmed_after;
}

void readiness::set_serving(bool has_declaration, bool has_upstreams) {
  is_serving_ = is_serving_ || (has_declaration && has_upstreams);
}

void readiness::stop(time_point now) {
  if (!stop_requested_) stop_requested_ = now;
}

bool readiness::may_exit(time_point now, time_point last_packet) const {
  if (!stop_requested_) return false;
  const auto elapsed = now - *stop_requested_;
  return elapsed > settings_.grace_period ||
         (elapsed > settings_.rotation_delay && now - last_packet > settings_.quiet_period);
}

} // namespace zinnia
