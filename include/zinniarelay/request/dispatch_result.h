#pragma once

#include "caller.pb.h"

#include <string>

namespace zinnia {

/// How an attempt to run a request on an upstream ended. Only the first three
/// failures prove that it did not start (docs/design.md R7).
enum class dispatch_outcome {
  done,
  refused_before_start,   ///< the upstream refused the call explicitly
  not_written,            ///< the channel was not connected
  cancelled_before_start, ///< the upstream confirmed a cancellation before the start
  failed_after_start,
  lost,            ///< unknown whether it started
  content_changed, ///< the range belongs to another content version
};

struct dispatch_result {
  dispatch_outcome outcome = dispatch_outcome::lost;
  std::string payload;        ///< of outcome done
  wire::content_info content; ///< of outcome done for a range
};

} // namespace zinnia
