#pragma once

#include "zinniarelay/config/service_directory.h"
#include "zinniarelay/membership/member_table.h"
#include "zinniarelay/request/request_executor.h"
#include "zinniarelay/token/flow_token.h"

#include "caller.pb.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace zinnia {

/// The packet is handled by this host.
struct handle_here {
  takeover_mode mode = takeover_mode::none;
};

/// The packet is forwarded to another host.
struct forward_to {
  host_id host;
};

/// The packet is refused, and the caller gets a refusal.
struct refuse_packet {
  wire::refusal_cause cause = wire::refusal_unset;
};

/// The packet is dropped. Its retransmission may arrive at a host with newer configuration or
/// membership.
struct drop_packet {};

using route_decision = std::variant<handle_here, forward_to, refuse_packet, drop_packet>;

/// Decides by the flow token where a caller's packet is handled
/// (docs/design.md R2, R3, R5, R11).
class packet_router {
public:
  packet_router(host_id self, const service_directory& directory, const member_table& members)
      : self_(self), directory_(directory), members_(members) {}

  /// Routes a request that arrived at a service address.
  route_decision route(const flow_token& token, endpoint service_address, wire::method_kind kind,
                       std::uint32_t attempt) const;

  /// Routes an acknowledgement, which only the executing host can handle.
  route_decision route_ack(const flow_token& token) const;

  /// Returns the configured policy of a method.
  service_policy policy_of(service_id service, const std::string& method) const;

private:
  std::optional<wire::refusal_cause> refusal(const flow_token& token,
                                             endpoint service_address) const;

  host_id self_;
  const service_directory& directory_;
  const member_table& members_;
};

} // namespace zinnia
