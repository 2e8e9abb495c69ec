#include "proofs/request_model.h"

#include "zinniarelay/request/content_digest.h"

#include <algorithm>
#include <cstring>

namespace zinnia::proofs {
namespace {

constexpr milliseconds schedule_length{9'000};
constexpr milliseconds tick_period{50};
constexpr std::uint64_t initial_version_count = 10;
constexpr const char* certify_method = "certify";
constexpr const char* lookup_method = "lookup";
constexpr const char* catalogue_method = "catalogue";

request_settings make_request_settings(const fault_plan& plan) {
  request_settings settings;
  settings.epoch_length = milliseconds(200);
  settings.parts_per_packet = 3;
  settings.cancel_grace = milliseconds(100);
  if (plan.has_tiny_tables) settings.table = {4, 3, 200'000};
  return settings;
}

caller_settings make_caller_settings() {
  caller_settings settings;
  settings.service = "registry";
  settings.initial_resend_delay = milliseconds(30);
  settings.max_resend_delay = milliseconds(100);
  // Long enough for the resends after several consecutive lost packets.
  settings.token_expiry_margin = milliseconds(300);
  settings.range_length = 2'000;
  settings.ranges_in_flight = 2;
  return settings;
}

// Returns a text that repeats its origin. A mixture of two texts differs from both.
std::string text_of(const std::string& origin, std::size_t size) {
  std::string text;
  while (text.size() < size)
    text += origin + ':' + std::to_string(text.size()) + ' ';
  text.resize(size);
  return text;
}

} // namespace

request_model::request_model(const fault_plan& plan, std::uint64_t seed)
    : plan_(plan), engine_(seed) {
  content_version_ = 1 + random_below(initial_version_count);
  for (std::size_t host = 0; host < host_count; ++host)
    start_host(host);
  for (std::size_t caller = 0; caller < caller_count; ++caller)
    callers_.push_back(caller_session::create(make_caller_settings(), engine_()).value());
  schedule_calls();
  schedule_faults();
}

const call_history& request_model::run() {
  const auto end = now_ + schedule_length;
  while (!queue_.empty() && queue_.front().time <= end) {
    std::pop_heap(queue_.begin(), queue_.end(), std::greater<>());
    const auto next = std::move(queue_.back());
    queue_.pop_back();
    now_ = next.time;
    next.action();
  }
  return history_;
}

std::string request_model::content_of(const std::string& version) {
  // Two successive versions may have the same length. Some contents are empty.
  const auto step = std::stoul(version.substr(1)) / 2 % 5;
  return text_of(version, step == 4 ? 0 : 5'000 + 1'000 * step);
}

// Time and order of events

microseconds request_model::random_delay(int low_ms, int high_ms) {
  const auto span = static_cast<std::uint64_t>(high_ms - low_ms) * 1'000 + 1;
  return milliseconds(low_ms) + microseconds(random_below(span));
}

void request_model::schedule(microseconds wait, std::function<void()> action) {
  queue_.push_back({now_ + wait, ++last_sequence_, std::move(action)});
  std::push_heap(queue_.begin(), queue_.end(), std::greater<>());
}

// Schedules an event for the current incarnation of a host. The event is dropped if the incarnation
// has ended by then, and is deferred while the process is frozen.
void request_model::schedule_at_host(microseconds wait, std::size_t host,
                                     std::function<void()> action) {
  const auto incarnation = hosts_[host].incarnation;
  schedule(wait, [this, host, incarnation, action = std::move(action)] {
    auto& state = hosts_[host];
    if (!state.is_alive || state.incarnation != incarnation) return;
    if (now_ < state.frozen_until)
      state.pending_actions.push_back(action);
    else
      action();
  });
}

// Hosts

void request_model::start_host(std::size_t host) {
  auto& state = hosts_[host];
  state.incarnation = incarnation_id{engine_()};
  state.is_alive = true;
  state.is_draining = false;
  state.frozen_until = now_;
  state.pending_actions.clear();
  state.calls.clear();
  state.executor.emplace(request_executor::create(make_request_settings(plan_),
                                                  host_id{static_cast<std::uint32_t>(host)},
                                                  state.incarnation, seal)
                             .value());
  schedule_at_host(random_delay(1, 50), host, [this, host] { tick(host); });
}

void request_model::tick(std::size_t host) {
  auto& state = hosts_[host];
  apply(host, state.executor->on_tick(now_));
  if (state.is_draining && state.executor->pending() + state.executor->unacknowledged() == 0 &&
      state.executor->remaining_token_validity(now_).count() == 0) {
    kill(host);
    return;
  }
  schedule_at_host(tick_period, host, [this, host] { tick(host); });
}

void request_model::schedule_faults() {
  for (int n = 0; n < plan_.host_kills; ++n)
    schedule(random_delay(5, 600), [this] { kill(random_below(host_count)); });
  for (int n = 0; n < plan_.host_freezes; ++n)
    schedule(random_delay(5, 600),
             [this] { freeze(random_below(host_count), random_delay(20, 2'500)); });
  for (int n = 0; n < plan_.host_cuts; ++n)
    schedule(random_delay(5, 600), [this] {
      const auto host = random_below(host_count);
      hosts_[host].is_cut = true;
      report_dead(host);
      schedule(random_delay(20, 2'000), [this, host] { hosts_[host].is_cut = false; });
    });
  for (int n = 0; n < plan_.version_changes; ++n)
    schedule(random_delay(10, 600), [this] { ++content_version_; });
  if (plan_.has_drain) schedule(random_delay(5, 400), [this] { drain(random_below(host_count)); });
}

void request_model::kill(std::size_t host) {
  if (!hosts_[host].is_alive) return;
  hosts_[host].is_alive = false;
  report_dead(host);
  schedule(hosts_[host].is_draining ? random_delay(5, 60) : random_delay(5, 700),
           [this, host] { start_host(host); });
}

void request_model::freeze(std::size_t host, microseconds duration) {
  auto& state = hosts_[host];
  if (!state.is_alive || now_ < state.frozen_until) return;
  state.frozen_until = now_ + duration;
  report_dead(host);
  const auto incarnation = state.incarnation;
  schedule(duration, [this, host, incarnation] {
    auto& resumed_host = hosts_[host];
    if (!resumed_host.is_alive || resumed_host.incarnation != incarnation) return;
    auto actions = std::move(resumed_host.pending_actions);
    resumed_host.pending_actions.clear();
    for (const auto& action : actions)
      action();
  });
}

void request_model::drain(std::size_t host) {
  const auto incarnation = hosts_[host].incarnation.value;
  hosts_[host].executor->begin_drain();
  hosts_[host].is_draining = true;
  hosts_[host].draining_incarnations.insert(incarnation);
  for (std::size_t other = 0; other < host_count; ++other)
    schedule_at_host(random_delay(20, 400), other, [this, other, incarnation] {
      hosts_[other].draining_incarnations.insert(incarnation);
    });
}

// Reports to most of the other hosts, with different delays, that a host is dead. The host may be
// frozen or cut off instead.
void request_model::report_dead(std::size_t about) {
  const auto incarnation = hosts_[about].incarnation.value;
  for (std::size_t host = 0; host < host_count; ++host) {
    if (host == about || random_chance(20)) continue;
    schedule_at_host(random_delay(20, 400), host, [this, host, incarnation] {
      hosts_[host].dead_incarnations.insert(incarnation);
    });
    schedule_at_host(random_delay(600, 2'500), host, [this, host, about, incarnation] {
      if (hosts_[about].is_alive) hosts_[host].dead_incarnations.erase(incarnation);
    });
  }
}

// Callers

void request_model::schedule_calls() {
  const std::uint64_t calls = 2 + random_below(3);
  for (std::size_t caller = 0; caller < caller_count; ++caller)
    for (std::uint64_t n = 0; n < calls; ++n)
      schedule(random_delay(0, plan_.submission_period_ms), [this, caller] {
        const call_id id{next_call_++};
        const bool has_long_deadline = !random_chance(plan_.short_deadlines);
        const auto deadline =
            now_ + (has_long_deadline ? milliseconds(4'000) : random_delay(0, 120));
        history_entry entry;
        entry.time = now_;
        entry.call = id;
        entry.has_long_deadline = has_long_deadline;
        entry.kind =
            random_chance(plan_.idempotent_share) ? wire::idempotent : wire::non_idempotent;
        entry.is_download = entry.kind == wire::idempotent && random_chance(33);
        history_.push_back(entry);
        const auto payload = std::to_string(id.value);
        if (entry.is_download)
          apply(caller, callers_[caller].step(
                            now_, download_submitted{id, catalogue_method, payload, deadline}));
        else
          apply(caller, callers_[caller].step(now_, call_submitted{id, entry.kind,
                                                                   entry.kind == wire::idempotent
                                                                       ? lookup_method
                                                                       : certify_method,
                                                                   payload, deadline}));
      });
}

void request_model::apply(std::size_t caller, caller_effects effects) {
  for (auto& effect : effects) {
    if (const auto* send = std::get_if<packet_to_send>(&effect)) {
      send_to_fabric(caller, send->packet);
      continue;
    }
    auto& ended = std::get<call_ended>(effect);
    history_entry entry;
    entry.type = history_entry::event::ended;
    entry.time = now_;
    entry.call = ended.id;
    entry.outcome = ended.kind;
    entry.reason = ended.reason;
    entry.answer = std::move(ended.answer);
    history_.push_back(std::move(entry));
  }
  schedule_wakeup(caller);
}

void request_model::schedule_wakeup(std::size_t caller) {
  const auto due = callers_[caller].next_wakeup();
  if (!due || (scheduled_wakeups_[caller] && *scheduled_wakeups_[caller] <= *due)) return;
  scheduled_wakeups_[caller] = due;
  schedule(std::max(*due, now_) - now_, [this, caller, due] {
    if (scheduled_wakeups_[caller] != due) return;
    scheduled_wakeups_[caller].reset();
    apply(caller, callers_[caller].step(now_, timer_fired{}));
  });
}

// Network

void request_model::send_to_fabric(std::size_t caller, const wire::caller_packet& packet) {
  const auto deliver = [&](microseconds wait) {
    const auto host = random_below(host_count);
    if (hosts_[host].is_cut) return;
    schedule_at_host(wait, host, [this, host, caller, packet] {
      if (!hosts_[host].is_cut) receive_at_entry(host, caller, packet, 0);
    });
  };
  if (!random_chance(plan_.loss)) deliver(random_delay(1, 12));
  if (random_chance(plan_.duplicates)) deliver(random_delay(1, 40));
  if (random_chance(plan_.late_duplicates)) deliver(random_delay(20, 3'000));
}

void request_model::send_to_caller(std::size_t host, const send_packet& effect) {
  if (hosts_[host].is_cut) return;
  const auto deliver = [&](microseconds wait, std::size_t caller) {
    auto packet = effect.packet;
    if (packet.has_part() && !packet.part().data().empty() && random_chance(plan_.corruptions)) {
      auto& data = *packet.mutable_part()->mutable_data();
      data[random_below(data.size())] ^= 1;
    }
    schedule(wait, [this, caller, packet = std::move(packet)] {
      apply(caller, callers_[caller].step(now_, packet_received{packet}));
    });
  };
  const std::size_t caller = effect.route.caller.address;
  if (!random_chance(plan_.loss)) deliver(random_delay(1, 12), caller);
  if (random_chance(plan_.duplicates)) deliver(random_delay(1, 40), caller);
  if (random_chance(plan_.late_duplicates)) deliver(random_delay(20, 3'000), caller);
  if (random_chance(plan_.misdeliveries)) deliver(random_delay(1, 40), (caller + 1) % caller_count);
}

void request_model::receive_at_entry(std::size_t host, std::size_t caller,
                                     const wire::caller_packet& packet, int hops) {
  if (packet.has_open()) return on_open(host, caller, packet.open());
  if (packet.has_request()) return on_request(host, caller, packet, hops);
  if (!packet.has_ack()) return;
  const auto token = open(packet.ack().token());
  const std::size_t executing_host = token.executing_host.value;
  if (executing_host == host)
    hosts_[host].executor->on_ack(now_, token, packet.ack().request_number());
  else if (hops == 0 && !hosts_[executing_host].is_cut && !hosts_[host].is_cut)
    schedule_at_host(random_delay(1, 8), executing_host, [this, executing_host, caller, packet] {
      receive_at_entry(executing_host, caller, packet, 1);
    });
}

void request_model::on_open(std::size_t host, std::size_t caller,
                            const wire::open_request& request) {
  auto& state = hosts_[host];
  const auto is_avoided = [&](std::size_t candidate) {
    const auto incarnation = hosts_[candidate].incarnation.value;
    return state.dead_incarnations.count(incarnation) +
               state.draining_incarnations.count(incarnation) >
           0;
  };
  std::size_t executing_host = random_below(host_count);
  for (std::size_t n = 0; n < host_count && is_avoided(executing_host); ++n)
    executing_host = (executing_host + 1) % host_count;
  // The record epoch that this host has of another host may be one epoch old.
  const bool is_local = executing_host == host;
  flow_token token;
  token.service = service_id{1};
  token.executing_host = host_id{static_cast<std::uint32_t>(executing_host)};
  token.executing_incarnation = hosts_[executing_host].incarnation;
  token.record_epoch = hosts_[executing_host].executor->record_epoch(now_) -
                       (is_local ? 0 : static_cast<std::uint32_t>(random_below(2)));
  token.flow = flow_id{engine_()};
  send_packet reply;
  reply.route.caller.address = static_cast<std::uint32_t>(caller);
  auto& opened = *reply.packet.mutable_opened();
  opened.set_nonce(request.nonce());
  opened.set_token(seal(token));
  opened.set_flow(token.flow.value);
  const auto valid =
      is_local ? state.executor->token_validity(now_) : state.executor->min_token_validity();
  opened.set_valid_ms(static_cast<std::uint32_t>(valid.count()));
  send_to_caller(host, reply);
}

void request_model::on_request(std::size_t host, std::size_t caller,
                               const wire::caller_packet& packet, int hops) {
  auto& state = hosts_[host];
  const auto& request = packet.request();
  const auto token = open(request.token());
  const std::size_t executing_host = token.executing_host.value;
  const auto policy = policy_of(request.method());
  const bool is_dead = state.dead_incarnations.count(token.executing_incarnation.value) > 0;
  const bool is_repeated = request.attempt() >= 3 && policy.kind == wire::idempotent;
  const auto mode = is_dead       ? takeover_mode::executing_host_dead
                    : is_repeated ? takeover_mode::repeated_attempt
                                  : takeover_mode::none;
  if (executing_host != host && mode == takeover_mode::none) {
    if (hops == 0 && !hosts_[executing_host].is_cut && !state.is_cut)
      schedule_at_host(random_delay(1, 8), executing_host, [this, executing_host, caller, packet] {
        receive_at_entry(executing_host, caller, packet, 1);
      });
    return;
  }
  const reply_route route{{static_cast<std::uint32_t>(caller), 1}, {}};
  apply(host, state.executor->on_request(now_, token, request, policy, route, mode));
}

// Upstreams

void request_model::apply(std::size_t host, request_effects effects) {
  for (auto& effect : effects) {
    if (const auto* send = std::get_if<send_packet>(&effect)) {
      send_to_caller(host, *send);
    } else if (auto* work = std::get_if<dispatch_request>(&effect)) {
      const auto call = next_call_++;
      hosts_[host].calls[call].work = std::move(*work);
      schedule_at_host(random_delay(0, random_chance(20) ? 150 : 5), host,
                       [this, host, call] { start_call(host, call); });
    } else {
      // The queue handles a cancellation up to 20 ms later, so a start can precede it.
      const auto key = std::get<cancel_dispatch>(effect).key;
      schedule_at_host(random_delay(0, 20), host, [this, host, key] { cancel(host, key); });
    }
  }
}

void request_model::start_call(std::size_t host, std::uint64_t call) {
  auto& state = hosts_[host];
  const auto it = state.calls.find(call);
  if (it == state.calls.end()) return;
  const auto key = it->second.work.key;
  if (random_chance(plan_.queue_rejections)) {
    state.calls.erase(it);
    apply(host, state.executor->on_dispatch_rejected(now_, key, wire::reason_overloaded));
    return;
  }
  if (state.executor->on_dispatch_started(now_, key) == start_permission::withdrawn) {
    state.calls.erase(it);
    return;
  }
  it->second.state = call_state::granted;
  schedule_at_host(random_delay(0, 2), host, [this, host, call] { write_call(host, call); });
}

void request_model::write_call(std::size_t host, std::uint64_t call) {
  auto& state = hosts_[host];
  const auto it = state.calls.find(call);
  if (it == state.calls.end()) return;
  it->second.state = call_state::written;
  const auto work = it->second.work;
  const auto report = [&](microseconds wait, dispatch_result result) {
    schedule_at_host(
        wait, host, [this, host, call, result = std::move(result)] { finish(host, call, result); });
  };
  if (random_chance(plan_.upstream_refusals)) {
    report(random_delay(1, 5), {random_chance(50) ? dispatch_outcome::refused_before_start
                                                  : dispatch_outcome::not_written,
                                {},
                                {}});
    return;
  }
  const auto incarnation = state.incarnation;
  const bool is_unresponsive = random_chance(plan_.unresponsive_connections);
  const bool is_crashing = random_chance(plan_.upstream_crashes);
  const auto phase = random_below(3); // before, during or after the run
  // An unresponsive connection may deliver the call long after the host has given up on the call.
  const auto start = is_unresponsive ? random_delay(0, 800) : random_delay(1, 5);
  if (is_unresponsive) report(milliseconds(200), {dispatch_outcome::lost, {}, {}});
  if (is_crashing && !is_unresponsive)
    report(random_delay(5, 20), {dispatch_outcome::lost, {}, {}});
  if ((is_crashing || is_unresponsive) && phase == 0) return;
  schedule(start, [this, host, call, work, incarnation, is_unresponsive, is_crashing] {
    // The upstream runs the call even if the host has failed.
    auto& host_state = hosts_[host];
    const auto entry = host_state.calls.find(call);
    const bool is_current =
        host_state.incarnation == incarnation && entry != host_state.calls.end();
    if (is_current && entry->second.is_cancelled && random_chance(50)) {
      schedule_at_host(random_delay(1, 5), host, [this, host, call] {
        finish(host, call, {dispatch_outcome::cancelled_before_start, {}, {}});
      });
      return;
    }
    auto result = run_on_upstream(work);
    if (is_unresponsive || is_crashing || !is_current) return;
    schedule_at_host(
        random_delay(1, random_chance(20) ? 120 : 10), host,
        [this, host, call, result = std::move(result)] { finish(host, call, result); });
  });
}

dispatch_result request_model::run_on_upstream(const dispatch_request& work) {
  if (work.method == catalogue_method) {
    const bool is_stale = random_chance(plan_.stale_ranges);
    const auto version = "v" + std::to_string(is_stale ? content_version_ - 1 : content_version_);
    const auto content = content_of(version);
    if (!is_stale && !work.range.content_version().empty() &&
        work.range.content_version() != version)
      return {dispatch_outcome::content_changed, {}, {}};
    dispatch_result result{dispatch_outcome::done, {}, {}};
    if (work.range.offset() < content.size())
      result.payload = content.substr(work.range.offset(), work.range.length());
    result.content.set_version(version);
    result.content.set_total_length(content.size());
    result.content.set_digest(content_digest(content));
    return result;
  }
  // Two runs of one idempotent request return different answers of the same length. A mixture of
  // both differs from each.
  history_entry entry;
  entry.type = history_entry::event::ran;
  entry.time = now_;
  entry.call = call_id{std::stoull(work.payload)};
  const auto size = entry.call.value % 4 * 1'700 + entry.call.value % 3;
  entry.answer = text_of("call " + work.payload + " run " + std::to_string(++run_count_), size);
  history_.push_back(entry);
  if (random_chance(plan_.upstream_failures)) return {dispatch_outcome::failed_after_start, {}, {}};
  return {dispatch_outcome::done, entry.answer, {}};
}

void request_model::cancel(std::size_t host, const attempt_key& key) {
  auto& state = hosts_[host];
  for (auto it = state.calls.begin(); it != state.calls.end(); ++it) {
    if (!(it->second.work.key == key)) continue;
    if (it->second.state == call_state::written) {
      it->second.is_cancelled = true;
      return;
    }
    const bool is_granted = it->second.state == call_state::granted;
    state.calls.erase(it);
    // A call that was granted but not written provably did not start.
    if (is_granted)
      apply(host, state.executor->on_dispatch_result(
                      now_, key, {dispatch_outcome::cancelled_before_start, {}, {}}));
    return;
  }
}

void request_model::finish(std::size_t host, std::uint64_t call, dispatch_result result) {
  auto& state = hosts_[host];
  const auto it = state.calls.find(call);
  if (it == state.calls.end()) return;
  const auto key = it->second.work.key;
  state.calls.erase(it);
  apply(host, state.executor->on_dispatch_result(now_, key, result));
  // A transport may report the end of a call twice.
  if (random_chance(5))
    schedule_at_host(random_delay(0, 20), host, [this, host, key, result = std::move(result)] {
      apply(host, hosts_[host].executor->on_dispatch_result(now_, key, result));
    });
}

// Tokens

std::string request_model::seal(const flow_token& token) {
  std::string sealed(sizeof token, '\0');
  std::memcpy(sealed.data(), &token, sizeof token);
  return sealed;
}

flow_token request_model::open(const std::string& sealed) {
  flow_token token;
  std::memcpy(&token, sealed.data(), sizeof token);
  return token;
}

service_policy request_model::policy_of(const std::string& method) const {
  return {service_id{1}, method == certify_method ? wire::non_idempotent : wire::idempotent,
          milliseconds(plan_.max_deadline_ms), 10};
}

} // namespace zinnia::proofs
