#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>

namespace zinnia {

struct upstream_settings {
  /// How long one renewal permits dispatching to the upstream (docs/design.md R17).
  milliseconds lease{2000};
  /// When no function of the pool has run for this long, the process has been frozen or was not
  /// scheduled, and the messages that it reads next may be outdated.
  milliseconds freeze_gap{1000};
  /// After a freeze, renewals without an echo grant no lease for this long.
  milliseconds freeze_quarantine{500};
  milliseconds probe_period{500};
  milliseconds probe_timeout{1000};
  unsigned probes_before_replacement = 2;
  /// Number of completed calls after which a new upstream gets one more usable slot.
  std::uint32_t completions_per_slot = 4;
  /// Consecutive failed calls after which an upstream counts as unhealthy.
  std::uint32_t failures_before_unhealthy = 3;
  /// Results of calls by this host count as health observations for this long.
  milliseconds call_result_lifetime{5000};
  /// Results of probes count as health observations for this long.
  milliseconds probe_result_lifetime{3000};
  /// Health observations are ignored when at least this share of a service's upstreams looks
  /// unhealthy.
  std::uint32_t distrust_percent = 80;
  /// An upstream that refused a call gets no calls for this long. The pause doubles with each
  /// further consecutive refusal, up to the maximum.
  milliseconds refusal_pause{10};
  milliseconds maximum_refusal_pause{320};
  /// An upstream without running calls is removed when its lease expired this long ago.
  milliseconds removal_delay{10'000};
};

} // namespace zinnia
