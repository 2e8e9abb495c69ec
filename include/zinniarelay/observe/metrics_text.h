#pragma once

#include "operator.pb.h"

#include <string>

namespace zinnia {

/// Metrics in the usual text format, one `name{labels} value` a line.
std::string metrics_text(const wire::metrics_reply& metrics);

} // namespace zinnia
