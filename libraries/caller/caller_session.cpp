#include "zinniarelay/caller/caller_session.h"

#include "zinniarelay/request/content_digest.h"

#include <algorithm>

namespace zinnia {
namespace {

// Acknowledgements that can be repeated when parts still arrive.
constexpr std::size_t remembered_acknowledgements = 256;

// Reasons after which the flow's executing host will not run new requests.
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
  if (settings.service.empty() || settings.first_resend.count() < 1 ||
      settings.longest_resend < settings.first_resend || settings.range_length == 0 ||
      settings.range_length > settings.longest_answer || settings.ranges_in_flight == 0)
    return failure(error_kind::malformed, "caller settings",
                   "a value is out of range; expected a service, positive resend delays and "
                   "ranges no longer than an answer");
  return caller_session(settings, seed);
}

caller_effects caller_session::step(time_point now, const caller_event& event) {
  caller_effects out;
  std::visit([&](const auto& it) { on_event(now, it, out); }, event);
  end_overdue(now, out);
  resend_due(now, out);
  issue_waiting(now, out);
  return out;
}

std::optional<time_point> caller_session::next_wakeup() const {
  std::optional<time_point> due;
  const auto consider = [&](time_point at) { due = due ? std::min(*due, at) : at; };
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
  if (event.payload.size() > settings_.longest_payload ||
      event.method.size() > settings_.longest_method) {
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

void caller_session::on_event(time_point now, const download_submitted& event,
                              caller_effects& out) {
  auto& download = downloads_[event.id];
  download.method = event.method;
  download.payload = event.payload;
  download.deadline = event.deadline;
  if (event.payload.size() > settings_.longest_payload ||
      event.method.size() > settings_.longest_method) {
    end_call(event.id, wire::outcome_not_run, wire::reason_unset, {}, out);
    return;
  }
  plan_ranges(now, event.id, download);
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
  return flow_ && now + settings_.reopen_margin < flow_->valid_until;
}

void caller_session::abandon_flow(flow_id id) {
  if (flow_ && flow_->id == id) flow_.reset();
}

void caller_session::open_flow(time_point now, caller_effects& out) {
  ++counters_.opens;
  opening_ = opening_state{engine_(), now, now, settings_.first_resend, 0};
  send_open(now, out);
}

void caller_session::send_open(time_point now, caller_effects& out) {
  packet_to_send send;
  auto& open = *send.packet.mutable_open();
  open.set_service(settings_.service);
  open.set_nonce(opening_->nonce);
  out.emplace_back(std::move(send));
  opening_->resend_at = now + jittered(opening_->backoff);
  opening_->backoff = grown(opening_->backoff);
}

void caller_session::on_opened(time_point, const wire::open_reply& reply) {
  if (!opening_ || reply.nonce() != opening_->nonce || reply.token().empty()) {
    ++counters_.ignored_opens;
    return;
  }
  // The reply may have been delayed, so its validity counts from the earliest
  // moment at which the token can have been sealed.
  flow_ = flow_state{flow_id{reply.flow()}, reply.token(),
                     opening_->first_sent + milliseconds(reply.valid_ms()), 1};
  opening_.reset();
}

void caller_session::renew_token(const issued_request& request, const wire::answer_part& part) {
  if (part.offset() != 0 || !flow_ || flow_->id.value != part.flow()) return;
  if (part.renewed_token().empty()) {
    // The executing host is leaving, or another host answered for it.
    flow_.reset();
    return;
  }
  const auto until = request.first_sent + milliseconds(part.valid_ms());
  if (until <= flow_->valid_until) return;
  flow_->token = part.renewed_token();
  flow_->valid_until = until;
}

// Requests

milliseconds caller_session::jittered(milliseconds delay) {
  // Spreads the resends of callers that lost packets at the same moment.
  std::uniform_int_distribution<std::int64_t> spread(delay.count() * 3 / 4, delay.count() * 5 / 4);
  return milliseconds(std::max<std::int64_t>(1, spread(engine_)));
}

milliseconds caller_session::grown(milliseconds backoff) const {
  return std::min(settings_.longest_resend, backoff * 2);
}

void caller_session::issue_waiting(time_point now, caller_effects& out) {
  std::deque<operation> later;
  while (!waiting_.empty()) {
    auto work = std::move(waiting_.front());
    waiting_.pop_front();
    if (is_obsolete(work)) continue;
    if (now < work.not_before) {
      later.push_back(std::move(work));
      continue;
    }
    if (is_flow_usable(now)) {
      issue(now, std::move(work), out);
      continue;
    }
    if (!opening_) open_flow(now, out);
    later.push_back(std::move(work));
  }
  waiting_ = std::move(later);
}

void caller_session::issue(time_point now, operation work, caller_effects& out) {
  ++work.issues;
  const request_key key{flow_->id, flow_->next_number++};
  issued_request request{std::move(work),
                         flow_->token,
                         answer_assembler(settings_.longest_answer),
                         now,
                         now,
                         settings_.first_resend,
                         1,
                         std::nullopt};
  const auto it = issued_.emplace(key, std::move(request)).first;
  send_request(now, key, it->second, out);
}

void caller_session::send_request(time_point now, const request_key& key, issued_request& request,
                                  caller_effects& out) {
  packet_to_send send;
  auto& packet = *send.packet.mutable_request();
  const auto left = std::chrono::ceil<milliseconds>(request.work.deadline - now);
  packet.set_token(request.token);
  packet.set_request_number(key.number);
  packet.set_method(request.work.method);
  packet.set_attempt(request.attempt);
  packet.set_deadline_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(left.count(), 1, std::numeric_limits<std::uint32_t>::max())));
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
  request.resend_at = now + jittered(request.backoff);
  request.backoff = grown(request.backoff);
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
    // New requests avoid a host that may have failed; this one stays with it,
    // because no other host may run it (docs/design.md R5).
    if (request.attempt > settings_.silent_attempts) abandon_flow(key.flow);
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
    const auto past = acknowledged_.find(key);
    if (past == acknowledged_.end()) {
      ++counters_.ignored_parts;
      return;
    }
    ++counters_.duplicate_parts;
    // One repetition for a burst of parts: the host sends offset 0 first.
    if (part.offset() == 0) acknowledge(key, past->second, out);
    return;
  }
  auto& request = it->second;
  renew_token(request, part);
  switch (request.assembler.add(part)) {
  case part_result::progress:
    // Only the missing parts need to be sent again.
    note_sign_of_life(request);
    request.backoff = settings_.first_resend;
    request.resend_at = now + jittered(request.backoff);
    return;
  case part_result::duplicate:
    ++counters_.duplicate_parts;
    return;
  case part_result::refused:
    ++counters_.refused_parts;
    return;
  case part_result::complete:
    return answer(now, it, out);
  }
}

void caller_session::answer(time_point now, issued_map::iterator it, caller_effects& out) {
  acknowledge(it->first, it->second.token, out);
  acknowledged_.emplace(it->first, it->second.token);
  acknowledged_order_.push_back(it->first);
  if (acknowledged_order_.size() > remembered_acknowledgements) {
    acknowledged_.erase(acknowledged_order_.front());
    acknowledged_order_.pop_front();
  }
  const auto request = std::move(it->second);
  issued_.erase(it);
  if (request.work.is_range) return on_range(now, request.work, request.assembler, out);
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
    if (outcome.reason() == wire::reason_pending) note_sign_of_life(it->second);
    return;
  }
}

void caller_session::on_refused(time_point, const wire::refusal& refusal, caller_effects& out) {
  ++counters_.refusals;
  if (refusal.nonce() != 0) {
    const bool is_final = refusal.cause() == wire::refusal_unknown_service ||
                          refusal.cause() == wire::refusal_wrong_service;
    if (!opening_ || opening_->nonce != refusal.nonce() || !is_final) return;
    // A host may not have heard of a new service yet; another may have.
    if (++opening_->refusals < settings_.believed_refusals) return;
    opening_.reset();
    const auto refused = std::move(waiting_);
    waiting_.clear();
    for (const auto& work : refused)
      fail(work, work.may_have_run ? wire::outcome_unknown : wire::outcome_not_run,
           wire::reason_unset, out);
    return;
  }
  // One host's refusal of a packet says nothing about earlier copies of it that
  // reached the executing host, so a request in progress goes on.
  abandon_flow(flow_id{refusal.flow()});
}

void caller_session::note_sign_of_life(issued_request& request) {
  // A request in progress on a live host needs no takeover (docs/design.md R11).
  request.attempt = 1;
  request.reported_lost.reset();
}

// Another host may take a frozen or partitioned host for dead. Its records come
// back with it, so a request that only it can have run waits a little longer.
bool caller_session::waits_for_lost_host(time_point now, issued_request& request) const {
  if (request.work.kind == wire::idempotent) return false;
  if (!request.reported_lost) request.reported_lost = now;
  return now < *request.reported_lost + settings_.lost_host_patience;
}

bool caller_session::may_reissue(const operation& work, wire::outcome_kind kind,
                                 wire::outcome_reason reason) const {
  if (kind != wire::outcome_not_run && work.kind != wire::idempotent) return false;
  // A call is issued again only when another host can do better; reasons such
  // as overload are for the application to decide. The backoff and the deadline
  // bound the number of issues.
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
    if (download != downloads_.end() && download->second.restart == work.restart)
      restart_download(now, download, out);
    return;
  }
  if (!may_reissue(work, kind, reason)) {
    fail(work, work.may_have_run ? wire::outcome_unknown : kind, reason, out);
    return;
  }
  ++counters_.reissues;
  auto delay = settings_.first_resend;
  for (std::uint32_t n = 1; n < work.issues && delay < settings_.longest_resend; ++n)
    delay = grown(delay);
  work.not_before = now + jittered(delay);
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
  return it == downloads_.end() || it->second.restart != work.restart;
}

void caller_session::end_overdue(time_point now, caller_effects& out) {
  // A call that was never sent, or only under requests that were not run, was
  // not run; one still in progress may be running.
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
  const auto overdue = std::stable_partition(waiting_.begin(), waiting_.end(),
                                             [&](const auto& it) { return it.deadline > now; });
  std::vector<operation> ended(std::make_move_iterator(overdue),
                               std::make_move_iterator(waiting_.end()));
  waiting_.erase(overdue, waiting_.end());
  for (const auto& work : ended)
    if (!is_obsolete(work))
      fail(work, work.may_have_run ? wire::outcome_unknown : wire::outcome_not_run,
           wire::reason_deadline, out);
}

// Downloads

void caller_session::plan_ranges(time_point now, call_id id, download_state& download) {
  // Until the first answer tells the length, only the first range is asked for.
  const std::uint32_t most = download.info ? settings_.ranges_in_flight : 1;
  while (download.in_flight < most) {
    const bool is_planned = download.info ? download.next_offset >= download.info->total_length()
                                          : download.next_offset > 0;
    if (is_planned) return;
    operation work;
    work.owner = id;
    work.is_range = true;
    work.restart = download.restart;
    work.kind = wire::idempotent;
    work.method = download.method;
    work.payload = download.payload;
    work.range_offset = download.next_offset;
    work.range_length = settings_.range_length;
    if (download.info) work.content_version = download.info->version();
    work.deadline = download.deadline;
    work.not_before = now;
    waiting_.push_back(std::move(work));
    download.next_offset += settings_.range_length;
    ++download.in_flight;
  }
}

void caller_session::restart_download(time_point now, download_map::iterator it,
                                      caller_effects& out) {
  auto& download = it->second;
  if (download.restart >= settings_.restarts) {
    end_call(it->first, wire::outcome_unknown, wire::reason_content_changed, {}, out);
    return;
  }
  ++counters_.restarts;
  ++download.restart;
  download.info.reset();
  download.bytes.clear();
  download.next_offset = 0;
  download.received = 0;
  download.in_flight = 0;
  plan_ranges(now, it->first, download);
}

void caller_session::on_range(time_point now, const operation& work, const answer_assembler& seen,
                              caller_effects& out) {
  const auto it = downloads_.find(work.owner);
  if (it == downloads_.end() || it->second.restart != work.restart) return;
  auto& download = it->second;
  const auto& info = seen.content();
  const auto& bytes = seen.answer();
  --download.in_flight;
  if (info.total_length() > settings_.longest_content) {
    end_call(it->first, wire::outcome_unknown, wire::reason_upstream_error, {}, out);
    return;
  }
  if (!download.info) {
    download.info = info;
    download.bytes.resize(info.total_length());
  }
  const bool is_same = info.version() == download.info->version() &&
                       info.total_length() == download.info->total_length() &&
                       info.digest() == download.info->digest() && !info.version().empty();
  const auto total = download.info->total_length();
  const auto expected = work.range_offset >= total
                            ? 0
                            : std::min<std::uint64_t>(work.range_length, total - work.range_offset);
  if (!is_same || bytes.size() != expected) {
    restart_download(now, it, out);
    return;
  }
  std::copy(bytes.begin(), bytes.end(),
            download.bytes.begin() + static_cast<std::ptrdiff_t>(work.range_offset));
  download.received += bytes.size();
  if (download.received < total) {
    plan_ranges(now, it->first, download);
    return;
  }
  if (content_digest(download.bytes) != download.info->digest()) {
    restart_download(now, it, out);
    return;
  }
  end_call(it->first, wire::outcome_answered, wire::reason_unset, std::move(download.bytes), out);
}

} // namespace zinnia
