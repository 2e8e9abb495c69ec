#pragma once

#include "overview.pb.h"

#include <string>
#include <vector>

namespace zinnia {

/// Merges the answers of control hosts: the most recent report of each entry
/// host, the configuration of the highest revision (docs/design.md R30).
wire::status_overview merge_status(const std::vector<wire::status_reply>& replies,
                                   const std::vector<std::string>& unreachable);

/// Each upstream once, as its most recent report shows it, ordered by service.
wire::upstreams_overview upstreams_of(const wire::status_overview& status);

/// The audit records of several control hosts in the order of the log; a host
/// that is behind lacks the newest ones.
wire::audit_reply merge_audit(const std::vector<wire::audit_reply>& replies);

} // namespace zinnia
