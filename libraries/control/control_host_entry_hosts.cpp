#include "control/milliseconds_field.h"
#include "zinniarelay/control/control_host.h"

#include <algorithm>
#include <random>

namespace zinnia {

wire::sync_reply control_host::sync(time_point now, const wire::sync_request& request) {
  ++sync_count_;
  if (request.has_status()) hosts_[request.status().host()] = {request.status(), now};
  wire::sync_reply out;
  *out.mutable_changes() = state_.changes_since(request.revision(), request.digest());
  out.set_quorum_age_ms(milliseconds_field(node_.quorum_age(now)));
  add_known_hosts(now, request, out);
  return out;
}

// A bounded random sample introduces hosts to each other; probing spreads the rest.
// Names a run of hosts from a random place on. Looking at all of them for each poll
// cost 1.1 ms with 19,000 hosts.
void control_host::add_known_hosts(time_point now, const wire::sync_request& request,
                                   wire::sync_reply& reply) {
  constexpr milliseconds recent{10'000};
  constexpr std::size_t looked_at_per_named = 4;
  if (hosts_.empty()) return;
  std::uniform_int_distribution<std::uint32_t> draw(hosts_.begin()->first, hosts_.rbegin()->first);
  auto it = hosts_.lower_bound(draw(engine_));
  const auto most = std::min(hosts_.size(), settings_.peers_in_reply * looked_at_per_named);
  for (std::size_t n = 0; n < most; ++n, ++it) {
    if (static_cast<std::size_t>(reply.hosts_size()) >= settings_.peers_in_reply) return;
    if (it == hosts_.end()) it = hosts_.begin();
    const auto& known = it->second.status;
    if (now - it->second.seen > recent || it->first == request.status().host() ||
        known.peer_address().empty())
      continue;
    auto& host = *reply.add_hosts();
    host.set_host(known.host());
    host.set_zone(known.zone());
    host.set_peer_address(known.peer_address());
  }
}

void control_host::forget_silent_hosts(time_point now) {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    it = now - it->second.seen > settings_.status_lifetime ? hosts_.erase(it) : std::next(it);
}

} // namespace zinnia
