#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace zinnia {

/// Token buckets of an entry host for the cold upstreams of which it holds leases (docs/design.md
/// R44). Answers the load pattern in which all entry hosts send flows to an upstream that has just
/// started. Its clock never goes back, because held packets are decided with their time of arrival.
class warmup_tokens {
public:
  void advance(time_point now) { clock_ = std::max(clock_, now); }
  time_point clock() const { return clock_; }

  /// Begins or renews a lease; `requested` is when the request for it was sent.
  void record_grant(time_point requested, const wire::warmup_grant& grant);
  /// Returns true when a packet may be sent to the upstream now.
  bool has_token(std::uint64_t incarnation) const;
  /// Returns true when the lease of the upstream has not expired at a time.
  bool has_lease(time_point now, std::uint64_t incarnation) const;
  /// Takes a token. Returns false when there is none.
  bool take(std::uint64_t incarnation);
  /// Returns true when a packet may be sent to any upstream now.
  bool has_any_token() const;
  /// Returns the sum of the rates of all leases, in packets a second.
  double granted_rate() const;

  /// Returns the number of leases that have not expired.
  std::size_t leases() const;
  std::uint64_t used() const { return used_; }

private:
  struct bucket {
    double rate = 0;   ///< tokens a second
    double tokens = 0; ///< at `refilled`
    time_point refilled;
    time_point expires; ///< of the lease
  };

  double tokens_of(const bucket& value) const;

  std::unordered_map<std::uint64_t, bucket> buckets_; ///< by incarnation
  time_point clock_;
  std::uint64_t used_ = 0;
};

} // namespace zinnia
