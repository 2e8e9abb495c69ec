#pragma once

#include "zinniarelay/flow/flow_host.h"
#include "zinniarelay/observe/metric_registry.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace zinnia::flowd {

/// Counts what this host sends to other zones, and reports the decisions on cross-zone spillover in
/// logs and metrics.
class spillover_report {
public:
  /// Counts a packet that is forwarded to an upstream.
  void record(const flow_decision& decision, std::size_t bytes);
  /// Writes a line for each start and end of spillover since the last call.
  void log_changes(flow_host& host) const;
  void publish(metric_registry& metrics, const flow_host& host);

private:
  struct traffic {
    std::uint64_t flows = 0; ///< opening packets
    std::uint64_t bytes = 0; ///< of packets of callers, with the prefix
  };

  std::map<std::string, traffic> sent_;    ///< by zone
  std::set<std::string> published_shares_; ///< labels
};

} // namespace zinnia::flowd
