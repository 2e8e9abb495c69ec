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

/// This host handles the packet.
struct handle_here {
  takeover_mode mode = takeover_mode::none;
};

/// Another host handles the packet.
struct forward_to {
  host_id host;
};

/// No host handles the packet, and the caller is told.
struct refuse_packet {
  wire::refusal_cause cause = wire::refusal_unset;
};

/// The packet is dropped; its retransmission may reach a host that knows more.
struct drop_packet {};

using route_decision = std::variant<handle_here, forward_to, refuse_packet, drop_packet>;

/// Decides from its flow token where a packet of a caller is handled
/// (docs/design.md R2, R3, R5, R11).
class packet_router {
public:
  packet_router(host_id self, const service_directory& directory, const member_table& members)
      : self_(self), directory_(directory), members_(members) {}

  /// Routes a request that arrived at a service address.
  route_decision route(const flow_token& token, endpoint service_address, wire::method_kind kind,
                       std::uint32_t attempt) const;

  /// Routes an acknowledgement, which belongs to the executing host alone.
  route_decision route_ack(const flow_token& token) const;

  /// What the configuration says about a method.
  service_policy policy_of(service_id service, const std::string& method) const;

private:
  std::optional<wire::refusal_cause> refusal(const flow_token& token,
                                             endpoint service_address) const;

  host_id self_;
  const service_directory& directory_;
  const member_table& members_;
};

} // namespace zinnia
