#include "zinniarelay/entry/entry_host.h"

#include "entry/request_dispatcher.h"
#include "zinniarelay/balance/host_router.h"
#include "zinniarelay/balance/rendezvous.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/entry/control_poller.h"
#include "zinniarelay/entry/host_drain.h"
#include "zinniarelay/entry/packet_router.h"
#include "zinniarelay/membership/member_table.h"

#include "fabric.pb.h"
#include "peer.pb.h"

#include <algorithm>
#include <sodium.h>

namespace zinnia {
namespace {

// A forwarded packet that is forwarded again has met two stale views; a third
// would only add load.
constexpr std::uint32_t forward_limit = 2;
constexpr milliseconds load_period{100};
// A host that serves thousands of flows a second gets packets in every millisecond.
constexpr milliseconds fabric_silence{1000};
// A tick looks at every member, so it is no more frequent than its timers need.
constexpr milliseconds membership_period{50};
constexpr milliseconds renewal_period{500};
constexpr milliseconds lease_length{2000};
// Headers that a datagram adds to the counted bytes: IPv4 and UDP.
constexpr std::uint64_t datagram_overhead = 28;
// What HTTP/2, TCP and IP add to a call and its reply.
constexpr std::uint64_t call_overhead = 400;

// BLAKE2b-256, as declarations hold the digest of a credential.
std::string credential_digest(const std::string& credential) {
  std::string digest(crypto_generichash_BYTES, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()), digest.size(),
                     reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
                     nullptr, 0);
  return digest;
}

/// A caller's packet on its way through this host.
struct arrived_packet {
  wire::fabric_frame frame;
  wire::caller_packet packet;
  endpoint fabric;
  std::uint32_t hops = 0;
  bool is_takeover = false;

  endpoint service_address() const {
    return {frame.service_address(), static_cast<std::uint16_t>(frame.service_port())};
  }
  reply_route route() const {
    return {{frame.caller_address(), static_cast<std::uint16_t>(frame.caller_port())},
            service_address(),
            fabric};
  }
};

struct entry_counters {
  std::uint64_t opened = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t dropped = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_announcements = 0;
  std::uint64_t failed_polls = 0;
  std::uint64_t control_bytes_in = 0;
  std::uint64_t control_bytes_out = 0;
};

} // namespace

class entry_host::state {
public:
  state(const entry_settings& settings, key_ring keys, incarnation_id incarnation, host_drain drain,
        random_engine engine);

  entry_effects step(time_point now, const entry_event& event);
  result<void> restore(const wire::configuration& configuration);
  bool is_drained() const { return has_departed_; }
  wire::metrics_reply metrics(time_point now) const;
  wire::host_status status(time_point now) const;

private:
  request_executor make_executor();
  dispatch_queue make_queue();

  void on(time_point now, const fabric_datagram& event, entry_effects& out);
  void on(time_point now, const peer_datagram& event, entry_effects& out);
  void on(time_point now, const announcement_received& event, entry_effects& out);
  void on(time_point now, const call_finished& event, entry_effects& out);
  void on(time_point now, const connection_checked& event, entry_effects& out);
  void on(time_point now, const sync_finished& event, entry_effects& out);
  void on(time_point now, const keys_loaded& event, entry_effects& out);
  void on(time_point now, const drain_requested& event, entry_effects& out);
  void on(time_point now, const timer_tick& event, entry_effects& out);

  void on_packet(time_point now, const arrived_packet& arrived, entry_effects& out);
  void on_open(time_point now, const arrived_packet& arrived, entry_effects& out);
  void on_request(time_point now, const arrived_packet& arrived, entry_effects& out);
  void on_ack(time_point now, const arrived_packet& arrived, entry_effects& out);
  void run_here(time_point now, const arrived_packet& arrived, const flow_token& token,
                const service_policy& policy, takeover_mode mode, entry_effects& out);
  void forward(const arrived_packet& arrived, host_id to, bool is_takeover, entry_effects& out);
  void refuse(const arrived_packet& arrived, wire::refusal_cause cause, entry_effects& out);
  void reply(const arrived_packet& arrived, const wire::caller_packet& packet, entry_effects& out);
  std::optional<flow_token> open_token(const arrived_packet& arrived, const std::string& sealed,
                                       entry_effects& out);

  std::optional<host_id> other_host(time_point now, service_id service, std::uint64_t key);
  flow_token token_for(const wire::service_entry& service, host_id host, flow_id flow) const;
  flow_token renewed(const flow_token& token);
  wire::announcement_reply answer(time_point now, const wire::announcement& said);
  host_id dispatching_host(const wire::announcement& said) const;

  void carry_out(time_point now, const member_effects& effects, entry_effects& out);
  void carry_out(const std::vector<connection_action>& actions, entry_effects& out);
  void send_to_host(host_id to, wire::peer_packet packet, entry_effects& out);
  void measure_load(time_point now, entry_effects& out);
  void apply_configuration(time_point now, const wire::configuration& update, entry_effects& out);
  void update_drains(entry_effects& out);
  void step_drain(drain_event event, entry_effects& out);
  bool is_draining() const { return !drain_.is_serving(); }
  void poll(time_point now, entry_effects& out);
  void follow_drain(time_point now, entry_effects& out);

  entry_settings settings_;
  key_ring keys_;
  incarnation_id incarnation_;
  random_engine engine_;
  service_directory directory_;
  member_table members_;
  host_router router_;
  upstream_pool pool_;
  metric_registry metrics_;
  request_dispatcher dispatcher_;
  packet_router packet_router_;
  control_poller poller_;
  host_drain drain_;
  entry_counters counters_;
  time_point now_{};
  time_point next_load_{};
  time_point last_fabric_packet_{};
  time_point next_membership_{};
  bool is_stopping_ = false;
  bool has_departed_ = false;
};

entry_host::state::state(const entry_settings& settings, key_ring keys, incarnation_id incarnation,
                         host_drain drain, random_engine engine)
    : settings_(settings), keys_(std::move(keys)), incarnation_(incarnation), engine_(engine),
      members_(
          {settings.host(), incarnation, settings.availability_zone(), settings.peer_address()}, {},
          engine_()),
      router_(settings.host(), settings.availability_zone(), {}, engine_()), pool_({}, engine_()),
      dispatcher_(
          directory_, make_executor(), make_queue(),
          [this](host_id to, wire::peer_packet packet, entry_effects& out) {
            send_to_host(to, std::move(packet), out);
          },
          metrics_),
      packet_router_(settings.host(), directory_, members_), poller_(settings.control_hosts()),
      drain_(std::move(drain)) {
  std::vector<host_address> seeds;
  // The id of a seed is learned from its answer.
  for (const auto& it : settings.seeds())
    if (it != settings.peer_address()) seeds.push_back({host_id{0}, zone_id{0}, it});
  members_.step(now_, addresses_known{std::move(seeds)});
}

request_executor entry_host::state::make_executor() {
  request_settings limits;
  limits.table.records = settings_.limits().records;
  limits.table.tombstones = settings_.limits().tombstones;
  limits.table.live_bytes = settings_.limits().stored_answer_bytes;
  return request_executor::create(
             limits, settings_.host(), incarnation_,
             [this](const flow_token& token) { return keys_.seal(renewed(token)); })
      .value();
}

dispatch_queue entry_host::state::make_queue() {
  return dispatch_queue({}, pool_, engine_(),
                        [this](time_point now, service_id service, std::span<const host_id> asked) {
                          return router_.choose_lender(now, service, asked);
                        });
}

entry_effects entry_host::state::step(time_point now, const entry_event& event) {
  now_ = now;
  entry_effects out;
  std::visit([&](const auto& it) { on(now, it, out); }, event);
  return out;
}

// Packets of callers.

void entry_host::state::on(time_point now, const fabric_datagram& event, entry_effects& out) {
  last_fabric_packet_ = now;
  arrived_packet arrived;
  arrived.fabric = event.from;
  if (!arrived.frame.ParseFromString(event.data)) {
    ++counters_.malformed;
    return;
  }
  on_packet(now, arrived, out);
}

void entry_host::state::on_packet(time_point now, const arrived_packet& frame_only,
                                  entry_effects& out) {
  auto arrived = frame_only;
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
      *chosen == settings_.host() ? executor.token_validity(now) : executor.least_token_validity();
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
    on_packet(now, arrived, out);
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
    } else if (const auto* forgotten = std::get_if<member_forgotten>(&it)) {
      router_.on_forgotten(forgotten->id);
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

void entry_host::state::measure_load(time_point now, entry_effects& out) {
  if (now < next_load_) return;
  next_load_ = now + load_period;
  host_load load;
  load.record_epoch = dispatcher_.executor().record_epoch(now);
  load.revision = directory_.revision();
  load.draining = is_draining();
  load.registration = settings_.registration_address();
  load.services = dispatcher_.queue().loads(now);
  load.fabric_silent = now - last_fabric_packet_ > fabric_silence;
  carry_out(now, members_.step(now, load_measured{std::move(load)}), out);
  router_.on_member(now, *members_.find(settings_.host()));
}

// Upstreams.

void entry_host::state::on(time_point now, const announcement_received& event, entry_effects& out) {
  auto reply = answer(now, event.announcement);
  counters_.control_bytes_in += event.announcement.ByteSizeLong();
  counters_.control_bytes_out += reply.ByteSizeLong() + call_overhead;
  if (reply.result() != wire::announcement_reply::accepted &&
      reply.result() != wire::announcement_reply::redirected)
    ++counters_.refused_announcements;
  out.emplace_back(reply_to_announcement{event.ticket, std::move(reply)});
  // A new lease may let queued requests start.
  dispatcher_.on_tick(now, out);
}

wire::announcement_reply entry_host::state::answer(time_point now, const wire::announcement& said) {
  wire::announcement_reply reply;
  const auto refusal = [&](wire::announcement_reply::status status, std::string cause) {
    reply.set_result(status);
    reply.set_cause(std::move(cause));
    return reply;
  };
  const auto* service = directory_.find(said.service());
  if (service == nullptr)
    return refusal(wire::announcement_reply::unknown_service,
                   "no service \"" + said.service() + "\" at revision " +
                       std::to_string(directory_.revision()));
  if (credential_digest(said.credential()) != service->declaration().credential_digest())
    return refusal(wire::announcement_reply::bad_credential,
                   "the credential is not that of service \"" + said.service() + '"');
  const auto address = endpoint::parse(said.address());
  if (!address)
    return refusal(wire::announcement_reply::malformed, "address: " + address.error().cause);
  if (said.zone() != settings_.availability_zone().value)
    return refusal(wire::announcement_reply::malformed,
                   "zone " + std::to_string(said.zone()) + ": this host serves zone " +
                       std::to_string(settings_.availability_zone().value));
  reply.set_renew_ms(static_cast<std::uint32_t>(renewal_period.count()));
  reply.set_lease_ms(static_cast<std::uint32_t>(lease_length.count()));
  reply.set_drain_requested(directory_.is_draining(incarnation_id{said.incarnation()}));
  const auto dispatching = dispatching_host(said);
  if (dispatching != settings_.host()) {
    reply.set_result(wire::announcement_reply::redirected);
    reply.set_dispatching_host(members_.find(dispatching)->load.registration.to_string());
    return reply;
  }
  upstream_announcement announcement;
  announcement.service = service_id{service->id()};
  announcement.incarnation = incarnation_id{said.incarnation()};
  announcement.address = address.value();
  announcement.slots = said.slots();
  announcement.leaving = said.leaving();
  announcement.reported_outstanding = said.reported_outstanding();
  announcement.reported_unhealthy = said.reported_unhealthy();
  announcement.lease_echo = said.lease_echo();
  const auto answered = pool_.on_announcement(now, announcement);
  if (!answered.is_accepted())
    return refusal(wire::announcement_reply::malformed,
                   answered.result == announcement_result::superseded
                       ? "a newer incarnation has announced itself on this address"
                       : "no slots, or the incarnation belongs to another service");
  reply.set_result(wire::announcement_reply::accepted);
  reply.set_dispatching_host(settings_.registration_address().to_string());
  reply.set_lease_mark(answered.lease_mark);
  reply.set_drain_requested(reply.drain_requested() || answered.drain_requested);
  return reply;
}

// Draining hosts take no new upstreams, but one keeps its own until its requests
// have ended, because it may need their slots (docs/design.md R12, R21).
host_id entry_host::state::dispatching_host(const wire::announcement& said) const {
  if (is_draining() && !dispatcher_.has_no_requests()) return settings_.host();
  std::vector<host_id> hosts;
  for (const auto& it : members_.live_hosts(settings_.availability_zone())) {
    const auto* member = members_.find(it);
    const bool is_self = it == settings_.host();
    if (is_self ? is_draining() : member->load.draining) continue;
    if (!is_self && member->load.registration.port == 0) continue;
    hosts.push_back(it);
  }
  return rendezvous(said.incarnation(), hosts).value_or(settings_.host());
}

void entry_host::state::on(time_point now, const call_finished& event, entry_effects& out) {
  dispatcher_.on_call_finished(now, event, out);
}

void entry_host::state::on(time_point now, const connection_checked& event,
                           entry_effects& /*out*/) {
  auto seen = probe_result::failed;
  if (event.status) {
    seen = !event.status->right_identity() ? probe_result::wrong_identity
           : event.status->healthy()       ? probe_result::healthy
                                           : probe_result::unhealthy;
  }
  pool_.on_probe_result(now, event.upstream, event.connection, seen);
}

void entry_host::state::carry_out(const std::vector<connection_action>& actions,
                                  entry_effects& out) {
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

// Configuration.

void entry_host::state::poll(time_point now, entry_effects& out) {
  const auto control_host = poller_.due(now);
  if (!control_host) return;
  auto request = directory_.request();
  *request.mutable_status() = status(now);
  counters_.control_bytes_out += request.ByteSizeLong() + call_overhead;
  out.emplace_back(poll_control{control_host->to_string(), std::move(request)});
}

void entry_host::state::on(time_point now, const sync_finished& event, entry_effects& out) {
  if (!event.reply) {
    ++counters_.failed_polls;
    poller_.on_failure(now);
    return;
  }
  counters_.control_bytes_in += event.reply->ByteSizeLong();
  poller_.on_reply(now, milliseconds(event.reply->quorum_age_ms()));
  if (event.reply->has_changes()) apply_configuration(now, event.reply->changes(), out);
  std::vector<host_address> hosts;
  for (const auto& it : event.reply->hosts()) {
    const auto address = endpoint::parse(it.peer_address());
    if (address)
      hosts.push_back(
          {host_id{it.host()}, zone_id{static_cast<std::uint16_t>(it.zone())}, address.value()});
  }
  if (!hosts.empty()) carry_out(now, members_.step(now, addresses_known{std::move(hosts)}), out);
}

void entry_host::state::apply_configuration(time_point now, const wire::configuration& update,
                                            entry_effects& out) {
  const auto applied = directory_.apply(update);
  if (!applied || applied.value() != service_directory::outcome::applied) return;
  update_drains(out);
  measure_load(now, out);
  out.emplace_back(save_configuration{directory_.complete()});
}

result<void> entry_host::state::restore(const wire::configuration& configuration) {
  ZINNIA_TRY(directory_.apply(configuration));
  entry_effects ignored;
  update_drains(ignored);
  return success();
}

void entry_host::state::update_drains(entry_effects& out) {
  std::vector<incarnation_id> upstreams;
  const auto configuration = directory_.complete();
  for (const auto& it : configuration.drains())
    if (it.kind() == wire::drain_entry::upstream && it.active())
      upstreams.emplace_back(incarnation_id{it.target()});
  pool_.set_drains(upstreams);
  const bool is_wanted = is_stopping_ || directory_.is_draining(settings_.host());
  step_drain(is_wanted ? drain_event::drain_requested : drain_event::drain_undone, out);
}

void entry_host::state::step_drain(drain_event event, entry_effects& out) {
  for (const auto it : drain_.step(event)) {
    switch (it) {
    case drain_action::refuse_opens:
      dispatcher_.executor().begin_drain();
      break;
    case drain_action::accept_opens:
      dispatcher_.executor().end_drain();
      break;
    case drain_action::release_upstreams:
      // Upstreams are redirected at their next renewal, see dispatching_host().
      next_load_ = now_;
      break;
    case drain_action::report_waiting:
      out.emplace_back(report_drain{
          drain_.state_name(), dispatcher_.executor().pending(),
          dispatcher_.executor().unacknowledged(),
          static_cast<std::uint64_t>(dispatcher_.executor().outstanding_tokens(now_).count())});
      break;
    }
  }
}

void entry_host::state::on(time_point /*now*/, const keys_loaded& event, entry_effects& /*out*/) {
  keys_ = event.keys;
}

// Time and planned stops.

void entry_host::state::on(time_point now, const drain_requested& /*event*/, entry_effects& out) {
  is_stopping_ = true;
  step_drain(drain_event::drain_requested, out);
  measure_load(now, out);
}

void entry_host::state::on(time_point now, const timer_tick& /*event*/, entry_effects& out) {
  if (now >= next_membership_) {
    next_membership_ = now + membership_period;
    carry_out(now, members_.step(now, membership_tick{}), out);
  }
  measure_load(now, out);
  carry_out(pool_.tick(now), out);
  dispatcher_.on_tick(now, out);
  poll(now, out);
  follow_drain(now, out);
}

void entry_host::state::follow_drain(time_point now, entry_effects& out) {
  if (drain_.is_serving()) return;
  const auto& executor = dispatcher_.executor();
  if (dispatcher_.has_no_requests()) step_drain(drain_event::requests_finished, out);
  // Nobody but this incarnation can say that a request under its tokens was not run.
  if (executor.unacknowledged() == 0 && executor.outstanding_tokens(now) == milliseconds(0))
    step_drain(drain_event::answers_settled, out);
  if (!is_stopping_ || has_departed_ || !drain_.is_drained()) return;
  has_departed_ = true;
  carry_out(now, members_.step(now, departure_requested{}), out);
}

// Reports.

wire::host_status entry_host::state::status(time_point now) const {
  wire::host_status status;
  status.set_host(settings_.host().value);
  status.set_incarnation(incarnation_.value);
  status.set_zone(settings_.availability_zone().value);
  status.set_revision(directory_.revision());
  status.set_state(drain_.state_name());
  status.set_peer_address(settings_.peer_address().to_string());
  status.set_registration_address(settings_.registration_address().to_string());
  status.set_pending_requests(dispatcher_.executor().pending());
  status.set_open_records(dispatcher_.executor().table().records());
  for (const auto& it : pool_.upstreams(now)) {
    auto* upstream = status.add_upstreams();
    upstream->set_incarnation(it.incarnation.value);
    const auto* service = directory_.find(it.service);
    if (service != nullptr) upstream->set_service(service->declaration().name());
    upstream->set_address(it.address.to_string());
    upstream->set_slots(it.slots);
    upstream->set_usable_slots(it.usable_slots);
    upstream->set_outstanding(it.outstanding);
    upstream->set_state(std::string(it.state));
  }
  return status;
}

wire::metrics_reply entry_host::state::metrics(time_point now) const {
  auto reply = metrics_.report();
  const auto add = [&](const char* name, double value, std::string labels = {}) {
    auto* metric = reply.add_metrics();
    metric->set_name(name);
    metric->set_labels(std::move(labels));
    metric->set_value(value);
  };
  const auto& executor = dispatcher_.executor();
  const auto& counts = executor.counters();
  add("flows_opened", static_cast<double>(counters_.opened));
  add("requests_handled", static_cast<double>(counters_.requests));
  add("packets_forwarded", static_cast<double>(counters_.forwarded));
  add("packets_malformed", static_cast<double>(counters_.malformed));
  add("packets_dropped", static_cast<double>(counters_.dropped));
  add("packets_refused", static_cast<double>(counters_.refused));
  add("announcements_refused", static_cast<double>(counters_.refused_announcements));
  add("requests_pending", static_cast<double>(executor.pending()));
  add("answers_unacknowledged", static_cast<double>(executor.unacknowledged()));
  add("request_records", static_cast<double>(executor.table().records()));
  add("requests_refused_full", static_cast<double>(counts.refused_full));
  add("requests_dropped_full", static_cast<double>(counts.dropped_full));
  add("requests_outside_window", static_cast<double>(counts.outside_window));
  add("requests_other_incarnation", static_cast<double>(counts.other_incarnation));
  add("retries", static_cast<double>(counts.retries));
  add("retries_refused", static_cast<double>(counts.retries_refused));
  add("takeovers", static_cast<double>(counts.takeovers));
  add("polls_failed", static_cast<double>(counters_.failed_polls));
  add("control_bytes_in", static_cast<double>(counters_.control_bytes_in));
  add("control_bytes_out", static_cast<double>(counters_.control_bytes_out));
  add("revision", static_cast<double>(directory_.revision()));
  const auto age = poller_.confirmed_age(now);
  add("revision_confirmed_age_ms", age ? static_cast<double>(age->count()) : -1);
  for (const auto& it : dispatcher_.queue().loads(now)) {
    const auto* service = directory_.find(it.service);
    const auto label =
        service != nullptr ? "service=" + service->declaration().name() : std::string();
    add("slots", it.slots, label);
    add("slots_in_use", it.outstanding, label);
    add("queued", it.queued, label);
  }
  return reply;
}

entry_host::entry_host(std::unique_ptr<state> initial) : state_(std::move(initial)) {}
entry_host::~entry_host() = default;
entry_host::entry_host(entry_host&&) noexcept = default;
entry_host& entry_host::operator=(entry_host&&) noexcept = default;

result<entry_host> entry_host::create(const entry_settings& settings, key_ring keys,
                                      incarnation_id incarnation, std::uint64_t seed,
                                      std::optional<wire::configuration> last_configuration) {
  auto drain = host_drain::create(std::filesystem::path(ZINNIA_CHART_DIR) / "host_drain.yaml");
  if (!drain) {
    const auto& first = drain.error().front();
    return failure(error_kind::malformed, first.file + ':' + std::to_string(first.line),
                   first.message);
  }
  auto initial = std::make_unique<state>(settings, std::move(keys), incarnation,
                                         std::move(drain).value(), random_engine(seed));
  if (last_configuration) {
    ZINNIA_TRY(initial->restore(*last_configuration));
  }
  return entry_host(std::move(initial));
}

entry_effects entry_host::step(time_point now, const entry_event& event) {
  return state_->step(now, event);
}

bool entry_host::is_drained() const {
  return state_->is_drained();
}

wire::metrics_reply entry_host::metrics(time_point now) const {
  return state_->metrics(now);
}

wire::host_status entry_host::status(time_point now) const {
  return state_->status(now);
}

} // namespace zinnia
