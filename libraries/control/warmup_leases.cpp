#include "zinniarelay/control/warmup_leases.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace zinnia {
namespace {

// Holders ask every 400 to 500 ms. One that has missed two requests gets no new leases.
constexpr milliseconds presence_timeout{1'500};
// Each change of the holder adds the burst of one packet to the second in which it happens.
constexpr milliseconds min_holding_time{1'000};

std::uint64_t hash_of(std::uint64_t incarnation, std::uint64_t holder) {
  const std::array<std::uint64_t, 2> content{incarnation, holder};
  return XXH64(content.data(), sizeof content, 0);
}

} // namespace

void warmup_leases::record_holder(time_point now, std::uint64_t holder) {
  holders_[holder] = now;
}

bool warmup_leases::is_present(time_point now, time_point last_request) const {
  return now - last_request < presence_timeout;
}

bool warmup_leases::is_free(time_point now, const lease& value) const {
  return now >= value.expires && now - value.since >= min_holding_time;
}

std::uint64_t warmup_leases::preferred_holder(time_point now, std::uint64_t incarnation) const {
  std::uint64_t out = 0;
  std::uint64_t highest = 0;
  for (const auto& [holder, last_request] : holders_) {
    if (!is_present(now, last_request)) continue;
    const auto hash = hash_of(incarnation, holder);
    if (out != 0 && hash <= highest) continue;
    out = holder;
    highest = hash;
  }
  return out;
}

bool warmup_leases::grant(time_point now, std::uint64_t incarnation, std::uint64_t holder,
                          time_point until) {
  if (until <= now) return false;
  const auto it = leases_.find(incarnation);
  if (it != leases_.end() && it->second.holder == holder) {
    // An earlier grant stays valid for its holder.
    it->second.expires = std::max(it->second.expires, until);
    return true;
  }
  if (it != leases_.end() && !is_free(now, it->second)) return false;
  if (preferred_holder(now, incarnation) != holder) return false;
  leases_[incarnation] = {holder, now, until};
  return true;
}

std::set<std::uint64_t>
warmup_leases::eligible_holders(time_point now,
                                const std::vector<std::uint64_t>& incarnations) const {
  std::set<std::uint64_t> out;
  for (const auto incarnation : incarnations) {
    const auto it = leases_.find(incarnation);
    if (it != leases_.end() && !is_free(now, it->second)) continue;
    if (const auto holder = preferred_holder(now, incarnation); holder != 0) out.insert(holder);
  }
  return out;
}

bool warmup_leases::has_holders(time_point now) const {
  return std::any_of(holders_.begin(), holders_.end(),
                     [&](const auto& it) { return is_present(now, it.second); });
}

std::size_t warmup_leases::count(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      leases_.begin(), leases_.end(), [&](const auto& it) { return now < it.second.expires; }));
}

void warmup_leases::remove_expired(time_point now) {
  std::erase_if(leases_, [&](const auto& it) { return is_free(now, it.second); });
  std::erase_if(holders_, [&](const auto& it) { return !is_present(now, it.second); });
}

} // namespace zinnia
