#pragma once

#include "zinniarelay/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace zinnia {

/// Reachability of the upstreams of other zones, as observed from the packets of callers
/// (docs/design.md R38). Answers the load pattern in which a zone is cut off and all of its
/// upstreams stop answering at once: observations of each upstream alone would send several flows
/// to every one of them before it is avoided, and again after each suspect period.
class zone_health {
public:
  /// Records that an upstream of the zone left an opening packet unanswered.
  void record_timeout(time_point now, const std::string& zone, std::uint64_t upstream);
  /// Records when an upstream of the zone last sent an answer or a report.
  void record_contact(const std::string& zone, time_point contact);
  /// Returns true when several upstreams of the zone have not answered, without any contact with
  /// the zone in between.
  bool is_suspect(time_point now, const std::string& zone) const;

private:
  struct observation {
    std::uint32_t timeouts = 0; ///< since the last contact
    std::uint64_t first_upstream = 0;
    bool has_other_upstreams = false; ///< not only the first upstream timed out
    time_point last_timeout;
  };

  std::map<std::string, observation> observations_; ///< by zone
};

} // namespace zinnia
