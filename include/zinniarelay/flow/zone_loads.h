#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace zinnia {

/// The sums of load by service and zones that control hosts send (docs/design.md R47). A reply has
/// some of them; those of earlier replies stay until they are 3 s old.
class zone_loads {
public:
  /// Stores the sums of a reply.
  void merge(time_point now, std::vector<wire::zone_load> loads);
  /// Returns the sums that are not older than 3 s, with their present ages.
  std::vector<wire::zone_load> current(time_point now) const;

private:
  struct stored_load {
    wire::zone_load load;
    time_point measured; ///< when the oldest report of the sum was received
  };
  using key = std::array<std::string, 3>; ///< service, zone of the callers, zone of the upstreams

  std::map<key, stored_load> loads_;
};

} // namespace zinnia
