#include "control/milliseconds_field.h"
#include "zinniarelay/control/control_host.h"

#include <algorithm>
#include <random>

namespace zinnia {
namespace {

// A link of 2 Mbit/s carries this much in 80 ms; a poll is given up after 800 ms.
constexpr std::size_t max_changes_bytes = 20'000;

} // namespace

wire::sync_reply control_host::sync(time_point now, const wire::sync_request& request) {
  ++sync_count_;
  if (request.has_status()) hosts_[request.status().host()] = {request.status(), now};
  wire::sync_reply out;
  add_changes(now, request, out);
  out.set_quorum_age_ms(milliseconds_field(node_.quorum_age(now)));
  add_peer_hosts(now, request, out);
  return out;
}

// Changes that are too large for the link of an entry host are sent in parts (docs/design.md R42).
// Entry hosts of earlier releases accept no parts.
void control_host::add_changes(time_point now, const wire::sync_request& request,
                               wire::sync_reply& reply) {
  const auto progress = content_progress::of(request.revision(), request);
  if (auto begun = configuration_contents_.continued(progress, max_changes_bytes)) {
    *reply.mutable_changes_part() = std::move(*begun);
    return;
  }
  auto changes = state_.changes_since(request.revision(), request.digest());
  if (!request.accepts_parts() || changes.ByteSizeLong() <= max_changes_bytes) {
    *reply.mutable_changes() = std::move(changes);
    return;
  }
  *reply.mutable_changes_part() = configuration_contents_.part_of(
      now, changes.base_revision(), changes.revision(), progress, max_changes_bytes,
      [&] { return changes.SerializeAsString(); });
}

// Adds a bounded random sample of hosts, from which entry hosts discover each other; the
// membership protocol disseminates the others. The sample is a run of consecutive hosts from
// a random position on, because a poll that visits all of 19,000 hosts takes 1.1 ms.
void control_host::add_peer_hosts(time_point now, const wire::sync_request& request,
                                  wire::sync_reply& reply) {
  constexpr milliseconds max_report_age{10'000};
  constexpr std::size_t visited_per_peer = 4;
  if (hosts_.empty()) return;
  std::uniform_int_distribution<std::uint32_t> random_id(hosts_.begin()->first,
                                                         hosts_.rbegin()->first);
  auto it = hosts_.lower_bound(random_id(engine_));
  const auto max_visited = std::min(hosts_.size(), settings_.peers_in_reply * visited_per_peer);
  for (std::size_t n = 0; n < max_visited; ++n, ++it) {
    if (static_cast<std::size_t>(reply.hosts_size()) >= settings_.peers_in_reply) return;
    if (it == hosts_.end()) it = hosts_.begin();
    const auto& status = it->second.status;
    if (now - it->second.last_report > max_report_age || it->first == request.status().host() ||
        status.peer_address().empty())
      continue;
    auto& host = *reply.add_hosts();
    host.set_host(status.host());
    host.set_zone(status.zone());
    host.set_peer_address(status.peer_address());
  }
}

void control_host::expire_hosts(time_point now) {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    it =
        now - it->second.last_report > settings_.status_lifetime ? hosts_.erase(it) : std::next(it);
}

} // namespace zinnia
