#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/random.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace zinnia::soak {

/// An operator who evacuates and restores zones at random control hosts, and records when no flow
/// may open in a zone.
class zone_orders {
public:
  zone_orders(std::vector<endpoint> controls, std::uint64_t seed)
      : controls_(std::move(controls)), engine_(seed) {}

  /// Each of these functions sends an order until it is acknowledged, as long as an operator may
  /// repeat it. Returns false when it is not acknowledged: it may be in force nevertheless.
  bool evacuate(const std::string& zone);
  bool restore(const std::string& zone);

  /// Returns true when an evacuation of a zone was acknowledged so long before a Unix time (ms)
  /// that it has to be in force everywhere, and no order to restore the zone was sent before.
  bool is_evacuated(const std::string& zone, std::uint64_t at_ms) const;
  std::size_t acknowledged() const;
  std::vector<std::string> findings() const;

private:
  struct period {
    std::string zone;
    std::uint64_t from_ms = 0;
    std::uint64_t until_ms = 0; ///< 0: not restored yet
  };

  bool send(const std::string& path);

  std::vector<endpoint> controls_;
  random_engine engine_;
  mutable std::mutex mutex_; ///< guards the following
  std::vector<period> periods_;
  std::vector<std::string> findings_;
  std::size_t acknowledged_ = 0;
};

} // namespace zinnia::soak
