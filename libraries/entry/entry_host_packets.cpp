#include "entry/entry_host_state.h"

#include <algorithm>

// How an entry host handles the packets of callers and of other hosts.

namespace zinnia {
namespace {

// A packet that was forwarded twice has passed two hosts with stale membership or configuration.
// Forwarding it again would only add load.
constexpr std::uint32_t max_hops = 2;

} // namespace

// Packets of callers.

void entry_host::state::on(time_point now, const fabric_datagram& event, entry_effects& out) {
  last_fabric_packet_ = now;
  received_packet received;
  received.fabric = event.from;
  if (!received.frame.ParseFromString(event.data)) {
    ++counters_.malformed;
    return;
  }
  on_packet(now, std::move(received), out);
}

void entry_host::state::on_packet(time_point now, received_packet received, entry_effects& out) {
  if (!received.packet.ParseFromString(received.frame.payload())) {
    ++counters_.malformed;
    refuse(received, wire::refusal_malformed, out);
    return;
  }
  switch (received.packet.body_case()) {
  case wire::caller_packet::kOpen:
    on_open(now, received, out);
    break;
  case wire::caller_packet::kRequest:
    on_request(now, received, out);
    break;
  case wire::caller_packet::kAck:
    on_ack(now, received, out);
    break;
  default:
    ++counters_.malformed;
    refuse(received, wire::refusal_malformed, out);
    break;
  }
}

void entry_host::state::on_open(time_point now, const received_packet& received,
                                entry_effects& out) {
  const auto& open = received.packet.open();
  const auto* service = directory_.find(open.service());
  if (service == nullptr) {
    refuse(received, wire::refusal_unknown_service, out);
    return;
  }
  const auto* service_at_address = directory_.find(received.service_address());
  if (service_at_address == nullptr || service_at_address->id() != service->id()) {
    refuse(received, wire::refusal_wrong_service, out);
    return;
  }
  const auto chosen = router_.choose(now, service_id{service->id()}, open.nonce());
  if (!chosen) {
    refuse(received, wire::refusal_no_host, out);
    return;
  }
  ++counters_.opened;
  const auto& executor = dispatcher_.executor();
  wire::caller_packet packet;
  auto* opened = packet.mutable_opened();
  opened->set_nonce(open.nonce());
  const flow_id flow{engine_()};
  opened->set_flow(flow.value);
  opened->set_token(keys_.seal(token_for(*service, *chosen, flow)));
  const auto validity =
      *chosen == settings_.host() ? executor.token_validity(now) : executor.min_token_validity();
  opened->set_valid_ms(static_cast<std::uint32_t>(validity.count()));
  reply(received, packet, out);
}

void entry_host::state::on_request(time_point now, const received_packet& received,
                                   entry_effects& out) {
  const auto& request = received.packet.request();
  const auto token = open_token(received, request.token(), out);
  if (!token) return;
  const auto policy = packet_router_.policy_of(token->service, request.method());
  const auto decision =
      packet_router_.route(*token, received.service_address(), policy.kind, request.attempt());
  if (const auto* refused = std::get_if<refuse_packet>(&decision)) {
    refuse(received, refused->cause, out);
    return;
  }
  if (const auto* other = std::get_if<forward_to>(&decision);
      other != nullptr && !received.is_takeover) {
    forward(received, other->host, false, out);
    return;
  }
  const auto* here = std::get_if<handle_here>(&decision);
  if (here == nullptr && !received.is_takeover) {
    ++counters_.dropped;
    return;
  }
  auto mode = here != nullptr ? here->mode : takeover_mode::repeated_attempt;
  if (received.is_takeover && token->executing_host != settings_.host())
    mode = takeover_mode::repeated_attempt;
  run_locally(now, received, *token, policy, mode, out);
}

void entry_host::state::run_locally(time_point now, const received_packet& received,
                                    const flow_token& token, const service_policy& policy,
                                    takeover_mode mode, entry_effects& out) {
  const auto& request = received.packet.request();
  // An idempotent request may run on any host that has upstreams (docs/design.md R11).
  const bool is_movable = policy.kind == wire::idempotent && received.hops < max_hops;
  if (is_movable && pool_.usable_slots(now, policy.service) == 0) {
    if (const auto other = choose_other_host(now, policy.service, token.flow.value)) {
      forward(received, *other, true, out);
      return;
    }
  }
  ++counters_.requests;
  dispatcher_.execute(
      now, dispatcher_.executor().on_request(now, token, request, policy, received.route(), mode),
      out);
}

void entry_host::state::on_ack(time_point now, const received_packet& received,
                               entry_effects& out) {
  const auto& ack = received.packet.ack();
  const auto token = open_token(received, ack.token(), out);
  if (!token) return;
  const auto decision = packet_router_.route_ack(*token);
  if (const auto* other = std::get_if<forward_to>(&decision))
    forward(received, other->host, false, out);
  else if (std::holds_alternative<handle_here>(decision))
    dispatcher_.executor().on_ack(now, *token, ack.request_number());
}

std::optional<flow_token> entry_host::state::open_token(const received_packet& received,
                                                        const std::string& sealed,
                                                        entry_effects& out) {
  const auto token = keys_.open(sealed);
  if (token) return token.value();
  const auto cause = token.error().kind == error_kind::not_found      ? wire::refusal_unknown_key
                     : token.error().kind == error_kind::unauthorized ? wire::refusal_forged_token
                                                                      : wire::refusal_malformed;
  refuse(received, cause, out);
  return std::nullopt;
}

void entry_host::state::forward(const received_packet& received, host_id to, bool is_takeover,
                                entry_effects& out) {
  if (received.hops >= max_hops) {
    ++counters_.dropped;
    return;
  }
  ++counters_.forwarded;
  wire::peer_packet packet;
  auto* body = packet.mutable_forward();
  *body->mutable_frame() = received.frame;
  body->set_takeover(is_takeover);
  body->set_hops(received.hops + 1);
  body->set_fabric_address(received.fabric.address);
  body->set_fabric_port(received.fabric.port);
  send_to_host(to, std::move(packet), out);
}

void entry_host::state::refuse(const received_packet& received, wire::refusal_cause cause,
                               entry_effects& out) {
  ++counters_.refused;
  wire::caller_packet packet;
  auto* refused = packet.mutable_refused();
  refused->set_cause(cause);
  if (received.packet.has_open()) refused->set_nonce(received.packet.open().nonce());
  if (received.packet.has_request()) {
    refused->set_request_number(received.packet.request().request_number());
    const auto token = keys_.open(received.packet.request().token());
    if (token) refused->set_flow(token.value().flow.value);
  }
  reply(received, packet, out);
}

void entry_host::state::reply(const received_packet& received, const wire::caller_packet& packet,
                              entry_effects& out) {
  auto frame = received.frame;
  frame.set_payload(packet.SerializeAsString());
  out.emplace_back(send_to_fabric{received.fabric, frame.SerializeAsString()});
}

// Tokens.

// Returns the executing host for a new flow. Empty when that is this host, or when no host has an
// upstream of the service.
std::optional<host_id> entry_host::state::choose_other_host(time_point now, service_id service,
                                                            std::uint64_t key) {
  const auto chosen = router_.choose(now, service, key);
  return chosen != settings_.host() ? chosen : std::nullopt;
}

flow_token entry_host::state::token_for(const wire::service_entry& service, host_id host,
                                        flow_id flow) const {
  flow_token token;
  token.service = service_id{service.id()};
  token.service_generation = service.generation();
  token.flow = flow;
  token.executing_host = settings_.host();
  token.executing_incarnation = incarnation_;
  token.zone = settings_.availability_zone();
  token.record_epoch = dispatcher_.executor().record_epoch(now_);
  const auto* other = host != settings_.host() ? members_.find(host) : nullptr;
  if (other != nullptr) {
    token.executing_host = host;
    token.executing_incarnation = other->incarnation;
    token.zone = other->zone;
    token.record_epoch = other->load.record_epoch;
  }
  return token;
}

// Returns the token to send with an answer. A draining host sends tokens that name another host,
// which lets the flow continue after the planned stop. Without another host, the token is
// unchanged.
flow_token entry_host::state::renewed_token(const flow_token& token) {
  if (!is_draining()) return token;
  const auto* service = directory_.find(token.service);
  const auto other = choose_other_host(now_, token.service, token.flow.value);
  if (service == nullptr || !other) return token;
  return token_for(*service, *other, token.flow);
}

// Other hosts.

void entry_host::state::on(time_point now, const peer_datagram& event, entry_effects& out) {
  wire::peer_packet packet;
  if (!packet.ParseFromString(event.data)) {
    ++counters_.malformed;
    return;
  }
  switch (packet.body_case()) {
  case wire::peer_packet::kForward: {
    received_packet received;
    received.frame = packet.forward().frame();
    received.fabric = {packet.forward().fabric_address(),
                       static_cast<std::uint16_t>(packet.forward().fabric_port())};
    received.hops = std::max<std::uint32_t>(packet.forward().hops(), 1);
    received.is_takeover = packet.forward().takeover();
    on_packet(now, std::move(received), out);
    break;
  }
  case wire::peer_packet::kProbe:
  case wire::peer_packet::kProbeAck:
  case wire::peer_packet::kIndirect:
    counters_.control_bytes_in += event.data.size() + datagram_overhead;
    execute(now, members_.step(now, probe_received{event.from, std::move(packet)}), out);
    break;
  case wire::peer_packet::kSlotAsk:
  case wire::peer_packet::kSlotGiven:
  case wire::peer_packet::kSlotReturned:
    counters_.control_bytes_in += event.data.size() + datagram_overhead;
    dispatcher_.on_peer_message(now, packet, out);
    break;
  default:
    ++counters_.malformed;
    break;
  }
}

void entry_host::state::execute(time_point now, const member_effects& effects, entry_effects& out) {
  for (const auto& it : effects) {
    if (const auto* probe = std::get_if<send_probe>(&it)) {
      auto data = probe->packet.SerializeAsString();
      counters_.control_bytes_out += data.size() + datagram_overhead;
      out.emplace_back(send_to_peer{probe->to, std::move(data)});
    } else if (const auto* changed = std::get_if<member_changed>(&it)) {
      router_.on_member(now, changed->value);
      if (!changed->value.is_live()) dispatcher_.on_host_gone(now, changed->value.id, out);
    } else if (const auto* removed = std::get_if<member_removed>(&it)) {
      router_.on_member_removed(removed->id);
    }
  }
}

void entry_host::state::send_to_host(host_id to, wire::peer_packet packet, entry_effects& out) {
  const auto* member = members_.find(to);
  if (member == nullptr) {
    ++counters_.dropped;
    return;
  }
  packet.set_from_host(settings_.host().value);
  packet.set_from_incarnation(incarnation_.value);
  auto data = packet.SerializeAsString();
  if (!packet.has_forward()) counters_.control_bytes_out += data.size() + datagram_overhead;
  out.emplace_back(send_to_peer{member->address, std::move(data)});
}

} // namespace zinnia
