#include "zinniarelay/caller/caller_session.h"

#include <algorithm>

namespace zinnia {
namespace {

// Maximum number of acknowledgements kept for repetition when further parts arrive.
constexpr std::size_t max_stored_acknowledgements = 256;

// Returns whether the executing host runs no new requests of the flow after an outcome
// with this reason.
bool is_flow_lost(wire::outcome_reason reason) {
  switch (reason) {
  case wire::reason_draining:
  case wire::reason_other_incarnation:
  case wire::reason_executing_host_lost:
  case wire::reason_window_passed:
    return true;
  default:
    return false;
  }
}

} // namespace

caller_session::caller_session(const caller_settings& settings, std::uint64_t seed)
    : settings_(settings), engine_(seed) {}

result<caller_session> caller_session::create(const caller_settings& settings, std::uint64_t seed) {
  if (settings.service.empty() || settings.initial_resend_delay.count() < 1 ||
      settings.max_resend_delay < settings.initial_resend_delay || settings.range_length == 0 ||
      settings.range_length > settings.max_answer_size || settings.ranges_in_flight == 0)
    return failure(error_kind::malformed, "caller settings",
                   "a value is out of range; expected a service, positive resend delays and "
                   "ranges no longer than an answer");
  return caller_session(settings, seed);
}

caller_effects caller_session::step(time_point now, const caller_event& event) {
  caller_effects out;
  std::visit([&](const auto& value) { on_event(now, value, out); }, event);
  end_expired_calls(now, out);
  resend_due(now, out);
  issue_waiting(now, out);
  return out;
}

std::optional<time_point> caller_session::next_wakeup() const {
  std::optional<time_point> due;
  const auto consider = [&](time_point candidate) {
    due = due ? std::min(*due, candidate) : candidate;
  };
  if (opening_) consider(opening_->resend_at);
  for (const auto& [id, deadline] : calls_)
    consider(deadline);
  for (const auto& [id, download] : downloads_)
    consider(download.deadline);
  for (const auto& [key, request] : issued_)
    consider(request.resend_at);
  for (const auto& it : waiting_)
    if (!opening_) consider(it.not_before);
  return due;
}

void caller_session::on_event(time_point now, const call_submitted& event, caller_effects& out) {
  calls_.emplace(event.id, event.deadline);
  if (event.payload.size() > settings_.max_payload_size ||
      event.method.size() > settings_.max_method_size) {
    end_call(event.id, wire::outcome_not_run, wire::reason_unset, {}, out);
    return;
  }
  operation work;
  work.owner = event.id;
  work.kind = event.kind;
  work.method = event.method;
  work.payload = event.payload;
  work.deadline = event.deadline;
  work.not_before = now;
  waiting_.push_back(std::move(work));
}

void caller_session::on_event(time_point, const timer_fired&, caller_effects&) {}

void caller_session::on_event(time_point now, const packet_received& event, caller_effects& out) {
  switch (event.packet.body_case()) {
  case wire::caller_packet::kOpened:
    return on_opened(now, event.packet.opened());
  case wire::caller_packet::kPart:
    return on_part(now, event.packet.part(), out);
  case wire::caller_packet::kOutcome:
    return on_outcome(now, event.packet.outcome(), out);
  case wire::caller_packet::kRefused:
    return on_refused(now, event.packet.refused(), out);
  default:
    return;
  }
}

// Opening

bool caller_session::is_flow_usable(time_point now) const {
  return flow_ && now + settings_.token_expiry_margin < flow_->valid_until;
}

void caller_session::abandon_flow(flow_id id) {
  if (flow_ && flow_->id == id) flow_.reset();
}

void caller_session::open_flow(time_point now, caller_effects& out) {
  ++counters_.opens;
  opening_ = opening_state{engine_(), now, now, settings_.initial_resend_delay, 0};
  send_open(now, out);
}

void caller_session::send_open(time_point now, caller_effects& out) {
  packet_to_send send;
  auto& open = *send.packet.mutable_open();
  open.set_service(settings_.service);
  open.set_nonce(opening_->nonce);
  out.emplace_back(std::move(send));
  opening_->resend_at = now + with_jitter(opening_->backoff);
  opening_->backoff = next_backoff(opening_->backoff);
}

void caller_session::on_opened(time_point, const wire::open_reply& reply) {
  if (!opening_ || reply.nonce() != opening_->nonce || reply.token().empty()) {
    ++counters_.ignored_opens;
    return;
  }
  // The reply may have been delayed. The validity therefore starts at the earliest time at
  // which the token can have been sealed.
  flow_ = flow_state{flow_id{reply.flow()}, reply.token(),
                     opening_->first_sent + milliseconds(reply.valid_ms()), 1};
  opening_.reset();
}

void caller_session::renew_token(const issued_request& request, const wire::answer_part& part) {
  if (part.offset() != 0 || !flow_ || flow_->id.value != part.flow()) return;
  if (part.renewed_token().empty()) {
    // The executing host is draining, or another host took over the request.
    flow_.reset();
    return;
  }
  const auto valid_until = request.first_sent + milliseconds(part.valid_ms());
  if (valid_until <= flow_->valid_until) return;
  flow_->token = part.renewed_token();
  flow_->valid_until = valid_until;
}

// Requests

milliseconds caller_session::with_jitter(milliseconds delay) {
  // Distributes the resends of callers that lost packets at the same time.
  std::uniform_int_distribution<std::int64_t> distribution(delay.count() * 3 / 4,
                                                           delay.count() * 5 / 4);
  return milliseconds(std::max<std::int64_t>(1, distribution(engine_)));
}

milliseconds caller_session::next_backoff(milliseconds backoff) const {
  return std::min(settings_.max_resend_delay, backoff * 2);
}

void caller_session::issue_waiting(time_point now, caller_effects& out) {
  std::deque<operation> still_waiting;
  while (!waiting_.empty()) {
    auto work = std::move(waiting_.front());
    waiting_.pop_front();
    if (is_obsolete(work)) continue;
    if (now < work.not_before) {
      still_waiting.push_back(std::move(work));
      continue;
    }
    if (is_flow_usable(now)) {
      issue(now, std::move(work), out);
      continue;
    }
    if (!opening_) open_flow(now, out);
    still_waiting.push_back(std::move(work));
  }
  waiting_ = std::move(still_waiting);
}

void caller_session::issue(time_point now, operation work, caller_effects& out) {
  ++work.issue_count;
  const request_key key{flow_->id, flow_->next_number++};
  issued_request request{std::move(work),
                         flow_->token,
                         answer_assembler(settings_.max_answer_size),
                         now,
                         now,
                         settings_.initial_resend_delay,
                         1,
                         std::nullopt};
  const auto it = issued_.emplace(key, std::move(request)).first;
  send_request(now, key, it->second, out);
}

void caller_session::send_request(time_point now, const request_key& key, issued_request& request,
                                  caller_effects& out) {
  packet_to_send send;
  auto& packet = *send.packet.mutable_request();
  const auto time_left = std::chrono::ceil<milliseconds>(request.work.deadline - now);
  packet.set_token(request.token);
  packet.set_request_number(key.number);
  packet.set_method(request.work.method);
  packet.set_attempt(request.attempt);
  packet.set_deadline_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(time_left.count(), 1, std::numeric_limits<std::uint32_t>::max())));
  packet.set_payload(request.work.payload);
  if (request.work.range_length > 0) {
    auto& range = *packet.mutable_range();
    range.set_offset(request.work.range_offset);
    range.set_length(request.work.range_length);
    range.set_content_version(request.work.content_version);
  }
  packet.set_resume_offset(request.assembler.resume_offset());
  packet.set_answer_digest(request.assembler.digest());
  out.emplace_back(std::move(send));
  request.resend_at = now + with_jitter(request.backoff);
  request.backoff = next_backoff(request.backoff);
}

void caller_session::resend_due(time_point now, caller_effects& out) {
  if (opening_) {
    if (waiting_.empty())
      opening_.reset();
    else if (opening_->resend_at <= now)
      send_open(now, out);
  }
  for (auto& [key, request] : issued_) {
    if (request.resend_at > now) continue;
    ++counters_.resends;
    ++request.attempt;
    // New requests use another flow, because the executing host may have failed. The
    // current request keeps its flow, because no other host may run it
    // (docs/design.md R5).
    if (request.attempt > settings_.max_unanswered_attempts) abandon_flow(key.flow);
    send_request(now, key, request, out);
  }
}

void caller_session::acknowledge(const request_key& key, const std::string& token,
                                 caller_effects& out) {
  packet_to_send send;
  auto& ack = *send.packet.mutable_ack();
  ack.set_token(token);
  ack.set_request_number(key.number);
  out.emplace_back(std::move(send));
}

void caller_session::on_part(time_point now, const wire::answer_part& part, caller_effects& out) {
  const request_key key{flow_id{part.flow()}, part.request_number()};
  const auto it = issued_.find(key);
  if (it == issued_.end()) {
    const auto acknowledged = acknowledged_.find(key);
    if (acknowledged == acknowledged_.end()) {
      ++counters_.ignored_parts;
      return;
    }
    ++counters_.duplicate_parts;
    // Repeats the acknowledgement once for a burst of parts, whose first part has offset 0.
    if (part.offset() == 0) acknowledge(key, acknowledged->second, out);
    return;
  }
  auto& request = it->second;
  renew_token(request, part);
  switch (request.assembler.add(part)) {
  case part_result::progress:
    // The host has sent parts, so the next resend, which requests only the missing parts,
    // is scheduled with the initial delay again.
    record_contact(request);
    request.backoff = settings_.initial_resend_delay;
    request.resend_at = now + with_jitter(request.backoff);
    return;
  case part_result::duplicate:
    ++counters_.duplicate_parts;
    return;
  case part_result::refused:
    ++counters_.refused_parts;
    return;
  case part_result::complete:
    return complete_request(now, it, out);
  }
}

void caller_session::complete_request(time_point now, issued_map::iterator it,
                                      caller_effects& out) {
  acknowledge(it->first, it->second.token, out);
  acknowledged_.emplace(it->first, it->second.token);
  acknowledged_order_.push_back(it->first);
  if (acknowledged_order_.size() > max_stored_acknowledgements) {
    acknowledged_.erase(acknowledged_order_.front());
    acknowledged_order_.pop_front();
  }
  const auto request = std::move(it->second);
  issued_.erase(it);
  if (request.work.is_range) return on_range_answer(now, request.work, request.assembler, out);
  end_call(request.work.owner, wire::outcome_answered, wire::reason_unset,
           request.assembler.answer(), out);
}

void caller_session::on_outcome(time_point now, const wire::request_outcome& outcome,
                                caller_effects& out) {
  const request_key key{flow_id{outcome.flow()}, outcome.request_number()};
  const auto it = issued_.find(key);
  if (it == issued_.end()) {
    ++counters_.ignored_outcomes;
    return;
  }
  switch (outcome.kind()) {
  case wire::outcome_not_run:
  case wire::outcome_unknown:
    if (outcome.reason() == wire::reason_executing_host_lost &&
        waits_for_lost_host(now, it->second)) {
      abandon_flow(key.flow);
      return;
    }
    return end_issue(now, it, outcome.kind(), outcome.reason(), out);
  default:
    if (outcome.reason() == wire::reason_pending) record_contact(it->second);
    return;
  }
}

void caller_session::on_refused(time_point, const wire::refusal& refusal, caller_effects& out) {
  ++counters_.refusals;
  if (refusal.nonce() != 0) {
    const bool is_final = refusal.cause() == wire::refusal_unknown_service ||
                          refusal.cause() == wire::refusal_wrong_service;
    if (!opening_ || opening_->nonce != refusal.nonce() || !is_final) return;
    // A host may not have received the declaration of a new service yet, while another host
    // has.
    if (++opening_->refusals < settings_.max_open_refusals) return;
    opening_.reset();
    const auto refused = std::move(waiting_);
    waiting_.clear();
    for (const auto& work : refused)
      fail(work, work.may_have_run ? wire::outcome_unknown : wire::outcome_not_run,
           wire::reason_unset, out);
    return;
  }
  // A refusal by one host does not end a request in progress, because an earlier
  // transmission of the request may have reached the executing host.
  abandon_flow(flow_id{refusal.flow()});
}

void caller_session::record_contact(issued_request& request) {
  // Resets the attempt number, because a request in progress on a live host needs no
  // takeover (docs/design.md R11).
  request.attempt = 1;
  request.reported_lost_at.reset();
}

// Returns whether the report of a lost executing host is ignored for now. Other hosts may
// consider a frozen or partitioned host dead. When the host recovers, it still has its
// records and can report the outcome of a request that no other host may run.
bool caller_session::waits_for_lost_host(time_point now, issued_request& request) const {
  if (request.work.kind == wire::idempotent) return false;
  if (!request.reported_lost_at) request.reported_lost_at = now;
  return now < *request.reported_lost_at + settings_.lost_host_grace;
}

bool caller_session::may_reissue(const operation& work, wire::outcome_kind kind,
                                 wire::outcome_reason reason) const {
  if (kind != wire::outcome_not_run && work.kind != wire::idempotent) return false;
  // A call is issued again only if its flow is lost and another host may run it. For other
  // reasons, such as overload, the application decides whether to repeat the call. Ranges
  // are always issued again. The backoff and the deadline limit the number of issues.
  return work.is_range || is_flow_lost(reason);
}

void caller_session::end_issue(time_point now, issued_map::iterator it, wire::outcome_kind kind,
                               wire::outcome_reason reason, caller_effects& out) {
  if (is_flow_lost(reason)) abandon_flow(it->first.flow);
  auto work = std::move(it->second.work);
  issued_.erase(it);
  if (kind == wire::outcome_unknown) work.may_have_run = true;
  if (work.is_range && reason == wire::reason_content_changed) {
    const auto download = downloads_.find(work.owner);
    if (download != downloads_.end() && download->second.restart_count == work.restart_count)
      restart_download(now, download, out);
    return;
  }
  if (!may_reissue(work, kind, reason)) {
    fail(work, work.may_have_run ? wire::outcome_unknown : kind, reason, out);
    return;
  }
  ++counters_.reissues;
  auto delay = settings_.initial_resend_delay;
  for (std::uint32_t n = 1; n < work.issue_count && delay < settings_.max_resend_delay; ++n)
    delay = next_backoff(delay);
  work.not_before = now + with_jitter(delay);
  waiting_.push_back(std::move(work));
}

void caller_session::fail(const operation& work, wire::outcome_kind kind,
                          wire::outcome_reason reason, caller_effects& out) {
  end_call(work.owner, kind, reason, {}, out);
}

void caller_session::end_call(call_id id, wire::outcome_kind kind, wire::outcome_reason reason,
                              std::string answer, caller_effects& out) {
  if (calls_.erase(id) + downloads_.erase(id) == 0) return;
  out.emplace_back(call_ended{id, kind, reason, std::move(answer)});
}

bool caller_session::is_obsolete(const operation& work) const {
  if (!work.is_range) return calls_.find(work.owner) == calls_.end();
  const auto it = downloads_.find(work.owner);
  return it == downloads_.end() || it->second.restart_count != work.restart_count;
}

void caller_session::end_expired_calls(time_point now, caller_effects& out) {
  // A call in progress may be running, so it ends as unknown. A waiting call was never
  // issued, or its earlier issues have ended. It ends as not_run unless one of these
  // issues may have run.
  for (auto it = issued_.begin(); it != issued_.end();) {
    const auto current = it++;
    if (current->second.work.deadline <= now) {
      const auto work = std::move(current->second.work);
      issued_.erase(current);
      if (!is_obsolete(work)) fail(work, wire::outcome_unknown, wire::reason_deadline, out);
    } else if (is_obsolete(current->second.work)) {
      issued_.erase(current);
    }
  }
  const auto first_expired = std::stable_partition(
      waiting_.begin(), waiting_.end(), [&](const auto& it) { return it.deadline > now; });
  std::vector<operation> expired(std::make_move_iterator(first_expired),
                                 std::make_move_iterator(waiting_.end()));
  waiting_.erase(first_expired, waiting_.end());
  for (const auto& work : expired)
    if (!is_obsolete(work))
      fail(work, work.may_have_run ? wire::outcome_unknown : wire::outcome_not_run,
           wire::reason_deadline, out);
}

} // namespace zinnia
