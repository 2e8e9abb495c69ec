#include "model/relay_model.h"

#include "upstream.pb.h"
#include "zinniarelay/balance/rendezvous.h"

#include <algorithm>

namespace zinnia::bench {
namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds renew_interval{500};
constexpr microseconds zone_internal_delay{250};
// A caller retransmits a request after this delay, which doubles with each attempt.
constexpr milliseconds first_retransmit_delay{300};
constexpr unsigned takeover_attempt = 3;      // docs/design.md R11
constexpr double retry_share = 0.1;           // of requests, docs/design.md R11
constexpr double retry_burst = 20;            // requests
constexpr std::size_t datagram_overhead = 28; // bytes of IP and UDP headers
constexpr std::size_t call_overhead = 120;    // bytes of TCP, HTTP/2 and gRPC framing
// Two probe timeouts of 1 s and one probe interval (docs/design.md R20).
constexpr milliseconds connection_timeout{2'500};
// The fabric stops sending packets to a crashed host after this delay.
constexpr milliseconds spray_stop_delay{1'000};

} // namespace

struct relay_model::entry_host {
  entry_host(unsigned host, const user_profile& user, incarnation_id incarnation, endpoint address,
             std::uint64_t seed, const relay_tuning& tuning)
      : index(host), incarnation(incarnation),
        members({host_id{host + 1}, incarnation,
                 zone_id{static_cast<std::uint16_t>(host % user.zones)}, address},
                tuning.members, seed),
        pool(tuning.pool, seed + 1),
        router(host_id{host + 1}, zone_id{static_cast<std::uint16_t>(host % user.zones)},
               tuning.router, seed + 2),
        queue(tuning.queue, pool, seed + 3,
              [this](time_point now, service_id service, std::span<const host_id> excluded) {
                return router.choose_lender(now, service, excluded);
              }) {}

  unsigned index;
  incarnation_id incarnation;
  member_table members;
  upstream_pool pool;
  host_router router;
  dispatch_queue queue;
  std::unordered_map<work_key, request_ref> requests;
  bool is_up = true;
  bool is_sprayed = true;
  bool is_draining = false;
  double retry_tokens = retry_burst;
};

namespace {

endpoint address_of(unsigned host) {
  return {0x0A010000U + host, static_cast<std::uint16_t>(7000 + host)};
}

work_key key_of(const request& request) {
  return {request.flow, request.number};
}

} // namespace

relay_model::relay_model(user_profile user, scenario scenario, std::uint64_t seed,
                         relay_tuning tuning)
    : model(std::move(user), std::move(scenario), seed), tuning_(tuning), hosts_(user_.hosts),
      dispatching_host_(targets_.size()), lease_marks_(targets_.size(), 0), sent_(user_.hosts, 0),
      received_(user_.hosts, 0) {}

relay_model::~relay_model() = default;

void relay_model::start() {
  for (unsigned host = 0; host < user_.hosts; ++host)
    start_host(host);
  for (auto& target : targets_)
    on_target_joined(target.index);
}

void relay_model::start_host(unsigned host) {
  const incarnation_id incarnation{policy_engine_()};
  hosts_[host] = std::make_unique<entry_host>(host, user_, incarnation, address_of(host),
                                              policy_engine_(), tuning_);
  for (unsigned zone = 0; zone < user_.zones; ++zone)
    host_at(host).router.set_zone_delay(zone_id{static_cast<std::uint16_t>(zone)},
                                        user_.zone_delay);
  addresses_updated addresses;
  for (unsigned other = 0; other < user_.hosts; ++other)
    addresses.hosts.push_back({host_id{other + 1},
                               zone_id{static_cast<std::uint16_t>(zone_of(other))},
                               address_of(other)});
  apply(host, host_at(host).members.step(events_.now(), addresses));
  events_.after(microseconds(static_cast<std::int64_t>(policy_engine_() % 10'000)),
                [this, host, incarnation] { tick(host, incarnation); });
}

void relay_model::tick(unsigned host, incarnation_id incarnation) {
  auto& entry = host_at(host);
  if (!entry.is_up || entry.incarnation != incarnation) return;
  const auto now = events_.now();
  host_load load;
  load.draining = entry.is_draining;
  load.services = summarize_loads(entry);
  apply(host, entry.members.step(now, load_measured{load}));
  apply(host, entry.members.step(now, membership_tick{}));
  for (const auto& action : entry.pool.tick(now)) {
    if (action.action != connection_action::kind::probe) continue;
    count_sent(host, call_overhead);
    count_received(host, call_overhead);
    const auto found = target_by_incarnation_.find(action.incarnation.value);
    if (found == target_by_incarnation_.end()) continue;
    const auto& target = targets_[found->second];
    if (!target.is_up || target.incarnation != action.incarnation) continue;
    const auto health = target.is_misreporting ? probe_result::unhealthy : probe_result::healthy;
    events_.after(2 * zone_internal_delay, [this, host, incarnation, action, health] {
      if (host_at(host).is_up && host_at(host).incarnation == incarnation)
        host_at(host).pool.on_probe_result(events_.now(), action.incarnation, action.connection,
                                           health);
    });
  }
  apply(host, entry.queue.tick(now));
  events_.after(tick_interval, [this, host, incarnation] { tick(host, incarnation); });
}

// With early binding each upstream has its own queue, identified by a service id of its own.
service_id relay_model::service_of(const target& target) const {
  constexpr std::uint32_t first_target_service = 100;
  return service_id{is_early_binding() ? first_target_service + target.index : target.service};
}

std::vector<service_load> relay_model::summarize_loads(const entry_host& entry) const {
  auto all = entry.queue.loads(events_.now());
  if (!is_early_binding()) return all;
  std::map<service_id, service_load> sums;
  for (const auto& target : targets_) {
    for (const auto& load : all) {
      if (load.service != service_of(target)) continue;
      auto& sum = sums[service_id{target.service}];
      sum.service = service_id{target.service};
      sum.slots += load.slots;
      sum.outstanding += load.outstanding;
      sum.queued += load.queued;
      sum.service_time = std::max(sum.service_time, load.service_time);
    }
  }
  std::vector<service_load> list;
  list.reserve(sums.size());
  for (const auto& [service, sum] : sums)
    list.push_back(sum);
  return list;
}

// Selects the upstream with the least outstanding work per slot at this moment, among the upstreams
// of the host. A real host does not have this exact state.
void relay_model::bind(route& route, const request& request) const {
  const auto& entry = *hosts_[route.host];
  double least = 0;
  for (const auto& candidate : targets_) {
    if (candidate.service != request.service || !candidate.is_up || candidate.is_leaving ||
        dispatching_host_[candidate.index] != route.host)
      continue;
    const double outstanding =
        (candidate.busy + static_cast<double>(entry.queue.queued(service_of(candidate)))) /
        candidate.slots;
    if (route.target_incarnation.value != 0 && outstanding >= least) continue;
    least = outstanding;
    route.target = candidate.index;
    route.target_incarnation = candidate.incarnation;
  }
}

bool relay_model::is_connected(unsigned zone_a, unsigned zone_b) const {
  return !cut_zone_ || zone_a == zone_b || (zone_a != *cut_zone_ && zone_b != *cut_zone_);
}

microseconds relay_model::one_way_delay(unsigned zone_a, unsigned zone_b) const {
  return zone_a == zone_b ? zone_internal_delay : user_.zone_delay;
}

void relay_model::count_sent(unsigned host, std::size_t bytes) {
  if (is_measured()) sent_[host] += static_cast<double>(bytes);
}

void relay_model::count_received(unsigned host, std::size_t bytes) {
  if (is_measured()) received_[host] += static_cast<double>(bytes);
}

double relay_model::control_bytes() const {
  const auto most = std::max(*std::max_element(sent_.begin(), sent_.end()),
                             *std::max_element(received_.begin(), received_.end()));
  return most * 1000 / static_cast<double>(scenario_.length.count());
}

void relay_model::send(unsigned from, endpoint to, const wire::peer_packet& packet) {
  const unsigned host = to.address - address_of(0).address;
  if (host >= user_.hosts) return;
  const auto bytes = packet.ByteSizeLong() + datagram_overhead;
  count_sent(from, bytes);
  const double chance = static_cast<double>(policy_engine_() >> 11U) * 0x1p-53;
  if (!is_connected(zone_of(from), zone_of(host)) || chance < scenario_.packet_loss) return;
  events_.after(one_way_delay(zone_of(from), zone_of(host)), [this, host, from, packet, bytes] {
    if (!host_at(host).is_up) return;
    count_received(host, bytes);
    receive(host, from, packet);
  });
}

void relay_model::receive(unsigned host, unsigned from, const wire::peer_packet& packet) {
  const auto now = events_.now();
  auto& entry = host_at(host);
  if (packet.has_slot_ask() || packet.has_slot_given() || packet.has_slot_returned())
    apply(host, entry.queue.on_peer_message(now, packet));
  else
    apply(host, entry.members.step(now, probe_received{address_of(from), packet}));
}

void relay_model::apply(unsigned host, const member_effects& effects) {
  auto& entry = host_at(host);
  const auto now = events_.now();
  for (const auto& effect : effects) {
    if (const auto* probe = std::get_if<send_probe>(&effect)) send(host, probe->to, probe->packet);
    if (const auto* removed = std::get_if<member_removed>(&effect))
      entry.router.on_member_removed(removed->id);
    if (const auto* changed = std::get_if<member_changed>(&effect)) {
      entry.router.on_member(now, changed->value);
      if (!changed->value.is_live()) apply(host, entry.queue.on_host_gone(now, changed->value.id));
    }
  }
}

void relay_model::apply(unsigned host, const dispatch_effects& effects) {
  auto& entry = host_at(host);
  for (const auto& effect : effects) {
    if (const auto* start = std::get_if<start_work>(&effect)) {
      start_call(host, *start);
    } else if (const auto* refused = std::get_if<reject_work>(&effect)) {
      const auto found = entry.requests.find(refused->key);
      if (found == entry.requests.end() || refused->reason == reject_reason::duplicate) continue;
      const auto request = found->second;
      entry.requests.erase(found);
      // The outcome is not_run. The caller opens a flow on another host if its deadline permits.
      const bool is_worth_retry = refused->reason == reject_reason::no_upstream ||
                                  refused->reason == reject_reason::queue_full;
      if (!is_worth_retry) {
        fail_request(request);
        continue;
      }
      record_retry();
      routes_.erase(request->flow);
      retry_later(request);
    } else if (const auto* message = std::get_if<send_slot_message>(&effect)) {
      auto packet = message->packet;
      packet.set_from_host(host + 1);
      packet.set_from_incarnation(entry.incarnation.value);
      send(host, address_of(message->to.value - 1), packet);
    }
  }
}

std::optional<unsigned> relay_model::random_host(unsigned caller_zone) {
  std::vector<unsigned> list;
  for (unsigned host = 0; host < user_.hosts; ++host)
    if (host_at(host).is_sprayed && is_connected(caller_zone, zone_of(host))) list.push_back(host);
  if (list.empty()) return std::nullopt;
  return list[policy_engine_() % list.size()];
}

void relay_model::submit(const request_ref& request) {
  if (request->number == 0)
    open_flow(request);
  else
    send_request(request);
}

void relay_model::open_flow(const request_ref& request) {
  if (request->is_done) return;
  const auto host = random_host(request->caller_zone);
  if (!host) return retry_later(request);
  events_.after(user_.caller_delay, [this, request, host] {
    if (!host_at(*host).is_up) return retry_later(request);
    const auto chosen =
        host_at(*host).router.choose(events_.now(), service_id{request->service}, request->flow);
    if (!chosen) return retry_later(request);
    const auto* member = host_at(*host).members.find(*chosen);
    auto& route = routes_[request->flow];
    route = {chosen->value - 1, member->incarnation, 0, {}};
    if (is_early_binding()) bind(route, *request);
    events_.after(user_.caller_delay, [this, request] { send_request(request); });
  });
}

void relay_model::send_request(const request_ref& request) {
  if (request->is_done) return;
  const auto host = random_host(request->caller_zone);
  if (!host) return retry_later(request);
  const auto attempt = request->attempts;
  // The caller retransmits unless the request ended or was retried meanwhile.
  events_.after(first_retransmit_delay * (1U << std::min(attempt - 1, 4U)),
                [this, request, attempt] {
                  if (!request->is_done && request->attempts == attempt) retry_later(request);
                });
  events_.after(user_.caller_delay, [this, request, host] {
    auto& entry = host_at(*host);
    if (!entry.is_up) return;
    const auto token_route = routes_[request->flow];
    const auto* member = entry.members.find(host_id{token_route.host + 1});
    const bool is_dead =
        member == nullptr || !member->is_live() || member->incarnation != token_route.incarnation;
    const bool has_budget = entry.retry_tokens >= 1;
    if (is_dead && !has_budget) return;
    if (has_budget && (is_dead || request->attempts >= takeover_attempt)) {
      entry.retry_tokens -= 1;
      record_retry();
      const auto chosen =
          entry.router.choose(events_.now(), service_id{request->service}, request->flow);
      if (!chosen) return;
      // The token in the answer names the host that took the request over.
      auto& new_route = routes_[request->flow];
      new_route.host = chosen->value - 1;
      new_route.incarnation = entry.members.find(*chosen)->incarnation;
    }
    const auto route = routes_[request->flow];
    if (route.host == *host) return enqueue_on(*host, request);
    if (!is_connected(zone_of(*host), zone_of(route.host))) return;
    events_.after(one_way_delay(zone_of(*host), zone_of(route.host)), [this, request, route] {
      if (host_at(route.host).is_up && host_at(route.host).incarnation == route.incarnation)
        enqueue_on(route.host, request);
    });
  });
}

void relay_model::retry_later(const request_ref& request) {
  if (request->is_done) return;
  ++request->attempts;
  events_.after(milliseconds(20), [this, request] {
    if (request->is_done) return;
    if (events_.now() >= request->deadline) return fail_request(request);
    if (routes_.count(request->flow) == 0)
      open_flow(request);
    else
      send_request(request);
  });
}

void relay_model::enqueue_on(unsigned host, const request_ref& request) {
  auto& entry = host_at(host);
  if (request->is_done || entry.requests.count(key_of(*request)) > 0) return;
  entry.retry_tokens = std::min(retry_burst, entry.retry_tokens + retry_share);
  auto service = service_id{request->service};
  if (is_early_binding()) {
    // The token names an upstream that has left or crashed.
    const auto& route = routes_[request->flow];
    const auto& target = targets_[route.target];
    if (!target.is_up || target.is_leaving || target.incarnation != route.target_incarnation)
      return fail_request(request);
    service = service_of(target);
  }
  record_arrival(request);
  entry.requests.emplace(key_of(*request), request);
  apply(host, entry.queue.enqueue(events_.now(), {key_of(*request), service, request->deadline}));
}

void relay_model::start_call(unsigned host, const start_work& start) {
  auto& entry = host_at(host);
  const auto incarnation = entry.incarnation;
  const auto request = entry.requests.at(start.key);
  const auto found = target_by_incarnation_.find(start.slot.incarnation.value);
  if (found == target_by_incarnation_.end()) return;
  const auto index = found->second;
  const auto delay = one_way_delay(zone_of(host), targets_[index].zone);
  if (!is_connected(zone_of(host), targets_[index].zone)) {
    // The connection is unresponsive. The call fails when the connection is
    // replaced (docs/design.md R20).
    events_.after(connection_timeout, [this, host, incarnation, start] {
      on_call_end(host, incarnation, start.key, call_result::failed, false);
    });
    return;
  }
  events_.after(delay, [this, host, incarnation, request, start, index, delay] {
    auto& target = targets_[index];
    const auto reply = [this, host, incarnation, start, delay](call_result result,
                                                               bool is_answered) {
      events_.after(delay, [this, host, incarnation, start, result, is_answered] {
        on_call_end(host, incarnation, start.key, result, is_answered);
      });
    };
    // The connection to a process that has ended is reset before the call starts.
    if (!target.is_up || target.incarnation != start.slot.incarnation)
      return reply(call_result::failed, false);
    if (target.is_leaving || target.busy >= target.open_slots())
      return reply(call_result::refused, false);
    serve(target, request, [reply](call_outcome outcome) {
      reply(outcome == call_outcome::in_time ? call_result::completed
            : outcome == call_outcome::late  ? call_result::abandoned
                                             : call_result::failed,
            outcome == call_outcome::in_time);
    });
  });
}

void relay_model::on_call_end(unsigned host, incarnation_id incarnation, const work_key& key,
                              call_result result, bool is_answered) {
  auto& entry = host_at(host);
  if (!entry.is_up || entry.incarnation != incarnation) return;
  const auto found = entry.requests.find(key);
  if (found == entry.requests.end()) return;
  const auto request = found->second;
  entry.requests.erase(found);
  apply(host, entry.queue.finish(events_.now(), key, result));
  if (is_answered) return complete_request(request);
  if (result == call_result::abandoned) return fail_request(request);
  // The call did not start or is idempotent, so the request may be dispatched again
  // (docs/design.md R7).
  record_retry();
  enqueue_on(host, request);
}

void relay_model::on_target_joined(unsigned index) {
  const auto& target = targets_[index];
  target_by_incarnation_[target.incarnation.value] = index;
  lease_marks_[index] = 0;
  dispatching_host_[index] =
      static_cast<unsigned>(target.zone + user_.zones * (policy_engine_() % 2));
  renew_lease(index, target.incarnation);
}

void relay_model::renew_lease(unsigned index, incarnation_id incarnation) {
  if (!targets_[index].is_up || targets_[index].incarnation != incarnation) return;
  auto& host = dispatching_host_[index];
  if (!host_at(host).is_up) {
    // The host does not reply. The target registers with the next host of the zone.
    host = (host + user_.zones) % user_.hosts;
    lease_marks_[index] = 0;
  }
  if (host_at(host).is_up) announce_to(index, host, false);
  events_.after(renew_interval, [this, index, incarnation] { renew_lease(index, incarnation); });
}

void relay_model::announce_to(unsigned index, unsigned host, bool is_redirected) {
  const auto& target = targets_[index];
  auto& entry = host_at(host);
  if (!entry.is_up) return;
  const auto live = entry.members.live_hosts(zone_id{static_cast<std::uint16_t>(target.zone)});
  const auto chosen = rendezvous(target.incarnation.value, live);
  if (!is_redirected && chosen && chosen->value - 1 != host) {
    dispatching_host_[index] = chosen->value - 1;
    lease_marks_[index] = 0;
    return announce_to(index, dispatching_host_[index], true);
  }
  upstream_announcement announcement;
  announcement.service = service_of(target);
  announcement.incarnation = target.incarnation;
  announcement.address = target.address;
  announcement.slots = target.slots;
  announcement.is_leaving = target.is_leaving;
  announcement.is_reported_unhealthy = target.is_misreporting;
  announcement.lease_echo = lease_marks_[index];
  lease_marks_[index] = entry.pool.on_announcement(events_.now(), announcement).lease_mark;
  // An announcement contains a service name, a credential and an address.
  count_received(host, call_overhead + 100);
  count_sent(host, call_overhead + 50);
}

void relay_model::on_target_leaving(unsigned index) {
  // A leaving upstream announces this immediately instead of at its next renewal.
  announce_to(index, dispatching_host_[index], true);
}

void relay_model::on_host_state(unsigned host, bool is_up) {
  if (is_up) return start_host(host);
  auto& entry = host_at(host);
  entry.is_up = false;
  const auto incarnation = entry.incarnation;
  events_.after(spray_stop_delay, [this, host, incarnation] {
    if (host_at(host).incarnation == incarnation) host_at(host).is_sprayed = false;
  });
}

void relay_model::on_host_draining(unsigned host) {
  host_at(host).is_draining = true;
  const auto incarnation = host_at(host).incarnation;
  events_.after(milliseconds(6'000), [this, host, incarnation] {
    if (!host_at(host).is_up || host_at(host).incarnation != incarnation) return;
    apply(host, host_at(host).members.step(events_.now(), departure_requested{}));
    on_host_state(host, false);
    host_at(host).is_sprayed = false;
    events_.after(milliseconds(2'000), [this, host] { start_host(host); });
  });
}

double relay_model::queue_share_of(const target& target) const {
  // Distributes the queue of the dispatching host over the slots of its upstreams.
  for (const auto& entry : hosts_) {
    if (!entry || !entry->is_up || entry->index != dispatching_host_[target.index]) continue;
    if (is_early_binding())
      return static_cast<double>(entry->queue.queued(service_of(target))) / target.slots;
    unsigned slots = 0;
    for (const auto& other : targets_)
      if (other.service == target.service && other.is_up &&
          dispatching_host_[other.index] == entry->index)
        slots += other.slots;
    if (slots == 0) return 0;
    return static_cast<double>(entry->queue.queued(service_id{target.service})) / slots;
  }
  return 0;
}

} // namespace zinnia::bench
