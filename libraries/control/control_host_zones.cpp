#include "zinniarelay/control/control_host.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

// Evacuations of zones (docs/design.md R45).

namespace zinnia {
namespace {

// Bounds one name in the log, the snapshot and the replies to entry hosts.
constexpr std::size_t max_zone_bytes = 64;
// Ticks are due every 20 ms. After a gap this long the process was suspended, not only busy.
constexpr milliseconds min_suspension{1'000};
// Requests that arrived during a suspension of the process are handled within this time after it.
constexpr milliseconds backlog_time{1'000};

} // namespace

// The state that this host has applied is not newer than the orders that were acknowledged before
// it received this one, so that a copy which is delayed from here on cannot undo a later order.
// This does not hold for a copy that waited in a buffer of the system while the process was
// suspended.
bool control_host::receive_evacuation(time_point now, wire::evacuation_request& request) const {
  auto& order = *request.mutable_order();
  if (order.has_base_version()) return true;
  order.set_base_version(state_.changed_version_of(order.zone()));
  const bool is_suspended = last_tick_ && now - *last_tick_ >= min_suspension;
  return !is_suspended && !(resumed_ && now - *resumed_ < backlog_time);
}

control_host::submission<wire::apply_reply>
control_host::evacuate(time_point now, std::uint64_t wall_ms,
                       const wire::evacuation_request& request) {
  wire::control_command command;
  command.set_operation_id(request.operation_id());
  command.set_author(request.author());
  // A retry may be received by a host that has applied another state.
  auto ordered = request.order();
  ordered.clear_base_version();
  const auto bytes = ordered.SerializeAsString();
  command.set_content_digest(XXH64(bytes.data(), bytes.size(), 0));
  // A refused order is recorded in the audit trail (R31).
  if (is_known_zone(request.order().zone()))
    *command.mutable_evacuation() = request.order();
  else
    command.set_refused(
        std::string(request.order().active() ? "evacuate" : "restore") + ": zone " +
        request.order().zone().substr(0, max_zone_bytes) +
        (request.order().zone().size() > max_zone_bytes
             ? "...: the name is too long"
             : " is not known: it is not in the setting zones and has no upstream"));
  auto out = propose(now, wall_ms, std::move(command));
  if (out.reply) out.reply->set_revision(evacuations_.version());
  return out;
}

// As for all operations: committed, applied, and stored by enough voters (R48).
std::optional<wire::apply_reply> control_host::evacuation_reply_for(const ticket& pending) const {
  auto out = drain_reply_for(pending);
  if (out && out->result() != wire::apply_reply::accepted)
    out->set_revision(evacuations_.version());
  return out;
}

wire::apply_reply control_host::unconfirmed_evacuation() const {
  auto out = unconfirmed_apply();
  out.set_revision(evacuations_.version());
  return out;
}

// A zone that was evacuated can be restored after its last upstream has left.
bool control_host::is_known_zone(const std::string& zone) const {
  if (zone.empty() || zone.size() > max_zone_bytes) return false;
  if (std::find(settings_.zones.begin(), settings_.zones.end(), zone) != settings_.zones.end())
    return true;
  if (state_.changed_version_of(zone) > 0) return true;
  bool out = false;
  upstreams_.for_each([&](const auto& it) {
    out |= it.report.zone == zone && it.report.condition != upstream_report::state::gone;
  });
  return out;
}

wire::zones_reply control_host::zones() const {
  std::map<std::string, wire::zone_status> zones;
  for (const auto& it : settings_.zones)
    zones[it];
  upstreams_.for_each([&](const auto& it) {
    if (it.report.condition == upstream_report::state::gone) return;
    auto& zone = zones[it.report.zone];
    if (it.report.condition == upstream_report::state::ready)
      zone.set_ready_upstreams(zone.ready_upstreams() + 1);
  });
  for (const auto& it : evacuations_.content().zones()) {
    auto& zone = zones[it.zone()];
    zone.set_is_evacuated(it.active());
    zone.set_changed_version(it.changed_version());
  }
  wire::zones_reply out;
  out.set_version(evacuations_.version());
  for (auto& [name, zone] : zones) {
    zone.set_zone(name);
    *out.add_zones() = std::move(zone);
  }
  return out;
}

void control_host::update_evacuations(time_point now, const wire::zone_evacuations& committed) {
  for (auto& it : evacuations_.apply(now, committed))
    zone_changes_.push_back(std::move(it));
  // The upstreams of a restored zone may have become cold shortly before.
  for (const auto& it : committed.zones())
    if (evacuations_.restored_at(it.zone()) == now) count_zone_as_cold(now, it.zone());
}

std::vector<evacuated_zones::change> control_host::take_zone_changes() {
  return std::exchange(zone_changes_, {});
}

// Entry hosts of earlier releases do not name a version and would get a reply at once each time.
bool control_host::lacks_evacuations(const wire::news_request& request) const {
  return request.has_evacuations_version() &&
         evacuations_.version() > request.evacuations_version();
}

// The restored view lacks an order that was acknowledged shortly before all hosts lost power. A
// quorum has it in the log.
void control_host::add_evacuations(time_point now, const wire::news_request& request,
                                   wire::news_reply& reply) const {
  if (lacks_evacuations(request)) *reply.mutable_evacuations() = evacuations_.content();
  if (!serves_restored_view(now)) return;
  for (const auto& it : logged_evacuations_.zones())
    if (it.active() && !evacuations_.contains(it.zone()))
      reply.mutable_evacuations()->add_unconfirmed(it.zone());
}

wire::zone_evacuations control_host::logged_evacuations() const {
  auto state = state_;
  const auto& log = node_.log();
  for (auto n = std::max(log.base_index(), applied_index_) + 1; n <= log.last_index(); ++n) {
    wire::control_command command;
    if (command.ParseFromString(log.at(n).command()) && command.has_evacuation())
      state.apply(n, command);
  }
  return state.evacuations();
}

} // namespace zinnia
