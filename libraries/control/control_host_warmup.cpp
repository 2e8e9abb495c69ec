#include "zinniarelay/control/control_host.h"

#include <algorithm>

// Warm-up limits (docs/design.md R44).

namespace zinnia {
namespace {

constexpr milliseconds lease_duration{1'500};
// Covers clocks that differ in speed: holders count their leases themselves.
constexpr milliseconds leader_margin{100};
constexpr milliseconds entry_margin{50};
// Leases are renewed twice before they would expire at the entry hosts.
constexpr milliseconds request_interval{400};
// An upstream that has become cold gets a lease without waiting for the next interval.
constexpr milliseconds min_request_interval{50};
// Bounds a request to the leader to about 9 KB, and the grants of a reply to an entry host to about
// 1.5 KB (R42).
constexpr int max_requested = 1'024;
constexpr int max_granted = 64;

} // namespace

void control_host::follow_limits() {
  const auto& declaration = committed_declaration();
  if (declaration.version() == limits_version_) return;
  limits_version_ = declaration.version();
  upstreams_.set_limits(warmup_limits_of(declaration.services()));
}

void control_host::count_zone_as_cold(time_point now, const std::string& zone) {
  follow_limits();
  upstreams_.count_zone_as_cold(now, zone);
}

void control_host::maintain_warmup(time_point now) {
  follow_limits();
  observe_leadership(now);
  if (!upstreams_.has_limits()) return;
  upstreams_.refresh_warmups(now);
  control_leases_.remove_expired(now);
  entry_leases_.remove_expired(now);
  if (own_leases_.empty()) full_entry_hosts_.clear();
  std::erase_if(own_leases_, [&](const auto& it) { return now >= it.second.expires; });
  std::vector<std::uint64_t> usable;
  for (const auto& [incarnation, it] : own_leases_)
    if (now + entry_margin < it.expires) usable.push_back(incarnation);
  eligible_entry_hosts_ = entry_leases_.eligible_holders(now, usable);
  // A reply at once would contain no further lease.
  for (const auto holder : full_entry_hosts_)
    eligible_entry_hosts_.erase(holder);
}

// The leases of earlier leaders were requested before the last quorum of those leaders, and thus
// before this host was elected. They have expired one lease duration later.
void control_host::observe_leadership(time_point now) {
  if (node_.role() != raft_role::leader || node_.term() == granting_term_) return;
  granting_term_ = node_.term();
  granting_from_ = now + lease_duration + leader_margin;
  control_leases_ = {};
}

wire::grant_reply control_host::grant_warmup(time_point now, const read_ticket& pending,
                                             const wire::grant_request& request) {
  wire::grant_reply out;
  const auto confirmed = read_reply_for(pending);
  if (!confirmed || !confirmed->confirmed() || request.holder() == 0) return out;
  follow_limits();
  observe_leadership(now);
  control_leases_.record_holder(now, request.holder());
  if (now < granting_from_) return out;
  for (const auto incarnation : request.incarnations()) {
    if (out.grants_size() >= max_requested) break;
    const auto* upstream = upstreams_.find(incarnation);
    const auto* limit =
        upstream == nullptr ? nullptr : upstreams_.limit_of(upstream->report.service);
    if (limit == nullptr) continue;
    const auto until = now + lease_duration + leader_margin;
    if (!control_leases_.grant(now, incarnation, request.holder(), until)) {
      ++warmup_counts_.refused;
      continue;
    }
    ++warmup_counts_.granted;
    auto& grant = *out.add_grants();
    grant.set_incarnation(incarnation);
    grant.set_rate(limit->rate);
    grant.set_lease_ms(static_cast<std::uint32_t>(lease_duration.count()));
  }
  return out;
}

std::optional<wire::grant_request> control_host::warmup_request_due(time_point now) {
  if (!upstreams_.has_limits() || !entry_leases_.has_holders(now)) return std::nullopt;
  const auto cold = upstreams_.cold_upstreams();
  const bool has_new = std::any_of(cold.begin(), cold.end(), [&](auto incarnation) {
    return !last_requested_.contains(incarnation);
  });
  if (cold.empty() ||
      now < next_warmup_request_ -
                (has_new ? request_interval - min_request_interval : milliseconds(0)))
    return std::nullopt;
  next_warmup_request_ = now + request_interval;
  last_requested_ = {cold.begin(), cold.end()};
  wire::grant_request out;
  out.set_holder(source_);
  for (const auto incarnation : cold)
    if (out.incarnations_size() < max_requested) out.add_incarnations(incarnation);
  return out;
}

void control_host::record_warmup_grants(time_point requested, const wire::grant_reply& reply) {
  for (const auto& it : reply.grants()) {
    const milliseconds lease(std::min<std::int64_t>(it.lease_ms(), lease_duration.count()));
    auto& own = own_leases_[it.incarnation()];
    own.rate = it.rate();
    own.expires = std::max(own.expires, requested + lease);
  }
}

void control_host::add_warmup_grants(time_point now, const wire::news_request& request,
                                     time_point received, wire::news_reply& reply) {
  const auto holder = request.warmup_holder();
  if (holder == 0 || !upstreams_.has_limits()) return;
  entry_leases_.record_holder(now, holder);
  eligible_entry_hosts_.erase(holder);
  full_entry_hosts_.erase(holder);
  for (const auto& [incarnation, own] : own_leases_) {
    if (reply.warmup_grants_size() >= max_granted) {
      full_entry_hosts_.insert(holder);
      return;
    }
    const auto until = own.expires - entry_margin;
    if (!entry_leases_.grant(now, incarnation, holder, until)) continue;
    auto& grant = *reply.add_warmup_grants();
    grant.set_incarnation(incarnation);
    grant.set_rate(own.rate);
    // The entry host counts from the time at which it sent the request, which is not later than its
    // arrival.
    grant.set_lease_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(until - received).count()));
  }
}

bool control_host::has_new_grant(const wire::news_request& request) const {
  return request.warmup_holder() != 0 && eligible_entry_hosts_.contains(request.warmup_holder());
}

control_host::warmup_status control_host::warmup(time_point now) const {
  return {upstreams_.cold_count(now), entry_leases_.count(now), control_leases_.count(now),
          warmup_counts_.granted, warmup_counts_.refused};
}

} // namespace zinnia
