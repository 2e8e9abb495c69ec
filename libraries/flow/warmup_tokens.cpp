#include "zinniarelay/flow/warmup_tokens.h"

namespace zinnia {
namespace {

// Each entry host that gets a lease may send this many packets at once. The bound of rate x 1.5 + 5
// allows for the holders of three leases that follow each other within a second.
constexpr double burst = 1;
// Covers rounding of the refill.
constexpr double tolerance = 1e-9;
// A bucket that is removed and created again begins with a full burst.
constexpr milliseconds retention{10'000};

} // namespace

void warmup_tokens::record_grant(time_point requested, const wire::warmup_grant& grant) {
  std::erase_if(buckets_, [&](const auto& it) { return clock_ - it.second.expires > retention; });
  const auto expires = requested + milliseconds(grant.lease_ms());
  if (expires <= clock_ || !(grant.rate() > 0)) return;
  auto [it, is_new] = buckets_.try_emplace(grant.incarnation());
  auto& value = it->second;
  value.tokens = is_new ? burst : tokens_of(value);
  value.refilled = clock_;
  value.rate = grant.rate();
  value.expires = std::max(value.expires, expires);
}

double warmup_tokens::tokens_of(const bucket& value) const {
  const std::chrono::duration<double> elapsed = clock_ - value.refilled;
  return std::min(burst, value.tokens + elapsed.count() * value.rate);
}

bool warmup_tokens::has_lease(time_point now, std::uint64_t incarnation) const {
  const auto it = buckets_.find(incarnation);
  return it != buckets_.end() && now < it->second.expires;
}

bool warmup_tokens::has_token(std::uint64_t incarnation) const {
  return has_lease(clock_, incarnation) && tokens_of(buckets_.at(incarnation)) >= 1 - tolerance;
}

bool warmup_tokens::take(std::uint64_t incarnation) {
  if (!has_token(incarnation)) return false;
  auto& value = buckets_.at(incarnation);
  value.tokens = tokens_of(value) - 1;
  value.refilled = clock_;
  ++used_;
  return true;
}

bool warmup_tokens::has_any_token() const {
  return std::any_of(buckets_.begin(), buckets_.end(),
                     [&](const auto& it) { return has_token(it.first); });
}

double warmup_tokens::granted_rate() const {
  double out = 0;
  for (const auto& [incarnation, it] : buckets_)
    if (clock_ < it.expires) out += it.rate;
  return out;
}

std::size_t warmup_tokens::leases() const {
  return static_cast<std::size_t>(
      std::count_if(buckets_.begin(), buckets_.end(),
                    [&](const auto& it) { return clock_ < it.second.expires; }));
}

} // namespace zinnia
