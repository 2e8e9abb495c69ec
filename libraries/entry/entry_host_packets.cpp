#include "entry/entry_host_state.h"

#include <algorithm>

// How an entry host handles the packets of callers and of other hosts.

namespace zinnia {
namespace {

// A forwarded packet that is forwarded again has met two stale views; a third
// would only add load.
constexpr std::uint32_t forward_limit = 2;

} // namespace

// Packets of callers.

void entry_host::state::on(time_point now, const fabric_datagram& event, entry_effects& out) {
  last_fabric_packet_ = now;
  arrived_packet arrived;
  arrived.fabric = event.from;
  if (!arrived.frame.ParseFromString(event.data)) {
    ++counters_.malformed;
    return;
  }
  on_packet(now, std::move(arrived), out);
}

void entry_host::state::on_packet(time_point now, arrived_packet arrived, entry_effects& out) {
  if (!arrived.packet.ParseFromString(arrived.frame.payload())) {
    ++counters_.malformed;
    refuse(arrived, wire::refusal_malformed, out);
    return;
  }
  switch (arrived.packet.body_case()) {
  case wire::caller_packet::kOpen:
    on_open(now, arrived, out);
    break;
  case wire::caller_packet::kRequest:
    on_request(now, arrived, out);
    break;
  case wire::caller_packet::kAck:
    on_ack(now, arrived, out);
    break;
  default:
    ++counters_.malformed;
    refuse(arrived, wire::refusal_malformed, out);
    break;
  }
}

void entry_host::state::on_open(time_point now, const arrived_packet& arrived, entry_effects& out) {
  const auto& open = arrived.packet.open();
  const auto* service = directory_.find(open.service());
  if (service == nullptr) {
    refuse(arrived, wire::refusal_unknown_service, out);
    return;
  }
  const auto* at_address = directory_.find(arrived.service_address());
  if (at_address == nullptr || at_address->id() != service->id()) {
    refuse(arrived, wire::refusal_wrong_service, out);
    return;
  }
  const auto chosen = router_.choose(now, service_id{service->id()}, open.nonce());
  if (!chosen) {
    refuse(arrived, wire::refusal_no_host, out);
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
  reply(arrived, packet, out);
}

void entry_host::state::on_request(time_point now, const arrived_packet& arrived,
                                   entry_effects& out) {
  const auto& request = arrived.packet.request();
  const auto token = open_token(arrived, request.token(), out);
  if (!token) return;
  const auto policy = packet_router_.policy_of(token->service, request.method());
  const auto decision =
      packet_router_.route(*token, arrived.service_address(), policy.kind, request.attempt());
  if (const auto* refused = std::get_if<refuse_packet>(&decision)) {
    refuse(arrived, refused->cause, out);
    return;
  }
  if (const auto* other = std::get_if<forward_to>(&decision);
      other != nullptr && !arrived.is_takeover) {
    forward(arrived, other->host, false, out);
    return;
  }
  const auto* here = std::get_if<handle_here>(&decision);
  if (here == nullptr && !arrived.is_takeover) {
    ++counters_.dropped;
    return;
  }
  auto mode = here != nullptr ? here->mode : takeover_mode::repeated_attempt;
  if (arrived.is_takeover && token->executing_host != settings_.host())
    mode = takeover_mode::repeated_attempt;
  run_here(now, arrived, *token, policy, mode, out);
}

void entry_host::state::run_here(time_point now, const arrived_packet& arrived,
                                 const flow_token& token, const service_policy& policy,
                                 takeover_mode mode, entry_effects& out) {
  const auto& request = arrived.packet.request();
  // An idempotent request may run where there are upstreams (docs/design.md R11).
  const bool is_movable = policy.kind == wire::idempotent && arrived.hops < forward_limit;
  if (is_movable && pool_.usable_slots(now, policy.service) == 0) {
    if (const auto other = other_host(now, policy.service, token.flow.value)) {
      forward(arrived, *other, true, out);
      return;
    }
  }
  ++counters_.requests;
  dispatcher_.carry_out(
      now, dispatcher_.executor().on_request(now, token, request, policy, arrived.route(), mode),
      out);
}

void entry_host::state::on_ack(time_point now, const arrived_packet& arrived, entry_effects& out) {
  const auto& ack = arrived.packet.ack();
  const auto token = open_token(arrived, ack.token(), out);
  if (!token) return;
  const auto decision = packet_router_.route_ack(*token);
  if (const auto* other = std::get_if<forward_to>(&decision))
    forward(arrived, other->host, false, out);
  else if (std::holds_alternative<handle_here>(decision))
    dispatcher_.executor().on_ack(now, *token, ack.request_number());
}

std::optional<flow_token> entry_host::state::open_token(const arrived_packet& arrived,
                                                        const std::string& sealed,
                                                        entry_effects& out) {
  const auto token = keys_.open(sealed);
  if (token) return token.value();
  const auto cause = token.error().kind == error_kind::not_found      ? wire::refusal_unknown_key
                     : token.error().kind == error_kind::unauthorized ? wire::refusal_forged_token
                                                                      : wire::refusal_malformed;
  refuse(arrived, cause, out);
  return std::nullopt;
}

void entry_host::state::forward(const arrived_packet& arrived, host_id to, bool is_takeover,
                                entry_effects& out) {
  if (arrived.hops >= forward_limit) {
    ++counters_.dropped;
    return;
  }
  ++counters_.forwarded;
  wire::peer_packet packet;
  auto* body = packet.mutable_forward();
  *body->mutable_frame() = arrived.frame;
  body->set_takeover(is_takeover);
  body->set_hops(arrived.hops + 1);
  body->set_fabric_address(arrived.fabric.address);
  body->set_fabric_port(arrived.fabric.port);
  send_to_host(to, std::move(packet), out);
}

void entry_host::state::refuse(const arrived_packet& arrived, wire::refusal_cause cause,
                               entry_effects& out) {
  ++counters_.refused;
  wire::caller_packet packet;
  auto* refused = packet.mutable_refused();
  refused->set_cause(cause);
  if (arrived.packet.has_open()) refused->set_nonce(arrived.packet.open().nonce());
  if (arrived.packet.has_request()) {
    refused->set_request_number(arrived.packet.request().request_number());
    const auto token = keys_.open(arrived.packet.request().token());
    if (token) refused->set_flow(token.value().flow.value);
  }
  reply(arrived, packet, out);
}

void entry_host::state::reply(const arrived_packet& arrived, const wire::caller_packet& packet,
                              entry_effects& out) {
  auto frame = arrived.frame;
  frame.set_payload(packet.SerializeAsString());
  out.emplace_back(send_to_fabric{arrived.fabric, frame.SerializeAsString()});
}

// Tokens.

std::optional<host_id> entry_host::state::other_host(time_point now, service_id service,
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

// Answers of a draining host carry tokens that name another host, so that the
// flow outlives the planned stop.
flow_token entry_host::state::renewed(const flow_token& token) {
  if (!is_draining()) return token;
  const auto* service = directory_.find(token.service);
  const auto other = other_host(now_, token.service, token.flow.value);
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
    arrived_packet arrived;
    arrived.frame = packet.forward().frame();
    arrived.fabric = {packet.forward().fabric_address(),
                      static_cast<std::uint16_t>(packet.forward().fabric_port())};
    arrived.hops = std::max<std::uint32_t>(packet.forward().hops(), 1);
    arrived.is_takeover = packet.forward().takeover();
    on_packet(now, std::move(arrived), out);
    break;
  }
  case wire::peer_packet::kProbe:
  case wire::peer_packet::kProbeAck:
  case wire::peer_packet::kIndirect:
    counters_.control_bytes_in += event.data.size() + datagram_overhead;
    carry_out(now, members_.step(now, probe_received{event.from, std::move(packet)}), out);
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

void entry_host::state::carry_out(time_point now, const member_effects& effects,
                                  entry_effects& out) {
  for (const auto& it : effects) {
    if (const auto* probe = std::get_if<send_probe>(&it)) {
      auto data = probe->packet.SerializeAsString();
      counters_.control_bytes_out += data.size() + datagram_overhead;
      out.emplace_back(send_to_peer{probe->to, std::move(data)});
    } else if (const auto* changed = std::get_if<member_changed>(&it)) {
      router_.on_member(now, changed->value);
      if (!changed->value.is_live()) dispatcher_.on_host_gone(now, changed->value.id, out);
    } else if (const auto* forgotten = std::get_if<member_removed>(&it)) {
      router_.on_member_removed(forgotten->id);
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
