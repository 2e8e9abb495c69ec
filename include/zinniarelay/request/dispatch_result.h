#pragma once

#include "caller.pb.h"

#include <string>

namespace zinnia {

/// Outcome of an attempt to run a request on an upstream. Only refused_before_start,
/// not_written and cancelled_before_start prove that the request did not start
/// (docs/design.md R7).
enum class dispatch_outcome {
  done,
  refused_before_start,   ///< the upstream explicitly refused the call
  not_written,            ///< the channel was not connected
  cancelled_before_start, ///< the upstream confirmed a cancellation before the start
  failed_after_start,
  lost,            ///< no result; whether the request started is unknown
  content_changed, ///< the range belongs to another content version
};

struct dispatch_result {
  dispatch_outcome outcome = dispatch_outcome::lost;
  std::string payload;        ///< only for the outcome done
  wire::content_info content; ///< only for the outcome done of a range request
};

} // namespace zinnia
