#include "entry/request_dispatcher.h"

#include "fabric.pb.h"

#include <algorithm>

namespace zinnia {
namespace {

work_key key_of(const request_key& key) {
  return {key.flow.value, key.number};
}

wire::outcome_reason reason_of(reject_reason reason) {
  switch (reason) {
  case reject_reason::expired:
  case reject_reason::deadline_unreachable:
    return wire::reason_deadline;
  case reject_reason::no_upstream:
    return wire::reason_no_upstream;
  case reject_reason::queue_full:
  case reject_reason::duplicate:
    break;
  }
  return wire::reason_overloaded;
}

call_result call_result_of(dispatch_outcome outcome, bool is_cancelled) {
  if (is_cancelled) return call_result::abandoned;
  switch (outcome) {
  case dispatch_outcome::done:
  case dispatch_outcome::content_changed:
    return call_result::completed;
  case dispatch_outcome::refused_before_start:
    return call_result::refused;
  case dispatch_outcome::cancelled_before_start:
    return call_result::abandoned;
  case dispatch_outcome::not_written:
  case dispatch_outcome::failed_after_start:
  case dispatch_outcome::lost:
    break;
  }
  return call_result::failed;
}

} // namespace

request_dispatcher::request_dispatcher(const service_directory& directory,
                                       request_executor executor, dispatch_queue queue,
                                       peer_sender send_to_host, metric_registry& metrics)
    : directory_(directory), executor_(std::move(executor)), queue_(std::move(queue)),
      send_to_host_(std::move(send_to_host)), metrics_(metrics) {}

void request_dispatcher::execute(time_point now, const request_effects& effects,
                                 entry_effects& out) {
  for (const auto& it : effects) {
    if (const auto* packet = std::get_if<send_packet>(&it)) {
      send(*packet, out);
    } else if (const auto* request = std::get_if<dispatch_request>(&it)) {
      const auto key = key_of(request->key.request);
      attempts_.insert_or_assign(key, *request);
      execute(now, queue_.enqueue(now, {key, request->service, request->deadline}), out);
    } else if (const auto* cancelled = std::get_if<cancel_dispatch>(&it)) {
      cancel(cancelled->key, out);
    }
  }
}

void request_dispatcher::execute(time_point now, const dispatch_effects& effects,
                                 entry_effects& out) {
  for (const auto& it : effects) {
    if (const auto* started = std::get_if<start_work>(&it))
      start(now, *started, out);
    else if (const auto* rejected = std::get_if<reject_work>(&it))
      reject(now, *rejected, out);
    else if (const auto* message = std::get_if<send_slot_message>(&it))
      send_to_host_(message->to, message->packet, out);
  }
}

void request_dispatcher::start(time_point now, const start_work& effect, entry_effects& out) {
  const auto found = attempts_.find(effect.key);
  if (found == attempts_.end()) {
    execute(now, queue_.finish(now, effect.key, call_result::unused), out);
    return;
  }
  auto connection = std::optional(effect.slot.connection);
  if (effect.is_borrowed)
    connection = borrowed_.acquire(now, effect.slot.incarnation, effect.slot.address, out);
  if (!connection) {
    // The connection to the lender's upstream is not yet established. Nothing was written, so the
    // request is queued again.
    const auto request = found->second;
    execute(now, queue_.finish(now, effect.key, call_result::unused), out);
    execute(now, queue_.enqueue(now, {effect.key, request.service, request.deadline}), out);
    return;
  }
  const auto request = std::move(found->second);
  attempts_.erase(found);
  if (executor_.on_dispatch_started(now, request.key) == start_permission::withdrawn) {
    execute(now, queue_.finish(now, effect.key, call_result::unused), out);
    return;
  }
  const auto number = next_call_++;
  calls_.emplace(number, running_call{request.key, effect.key, false, now});
  start_call call{number, *connection, {}};
  const auto* service = directory_.find(request.service);
  if (service != nullptr) call.request.set_service(service->declaration().name());
  call.request.set_upstream_incarnation(effect.slot.incarnation.value);
  call.request.set_flow(request.key.request.flow.value);
  call.request.set_request_number(request.key.request.number);
  call.request.set_method(request.method);
  call.request.set_payload(request.payload);
  const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now);
  call.request.set_deadline_ms(
      static_cast<std::uint32_t>(std::max<milliseconds::rep>(remaining.count(), 1)));
  call.request.set_range_offset(request.range.offset());
  call.request.set_range_length(request.range.length());
  call.request.set_content_version(request.range.content_version());
  out.emplace_back(std::move(call));
}

void request_dispatcher::reject(time_point now, const reject_work& effect, entry_effects& out) {
  const auto found = attempts_.find(effect.key);
  if (found == attempts_.end()) return;
  const auto key = found->second.key;
  attempts_.erase(found);
  execute(now, executor_.on_dispatch_rejected(now, key, reason_of(effect.reason)), out);
}

void request_dispatcher::cancel(const attempt_key& key, entry_effects& out) {
  const auto found = attempts_.find(key_of(key.request));
  if (found != attempts_.end() && found->second.key == key) {
    queue_.cancel(found->first);
    attempts_.erase(found);
    return;
  }
  for (auto& [number, it] : calls_) {
    if (it.attempt != key || it.is_cancelled) continue;
    it.is_cancelled = true;
    out.emplace_back(cancel_call{number});
  }
}

void request_dispatcher::count_sent(const wire::caller_packet& packet) {
  if (packet.has_part() && packet.part().offset() == 0) metrics_.counter_of("answers_sent").add();
  if (!packet.has_outcome() || packet.outcome().kind() == wire::outcome_unset) return;
  metrics_
      .counter_of("outcomes_sent",
                  "kind=" + wire::outcome_kind_Name(packet.outcome().kind()) +
                      ",reason=" + wire::outcome_reason_Name(packet.outcome().reason()))
      .add();
}

void request_dispatcher::send(const send_packet& effect, entry_effects& out) {
  count_sent(effect.packet);
  wire::fabric_frame frame;
  frame.set_caller_address(effect.route.caller.address);
  frame.set_caller_port(effect.route.caller.port);
  frame.set_service_address(effect.route.service.address);
  frame.set_service_port(effect.route.service.port);
  frame.set_payload(effect.packet.SerializeAsString());
  out.emplace_back(send_to_fabric{effect.route.fabric, frame.SerializeAsString()});
}

void request_dispatcher::on_call_finished(time_point now, const call_finished& event,
                                          entry_effects& out) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const auto call = found->second;
  calls_.erase(found);
  metrics_.distribution_of("call_ms").record(
      std::chrono::duration<double, std::milli>(now - call.started_at).count());
  const auto effects = executor_.on_dispatch_result(now, call.attempt, event.result);
  // The slot is freed before a retry is enqueued, because the queue refuses a key that is running.
  execute(now,
          queue_.finish(now, call.key, call_result_of(event.result.outcome, call.is_cancelled)),
          out);
  execute(now, effects, out);
}

void request_dispatcher::on_peer_message(time_point now, const wire::peer_packet& packet,
                                         entry_effects& out) {
  execute(now, queue_.on_peer_message(now, packet), out);
}

void request_dispatcher::on_host_gone(time_point now, host_id host, entry_effects& out) {
  execute(now, queue_.on_host_gone(now, host), out);
}

void request_dispatcher::on_tick(time_point now, entry_effects& out) {
  execute(now, executor_.on_tick(now), out);
  execute(now, queue_.tick(now), out);
  borrowed_.on_tick(now, out);
}

bool request_dispatcher::has_no_requests() const {
  return calls_.empty() && executor_.pending() == 0;
}

} // namespace zinnia
