#pragma once

#include "overview.pb.h"

#include <string>
#include <vector>

namespace zinnia {

/// Merges the status replies of control hosts. The result contains the most recent report
/// of each entry host and the configuration of the highest revision (docs/design.md R30).
wire::status_overview merge_status(const std::vector<wire::status_reply>& replies,
                                   const std::vector<std::string>& unreachable);

/// Returns each upstream once, from its most recent report, ordered by service.
wire::upstreams_overview upstreams_of(const wire::status_overview& status);

/// Merges the audit records of several control hosts in the order of the log. A host that
/// lags behind lacks the newest records.
wire::audit_reply merge_audit(const std::vector<wire::audit_reply>& replies);

} // namespace zinnia
