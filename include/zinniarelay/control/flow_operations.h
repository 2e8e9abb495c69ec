#pragma once

#include "flow.pb.h"
#include "zinniarelay/flow/upstream_report.h"

#include <optional>
#include <string>

namespace zinnia {

/// What operators and upstreams ask of a control host. Calls may block and may be
/// made by several threads.
class flow_operations {
public:
  enum class outcome {
    done,    ///< a quorum has it, or enough hosts know it
    invalid, ///< the declaration is not valid
    unsure,  ///< may or may not take effect; ask again, here or elsewhere
  };

  struct answer {
    outcome result = outcome::unsure;
    std::string cause;
  };

  virtual ~flow_operations() = default;

  /// Puts a declaration in force unless a version at least as high is.
  virtual answer apply_version(const wire::versioned_declaration& proposed) = 0;
  /// The document in force, as its operator sent it; no value when this host cannot
  /// be sure which one that is.
  virtual std::optional<std::string> read_document() = 0;
  /// Takes the report of an upstream. One that leaves is acknowledged when further
  /// control hosts know of it.
  virtual answer report(const upstream_report& value) = 0;
  /// The upstream's current report; no value when the id is unknown.
  virtual std::optional<upstream_report> known_upstream(const std::string& id) = 0;
};

} // namespace zinnia
