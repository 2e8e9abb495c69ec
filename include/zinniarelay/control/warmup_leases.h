#pragma once

#include "zinniarelay/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace zinnia {

/// Leases of cold upstreams (docs/design.md R44), as the leader of the control group grants them to
/// control hosts and a control host to entry hosts. They are exclusive, so that all entry hosts
/// together keep the rate of an upstream that has just started, also when a holder is paused,
/// partitioned or replaced. The holders count their leases from the time at which they sent their
/// requests.
class warmup_leases {
public:
  /// Records that a holder asks for leases.
  void record_holder(time_point now, std::uint64_t holder);
  /// Grants a lease until a time, or renews it. Returns false while another holder has a lease, or
  /// has precedence.
  bool grant(time_point now, std::uint64_t incarnation, std::uint64_t holder, time_point until);
  /// Returns the holders that could get a lease of one of these upstreams now.
  std::set<std::uint64_t> eligible_holders(time_point now,
                                           const std::vector<std::uint64_t>& incarnations) const;
  /// Returns true when a holder has asked for leases recently.
  bool has_holders(time_point now) const;
  /// Returns the number of leases that have not expired.
  std::size_t count(time_point now) const;
  /// Removes what no longer affects a decision.
  void remove_expired(time_point now);

private:
  struct lease {
    std::uint64_t holder = 0;
    time_point since; ///< of this holder's first grant
    time_point expires;
  };

  bool is_free(time_point now, const lease& value) const;
  bool is_present(time_point now, time_point last_request) const;
  /// Returns the present holder with the highest hash; 0 when there is none.
  std::uint64_t preferred_holder(time_point now, std::uint64_t incarnation) const;

  std::map<std::uint64_t, lease> leases_;       ///< by incarnation
  std::map<std::uint64_t, time_point> holders_; ///< time of the last request
};

} // namespace zinnia
