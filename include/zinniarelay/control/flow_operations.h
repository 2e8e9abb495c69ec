#pragma once

#include "flow.pb.h"
#include "zinniarelay/flow/upstream_report.h"

#include <optional>
#include <string>

namespace zinnia {

/// The operations of a control host on behalf of operators and upstreams. Calls may block.
/// Implementations are thread-safe.
class flow_operations {
public:
  enum class outcome {
    done,        ///< committed by a quorum, or received by enough hosts
    invalid,     ///< the declaration or the report is not valid
    not_found,   ///< the order names an unknown zone
    unconfirmed, ///< may or may not take effect; retry at this or another control host
  };

  struct answer {
    outcome result = outcome::unconfirmed;
    std::string cause;
  };

  enum class zone_order {
    evacuate, ///< no new flows go to the upstreams of the zone
    restore,
  };

  virtual ~flow_operations() = default;

  /// Puts a declaration in force unless a version at least as high is in force.
  virtual answer apply_version(const wire::versioned_declaration& proposed) = 0;
  /// Returns the document in force as its operator sent it, or no value when no quorum
  /// confirms which document is in force.
  virtual std::optional<std::string> read_document() = 0;
  /// Evacuates or restores a zone. An order that is in force already is done. The answer is
  /// unconfirmed too when the zone has changed since the order was received.
  virtual answer order_zone(const std::string& zone, zone_order order) = 0;
  /// Merges the report of an upstream. The report of an upstream that leaves is acknowledged
  /// only when further control hosts have it.
  virtual answer report(const upstream_report& value) = 0;
  /// Returns the current report of an upstream, or no value when the id is unknown.
  virtual std::optional<upstream_report> find_upstream(const std::string& id) = 0;
};

} // namespace zinnia
