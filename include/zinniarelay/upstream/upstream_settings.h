#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

struct upstream_settings {
  /// Permission to dispatch that one renewal grants (docs/design.md R17).
  milliseconds lease{2000};
  /// Without any call for this long the process has been frozen or starved, and
  /// messages that it reads next may be old.
  milliseconds freeze_gap{1000};
  /// After a freeze, renewals without an echo grant no lease for this long.
  milliseconds freeze_quarantine{500};
  milliseconds probe_period{500};
  milliseconds probe_timeout{1000};
  unsigned probes_before_replacement = 2;
  /// Completed requests that open one more slot of a joining upstream.
  std::uint32_t completions_per_slot = 4;
  /// Failed calls in a row after which an upstream counts as unhealthy.
  std::uint32_t failures_before_unhealthy = 3;
  /// Results of own calls count as evidence for this long.
  milliseconds call_evidence{5000};
  milliseconds probe_evidence{3000};
  /// With this share of a service's upstreams unhealthy, the signal is distrusted, in percent.
  std::uint32_t distrust_percent = 80;
  /// An upstream that refused a call gets no work for this long, doubled with each further
  /// refusal in a row up to the maximum.
  milliseconds refusal_pause{10};
  milliseconds maximum_refusal_pause{320};
  /// An upstream without a lease and without running calls is removed after this time.
  milliseconds forget_after{10'000};
};

} // namespace zinnia
