#include "zinniarelay/entry/packet_router.h"

namespace zinnia {
namespace {

// From this attempt on, a host takes over an idempotent request of an unresponsive executing host,
// without waiting until that host is declared dead.
constexpr std::uint32_t takeover_attempt = 3;

} // namespace

route_decision packet_router::route(const flow_token& token, endpoint service_address,
                                    wire::method_kind kind, std::uint32_t attempt) const {
  const auto* service = directory_.find(token.service);
  // The service may have been added after this host's configuration (docs/design.md R28).
  if (service == nullptr) return drop_packet{};
  if (const auto cause = refusal(token, service_address)) return refuse_packet{*cause};
  if (token.executing_host == self_) return handle_here{};
  const auto* executing = members_.find(token.executing_host);
  if (kind == wire::idempotent) {
    // The answers of a host that is cut off from the fabric would be lost, so such a host is
    // treated as dead.
    if (executing == nullptr || !executing->is_live() || executing->load.is_without_fabric_packets)
      return handle_here{takeover_mode::executing_host_dead};
    if (attempt >= takeover_attempt) return handle_here{takeover_mode::repeated_attempt};
  }
  if (executing == nullptr) return drop_packet{};
  // The executor reports a non-idempotent request as unknown (docs/design.md R6). The caller then
  // opens a new flow for its next requests.
  if (!executing->is_live()) return handle_here{takeover_mode::executing_host_dead};
  return forward_to{token.executing_host};
}

route_decision packet_router::route_ack(const flow_token& token) const {
  if (token.executing_host == self_) return handle_here{};
  if (members_.find(token.executing_host) == nullptr) return drop_packet{};
  return forward_to{token.executing_host};
}

service_policy packet_router::policy_of(service_id service, const std::string& method) const {
  service_policy policy;
  policy.service = service;
  const auto* entry = directory_.find(service);
  if (entry == nullptr) return policy;
  policy.retry_percent = entry->declaration().retry_percent();
  for (const auto& it : entry->declaration().methods()) {
    if (it.name() != method) continue;
    policy.kind = it.kind();
    policy.max_deadline = milliseconds(it.deadline_ms());
  }
  return policy;
}

std::optional<wire::refusal_cause> packet_router::refusal(const flow_token& token,
                                                          endpoint service_address) const {
  const auto* service = directory_.find(token.service);
  const auto* service_at_address = directory_.find(service_address);
  if (service_at_address == nullptr || service_at_address->id() != service->id())
    return wire::refusal_wrong_service;
  if (service->generation() != token.service_generation) return wire::refusal_stale_generation;
  return std::nullopt;
}

} // namespace zinnia
