#pragma once

#include "operator.pb.h"

#include <string>

namespace zinnia {

/// Returns metrics in the Prometheus text format, one `name{labels} value` per line.
std::string metrics_text(const wire::metrics_reply& metrics);

} // namespace zinnia
