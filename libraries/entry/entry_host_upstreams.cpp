#include "entry/entry_host_state.h"
#include "zinniarelay/balance/rendezvous.h"
#include "zinniarelay/config/declaration.h"

// How an entry host handles announcements, calls and connections of upstreams.

namespace zinnia {
namespace {

constexpr milliseconds renewal_period{500};

} // namespace

void entry_host::state::on(time_point now, const announcement_received& event, entry_effects& out) {
  auto reply = handle_announcement(now, event.announcement);
  counters_.control_bytes_in += event.announcement.ByteSizeLong();
  counters_.control_bytes_out += reply.ByteSizeLong() + call_overhead;
  if (reply.result() != wire::announcement_reply::accepted &&
      reply.result() != wire::announcement_reply::redirected)
    ++counters_.refused_announcements;
  out.emplace_back(reply_to_announcement{event.ticket, std::move(reply)});
  // A new lease may let queued requests start.
  dispatcher_.on_tick(now, out);
}

wire::announcement_reply
entry_host::state::handle_announcement(time_point now, const wire::announcement& announcement) {
  wire::announcement_reply reply;
  const auto refusal = [&](wire::announcement_reply::status status, std::string cause) {
    reply.set_result(status);
    reply.set_cause(std::move(cause));
    return reply;
  };
  const auto* service = directory_.find(announcement.service());
  if (service == nullptr)
    return refusal(wire::announcement_reply::unknown_service,
                   "no service \"" + announcement.service() + "\" at revision " +
                       std::to_string(directory_.revision()));
  if (credential_digest(announcement.credential()) != service->declaration().credential_digest())
    return refusal(wire::announcement_reply::bad_credential,
                   "the credential is not that of service \"" + announcement.service() + '"');
  const auto address = endpoint::parse(announcement.address());
  if (!address)
    return refusal(wire::announcement_reply::malformed, "address: " + address.error().cause);
  if (announcement.zone() != settings_.availability_zone().value)
    return refusal(wire::announcement_reply::malformed,
                   "zone " + std::to_string(announcement.zone()) + ": this host serves zone " +
                       std::to_string(settings_.availability_zone().value));
  reply.set_renew_ms(static_cast<std::uint32_t>(renewal_period.count()));
  reply.set_lease_ms(static_cast<std::uint32_t>(upstream_settings{}.lease.count()));
  reply.set_drain_requested(directory_.is_draining(incarnation_id{announcement.incarnation()}));
  const auto dispatching = dispatching_host(announcement);
  if (dispatching != settings_.host()) {
    reply.set_result(wire::announcement_reply::redirected);
    reply.set_dispatching_host(members_.find(dispatching)->load.registration.to_string());
    return reply;
  }
  upstream_announcement pool_announcement;
  pool_announcement.service = service_id{service->id()};
  pool_announcement.incarnation = incarnation_id{announcement.incarnation()};
  pool_announcement.address = address.value();
  pool_announcement.slots = announcement.slots();
  pool_announcement.is_leaving = announcement.leaving();
  pool_announcement.reported_outstanding = announcement.reported_outstanding();
  pool_announcement.is_reported_unhealthy = announcement.reported_unhealthy();
  pool_announcement.lease_echo = announcement.lease_echo();
  const auto pool_reply = pool_.on_announcement(now, pool_announcement);
  if (!pool_reply.is_accepted())
    return refusal(wire::announcement_reply::malformed,
                   pool_reply.result == announcement_result::superseded
                       ? "a newer incarnation has announced itself on this address"
                       : "no slots, or the incarnation belongs to another service");
  reply.set_result(wire::announcement_reply::accepted);
  reply.set_dispatching_host(settings_.registration_address().to_string());
  reply.set_lease_mark(pool_reply.lease_mark);
  reply.set_drain_requested(reply.drain_requested() || pool_reply.is_drain_requested);
  return reply;
}

// Returns the host that dispatches to an upstream. A draining host accepts no new upstreams, but
// keeps its present upstreams until its requests have ended, because the requests may need their
// slots (docs/design.md R12, R21).
host_id entry_host::state::dispatching_host(const wire::announcement& announcement) const {
  if (is_draining() && !dispatcher_.has_no_requests()) return settings_.host();
  std::vector<host_id> hosts;
  for (const auto& it : members_.live_hosts(settings_.availability_zone())) {
    const auto* member = members_.find(it);
    const bool is_self = it == settings_.host();
    if (is_self ? is_draining() : member->load.draining) continue;
    if (!is_self && member->load.registration.port == 0) continue;
    hosts.push_back(it);
  }
  return rendezvous(announcement.incarnation(), hosts).value_or(settings_.host());
}

void entry_host::state::on(time_point now, const call_finished& event, entry_effects& out) {
  dispatcher_.on_call_finished(now, event, out);
}

void entry_host::state::on(time_point now, const connection_checked& event,
                           entry_effects& /*out*/) {
  auto result = probe_result::failed;
  if (event.status) {
    result = !event.status->right_identity() ? probe_result::wrong_identity
             : event.status->healthy()       ? probe_result::healthy
                                             : probe_result::unhealthy;
  }
  pool_.on_probe_result(now, event.upstream, event.connection, result);
}

void entry_host::state::execute(const std::vector<connection_action>& actions, entry_effects& out) {
  for (const auto& it : actions) {
    switch (it.action) {
    case connection_action::kind::replace:
      out.emplace_back(close_connection{it.replaced});
      [[fallthrough]];
    case connection_action::kind::open:
      out.emplace_back(open_connection{it.connection, it.address.to_string()});
      break;
    case connection_action::kind::probe:
      out.emplace_back(check_connection{it.incarnation, it.connection});
      break;
    case connection_action::kind::close:
      out.emplace_back(close_connection{it.connection});
      break;
    }
  }
}

} // namespace zinnia
