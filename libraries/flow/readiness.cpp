#include "zinniarelay/flow/readiness.h"

namespace zinnia {

// A host that has a declaration may take any newer one: it is committed wherever it
// comes from. A host that has none could take an old one from a control host that
// is cut off, and would then serve by it while the others have moved on. What a
// control host recalls that has just started was in force until then; waiting for a
// quorum after a loss of all power would cost callers the time of an election.
bool readiness::is_acceptable(time_point now, declaration_trust trust, bool has_declaration) const {
  return trust != declaration_trust::unconfirmed || has_declaration ||
         now - started_ > values_.unconfirmed_after;
}

void readiness::set_serving(bool has_declaration, bool has_upstreams) {
  is_serving_ = is_serving_ || (has_declaration && has_upstreams);
}

void readiness::stop(time_point now) {
  if (!stopped_) stopped_ = now;
}

bool readiness::may_end(time_point now, time_point last_packet) const {
  if (!stopped_) return false;
  const auto waited = now - *stopped_;
  return waited > values_.grace || (waited > values_.rotation && now - last_packet > values_.quiet);
}

} // namespace zinnia
