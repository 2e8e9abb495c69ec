#pragma once

#include "control.pb.h"
#include "zinniarelay/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnia {

/// The zones to whose upstreams no new flows go, because an operator has evacuated them. Answers
/// updates that arrive out of order or from a control host that lags: the evacuations in force
/// never go back to a lower version (docs/design.md R45).
class evacuated_zones {
public:
  struct change {
    enum class kind { evacuated, restored };

    std::string zone;
    kind type = kind::evacuated;

    friend bool operator==(const change&, const change&) = default;
  };

  /// Puts evacuations in force unless a version at least as high is in force. Returns the zones
  /// that are evacuated or restored by it.
  std::vector<change> apply(time_point now, const wire::zone_evacuations& next);

  /// Removes the zones whose evacuation was not known to be committed. Called when a control host
  /// that knows all committed ones has replied. Returns true when there were any.
  bool drop_unconfirmed();

  /// Returns true when no new flows may go to a zone.
  bool contains(const std::string& zone) const {
    return active_.contains(zone) || unconfirmed_.contains(zone);
  }
  std::uint64_t version() const { return content_.version(); }
  std::size_t size() const { return active_.size(); } ///< evacuated zones
  const wire::zone_evacuations& content() const { return content_; }

  /// Returns when this host learned that the evacuation of a zone has ended. Returns no value for
  /// an evacuated zone, and for one whose evacuation ended before the first call of apply().
  std::optional<time_point> restored_at(const std::string& zone) const;

private:
  wire::zone_evacuations content_;
  std::set<std::string> active_;
  std::set<std::string> unconfirmed_;
  std::map<std::string, time_point> restored_;
  bool has_content_ = false; ///< of version 0 too
};

/// Returns the change as used in logs, for instance "zone_evacuated".
const char* name_of(evacuated_zones::change::kind value);

} // namespace zinnia
