#include "zinniarelay/request/request_executor.h"

#include "zinniarelay/request/answer_parts.h"
#include "zinniarelay/request/content_digest.h"

#include <algorithm>
#include <glog/logging.h>

namespace zinnia {
namespace {

// Record epochs for which the identity of an ended idempotent request is kept. This
// covers the usual delay of a duplicate packet. A later duplicate only costs an
// additional execution.
constexpr std::uint32_t idempotent_identity_epochs = 2;

// Maximum number of unacknowledged answers that a draining host resends at a time.
constexpr std::size_t max_resends_per_round = 256;

// Bytes reserved for the packet of a request.
constexpr std::uint64_t request_overhead = 2'048;

// Bytes reserved for the record of a request in addition to its answer.
constexpr std::uint64_t answer_overhead = sizeof(live_record) + 256;

send_packet outcome_packet(const reply_route& route, const request_key& key,
                           wire::outcome_kind kind, wire::outcome_reason reason) {
  send_packet out{route, {}};
  auto& outcome = *out.packet.mutable_outcome();
  outcome.set_flow(key.flow.value);
  outcome.set_request_number(key.number);
  outcome.set_kind(kind);
  outcome.set_reason(reason);
  return out;
}

wire::outcome_kind wire_kind(settled_state state) {
  return state == settled_state::not_run ? wire::outcome_not_run : wire::outcome_unknown;
}

} // namespace

request_executor::request_executor(const request_settings& settings, host_id host,
                                   incarnation_id incarnation, token_sealer sealer,
                                   request_table table)
    : settings_(settings), host_(host), incarnation_(incarnation), sealer_(std::move(sealer)),
      table_(std::move(table)) {}

result<request_executor> request_executor::create(const request_settings& settings, host_id host,
                                                  incarnation_id incarnation, token_sealer sealer) {
  if (settings.epoch_length.count() < 1 || settings.epoch_window < 2 ||
      settings.max_answer_size == 0 || settings.parts_per_packet == 0 || settings.attempts == 0 ||
      !sealer)
    return failure(error_kind::malformed, "request settings",
                   "a value is out of range; expected an epoch of at least 1 ms, a window of at "
                   "least 2 epochs, the other values at least 1, and a token sealer");
  ZINNIA_TRY(table, request_table::create(settings.table));
  return request_executor(settings, host, incarnation, std::move(sealer), std::move(table));
}

std::uint32_t request_executor::record_epoch(time_point now) const {
  return static_cast<std::uint32_t>(now.time_since_epoch() / settings_.epoch_length);
}

milliseconds request_executor::token_validity(time_point now) const {
  const auto end =
      settings_.epoch_length * (std::int64_t{record_epoch(now)} + settings_.epoch_window);
  return std::chrono::floor<milliseconds>(time_point(end) - now);
}

milliseconds request_executor::min_token_validity() const {
  return settings_.epoch_length * (settings_.epoch_window - 2);
}

milliseconds request_executor::remaining_token_validity(time_point now) const {
  // Other hosts may still open flows on this host until they receive the update about
  // the drain. One more epoch is allowed for this.
  const std::int64_t last_epoch = drain_epoch_.value_or(record_epoch(now)) + std::int64_t{1};
  const time_point end(settings_.epoch_length * (last_epoch + settings_.epoch_window));
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(end - now));
}

bool request_executor::is_for_this_incarnation(const flow_token& token) const {
  return token.executing_host == host_ && token.executing_incarnation == incarnation_;
}

bool request_executor::is_in_window(time_point now, const flow_token& token) const {
  const auto epoch = record_epoch(now);
  return token.record_epoch <= epoch && epoch - token.record_epoch < settings_.epoch_window;
}

std::uint32_t request_executor::identity_expiry_epoch(time_point now,
                                                      wire::method_kind kind) const {
  // The period starts at the end of the request instead of at the epoch of its token,
  // because a duplicate may contain any token of the flow that was sealed until then.
  const bool is_idempotent = kind == wire::idempotent;
  return record_epoch(now) + (is_idempotent
                                  ? std::min(idempotent_identity_epochs, settings_.epoch_window)
                                  : settings_.epoch_window);
}

retry_budget& request_executor::budget_of(service_id service) {
  return budgets_.try_emplace(service, settings_.retry_burst).first->second;
}

request_effects request_executor::on_request(time_point now, const flow_token& token,
                                             const wire::service_request& request,
                                             const service_policy& policy, const reply_route& route,
                                             takeover_mode mode) {
  const request_key key{token.flow, request.request_number()};
  if (auto* record = table_.find_live(key)) {
    ++counters_.duplicate_requests;
    // A caller may resend over another path. The path of the newest packet is the most
    // likely to work.
    record->route = route;
    return resend(now, key, *record, request);
  }
  if (const auto* record = table_.find_settled(key)) {
    ++counters_.duplicate_requests;
    if (record->state == settled_state::acknowledged) return {};
    return {outcome_packet(route, key, wire_kind(record->state), record->outcome_reason())};
  }
  if (is_for_this_incarnation(token)) {
    if (!is_in_window(now, token)) {
      ++counters_.outside_window;
      return {outcome_packet(route, key, wire::outcome_unknown, wire::reason_window_passed)};
    }
    return admit(now, key, token, request, policy, route);
  }
  const bool is_restart = token.executing_host == host_;
  if (policy.kind != wire::idempotent) {
    if (!is_restart && mode != takeover_mode::executing_host_dead) {
      ++counters_.foreign_requests;
      return {};
    }
    ++counters_.other_incarnation;
    return {outcome_packet(route, key, wire::outcome_unknown,
                           is_restart ? wire::reason_other_incarnation
                                      : wire::reason_executing_host_lost)};
  }
  if (!is_restart && mode == takeover_mode::none) {
    ++counters_.foreign_requests;
    return {};
  }
  // The first transmission of a request does not count as a retry, even if the executing
  // host of its flow is dead.
  if (request.attempt() > 1 && !budget_of(policy.service).try_retry()) {
    ++counters_.takeovers_refused;
    return {};
  }
  ++counters_.takeovers;
  return admit(now, key, token, request, policy, route);
}

request_effects request_executor::resend(time_point now, const request_key& key,
                                         live_record& record,
                                         const wire::service_request& request) {
  if (record.state != live_state::answered)
    return {outcome_packet(record.route, key, wire::outcome_unset, wire::reason_pending)};
  // The resume offset applies only to the answer with the same digest. Another host may
  // have sent a different answer.
  const bool is_same = request.answer_digest() == record.digest;
  request_effects out;
  append_parts(now, key, record, is_same ? request.resume_offset() : 0, settings_.parts_per_packet,
               out);
  return out;
}

request_effects request_executor::admit(time_point now, const request_key& key,
                                        const flow_token& token,
                                        const wire::service_request& request,
                                        const service_policy& policy, const reply_route& route) {
  const bool is_takeover = !is_for_this_incarnation(token);
  const auto refusal = policy.kind == wire::method_kind_unset ? wire::reason_unknown_method
                       : is_draining_                         ? wire::reason_draining
                       : request.deadline_ms() == 0           ? wire::reason_deadline
                                                              : wire::reason_unset;
  if (refusal != wire::reason_unset) {
    // Only the executing incarnation may send not_run (docs/design.md R6).
    if (is_takeover) return {outcome_packet(route, key, wire::outcome_unknown, refusal)};
    return refuse(now, key, route, policy.kind, refusal);
  }
  const auto reserved_answer_size =
      request.range().length() > 0
          ? std::min<std::uint64_t>(request.range().length(), settings_.max_answer_size)
          : settings_.max_answer_size;
  auto* record = table_.admit(key, request_overhead + answer_overhead + reserved_answer_size);
  if (record == nullptr) {
    ++counters_.refused_table_full;
    if (is_takeover)
      return {outcome_packet(route, key, wire::outcome_unknown, wire::reason_table_full)};
    return refuse(now, key, route, policy.kind, wire::reason_table_full);
  }
  const auto time_left = std::min(milliseconds(request.deadline_ms()), policy.max_deadline);
  record->token = token;
  record->route = route;
  record->deadline = now + time_left;
  record->kind = policy.kind;
  record->is_takeover = is_takeover;
  record->attempt = 1;
  record->method = request.method();
  record->payload = request.payload();
  record->range = request.range();
  timers_.push({record->deadline, key});
  budget_of(policy.service).on_first_attempt(policy.retry_percent);
  return {dispatch_of(key, *record)};
}

request_effects request_executor::refuse(time_point now, const request_key& key,
                                         const reply_route& route, wire::method_kind kind,
                                         wire::outcome_reason reason) {
  // An idempotent request needs no tombstone: it may run if the caller sends it again.
  if (kind != wire::idempotent &&
      !table_.add_tombstone(key, reason, identity_expiry_epoch(now, kind))) {
    ++counters_.dropped_tombstones_full;
    return {};
  }
  return {outcome_packet(route, key, wire::outcome_not_run, reason)};
}

request_effects request_executor::settle(time_point now, const request_key& key,
                                         live_record& record, settled_state state,
                                         wire::outcome_reason reason) {
  // After a takeover it is unknown whether the original executing host ran the request
  // (docs/design.md R6).
  const bool is_execution_possible = record.is_takeover || record.may_have_run;
  const auto final_state = is_execution_possible ? settled_state::unknown : state;
  const auto route = record.route;
  table_.settle(key, final_state, reason, identity_expiry_epoch(now, record.kind));
  return {outcome_packet(route, key, wire_kind(final_state), reason)};
}

dispatch_request request_executor::dispatch_of(const request_key& key,
                                               const live_record& record) const {
  return {{key, record.attempt}, record.token.service, record.method, record.payload,
          record.range,          record.deadline,      record.kind};
}

start_permission request_executor::on_dispatch_started(time_point now, const attempt_key& key) {
  auto* record = table_.find_live(key.request);
  if (record == nullptr || record->attempt != key.attempt || record->state != live_state::queued ||
      now >= record->deadline) {
    ++counters_.starts_withdrawn;
    return start_permission::withdrawn;
  }
  record->state = live_state::dispatched;
  return start_permission::granted;
}

request_effects request_executor::retry_or_settle(time_point now, const request_key& key,
                                                  live_record& record, settled_state state,
                                                  wire::outcome_reason reason) {
  if (record.state == live_state::cancelling || now >= record.deadline)
    return settle(now, key, record, state, wire::reason_deadline);
  if (record.attempt >= settings_.attempts) return settle(now, key, record, state, reason);
  if (!budget_of(record.token.service).try_retry()) {
    ++counters_.retries_refused;
    return settle(now, key, record, state, reason);
  }
  ++counters_.retries;
  ++record.attempt;
  record.state = live_state::queued;
  return {dispatch_of(key, record)};
}

request_effects request_executor::on_dispatch_result(time_point now, const attempt_key& key,
                                                     const dispatch_result& attempt_result) {
  auto* record = table_.find_live(key.request);
  const bool is_current =
      record != nullptr && record->attempt == key.attempt &&
      (record->state == live_state::dispatched || record->state == live_state::cancelling);
  if (!is_current) {
    ++counters_.late_results;
    return {};
  }
  const bool is_idempotent = record->kind == wire::idempotent;
  switch (attempt_result.outcome) {
  case dispatch_outcome::done:
    return store_answer(now, key.request, *record, attempt_result);
  case dispatch_outcome::refused_before_start:
    return retry_or_settle(now, key.request, *record, settled_state::not_run,
                           wire::reason_overloaded);
  case dispatch_outcome::not_written:
    return retry_or_settle(now, key.request, *record, settled_state::not_run,
                           wire::reason_no_upstream);
  case dispatch_outcome::cancelled_before_start:
    return retry_or_settle(now, key.request, *record, settled_state::not_run,
                           wire::reason_deadline);
  case dispatch_outcome::content_changed:
    return settle(now, key.request, *record,
                  is_idempotent ? settled_state::not_run : settled_state::unknown,
                  wire::reason_content_changed);
  case dispatch_outcome::failed_after_start:
  case dispatch_outcome::lost:
    break;
  }
  const auto reason = attempt_result.outcome == dispatch_outcome::lost
                          ? wire::reason_upstream_lost
                          : wire::reason_upstream_error;
  if (!is_idempotent)
    return settle(now, key.request, *record, settled_state::unknown,
                  record->state == live_state::cancelling ? wire::reason_deadline : reason);
  record->may_have_run = true;
  return retry_or_settle(now, key.request, *record, settled_state::unknown, reason);
}

request_effects request_executor::on_dispatch_rejected(time_point now, const attempt_key& key,
                                                       wire::outcome_reason reason) {
  auto* record = table_.find_live(key.request);
  if (record == nullptr || record->attempt != key.attempt || record->state != live_state::queued) {
    ++counters_.late_results;
    return {};
  }
  return settle(now, key.request, *record, settled_state::not_run, reason);
}

request_effects request_executor::store_answer(time_point now, const request_key& key,
                                               live_record& record,
                                               const dispatch_result& attempt_result) {
  if (attempt_result.payload.size() > settings_.max_answer_size ||
      attempt_result.content.version().size() > max_content_version_size ||
      attempt_result.content.digest().size() > content_digest_size) {
    ++counters_.oversized_answers;
    return settle(now, key, record, settled_state::unknown, wire::reason_upstream_error);
  }
  record.answer = attempt_result.payload;
  record.content = attempt_result.content;
  record.digest = content_digest(record.answer);
  record.method = {};
  record.payload = {};
  record.range = {};
  record.expiry_epoch = identity_expiry_epoch(now, record.kind);
  table_.set_charged_bytes(record,
                           std::min(record.charged_bytes, answer_overhead + record.answer.size()));
  table_.mark_answered(record);
  request_effects out;
  append_parts(now, key, record, 0, settings_.parts_per_packet, out);
  return out;
}

void request_executor::append_parts(time_point now, const request_key& key,
                                    const live_record& record, std::size_t offset,
                                    std::uint32_t max_parts, request_effects& out) const {
  for (auto& part : split_answer(key, record.answer, record.digest, offset, max_parts)) {
    if (part.offset() == 0) {
      if (!record.content.version().empty()) *part.mutable_content() = record.content;
      // A takeover does not renew the token, because only the executing host may extend
      // the epochs for which its records are kept. Without a renewed token the caller
      // opens a new flow for its next request.
      if (!record.is_takeover && !is_draining_) {
        auto renewed = record.token;
        renewed.record_epoch = record_epoch(now);
        part.set_renewed_token(sealer_(renewed));
        part.set_valid_ms(static_cast<std::uint32_t>(token_validity(now).count()));
      }
    }
    send_packet send{record.route, {}};
    *send.packet.mutable_part() = std::move(part);
    out.push_back(std::move(send));
  }
}

void request_executor::on_ack(time_point now, const flow_token& token, std::uint64_t number) {
  const request_key key{token.flow, number};
  auto* record = table_.find_live(key);
  if (record == nullptr || record->state != live_state::answered) {
    ++counters_.late_acks;
    return;
  }
  table_.settle(key, settled_state::acknowledged, wire::reason_unset,
                identity_expiry_epoch(now, record->kind));
}

request_effects request_executor::on_deadline(time_point now, const request_key& key,
                                              live_record& record) {
  switch (record.state) {
  case live_state::queued: {
    const attempt_key attempt{key, record.attempt};
    auto out = settle(now, key, record, settled_state::not_run, wire::reason_deadline);
    out.insert(out.begin(), cancel_dispatch{attempt});
    return out;
  }
  case live_state::dispatched:
    record.state = live_state::cancelling;
    record.deadline = now + settings_.cancel_grace;
    timers_.push({record.deadline, key});
    return {cancel_dispatch{{key, record.attempt}}};
  case live_state::cancelling:
    return settle(now, key, record, settled_state::unknown, wire::reason_deadline);
  case live_state::answered:
    break;
  }
  return {};
}

// Resends the first part of unacknowledged answers. The acknowledgement may have been
// lost, and the caller repeats it only when it receives another part. Without the
// resend, one lost packet delays a planned stop by a whole window of record epochs
// (docs/design.md R12).
void request_executor::resend_unacknowledged_answers(time_point now, request_effects& out) {
  next_answer_resend_ = now + settings_.drain_resend;
  for (const auto& key : table_.answered_keys(max_resends_per_round))
    append_parts(now, key, *table_.find_live(key), 0, 1, out);
}

request_effects request_executor::on_tick(time_point now) {
  request_effects out;
  while (!timers_.empty() && timers_.top().due_at <= now) {
    const auto expired = timers_.top();
    timers_.pop();
    auto* record = table_.find_live(expired.key);
    if (record == nullptr || record->deadline != expired.due_at) continue;
    auto effects = on_deadline(now, expired.key, *record);
    out.insert(out.end(), std::make_move_iterator(effects.begin()),
               std::make_move_iterator(effects.end()));
  }
  table_.expire_next_shard(record_epoch(now));
  if (is_draining_ && !drain_epoch_) drain_epoch_ = record_epoch(now);
  if (is_draining_ && now >= next_answer_resend_) resend_unacknowledged_answers(now, out);
  return out;
}

} // namespace zinnia
