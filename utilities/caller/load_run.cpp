#include "load_run.h"

#include "common/generated_content.h"
#include "common/stop_signal.h"

#include <iomanip>
#include <iostream>

namespace zinnia::utilities {
namespace {

constexpr milliseconds tick_interval{5};
constexpr milliseconds progress_interval{1'000};
constexpr int max_datagrams_per_round = 512;
// Limits the sessions with open requests when there is no rate. More of them would only fill the
// socket buffers.
constexpr std::size_t max_active_sessions = 256;

const char* mode_name(load_run::mode kind) {
  switch (kind) {
  case load_run::mode::lookup:
    return "lookup";
  case load_run::mode::certify:
    return "certify";
  case load_run::mode::download:
    return "download";
  }
  return "";
}

} // namespace

result<std::unique_ptr<load_run>> load_run::create(options opts) {
  if (opts.flows == 0 || opts.count == 0)
    return failure(error_kind::malformed, "--flows and --count", "expected at least 1");
  ZINNIA_TRY(socket, udp_socket::create({}));
  std::unique_ptr<load_run> created(new load_run(std::move(opts), std::move(socket)));
  const auto& options = created->options_;
  if (!options.journal.empty()) {
    created->journal_.open(options.journal, std::ios::app);
    if (!created->journal_)
      return failure(error_kind::io, options.journal, "cannot be opened for appending");
  }
  caller_settings settings;
  settings.service = options.service;
  random_engine seeds(options.seed);
  for (std::size_t n = 0; n < options.flows; ++n) {
    ZINNIA_TRY(session, caller_session::create(settings, seeds()));
    created->sessions_.push_back(std::move(session));
    created->idle_.push_back(options.flows - 1 - n);
  }
  created->is_active_.resize(options.flows);
  return created;
}

load_run::load_run(options opts, udp_socket socket)
    : options_(std::move(opts)), socket_(std::move(socket)) {}

void load_run::run() {
  start_time_ = monotonic_now();
  next_progress_ = start_time_ + progress_interval;
  while (counters_.ended < options_.count && !is_stop_requested()) {
    submit_due(monotonic_now());
    socket_.poco().poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ);
    receive(monotonic_now());
    tick(monotonic_now());
    print_progress(monotonic_now());
  }
  end_time_ = monotonic_now();
}

void load_run::submit_due(time_point now) {
  if (options_.rate <= 0) {
    while (counters_.asked < options_.count && !idle_.empty() &&
           active_.size() < max_active_sessions) {
      const auto session = idle_.back();
      idle_.pop_back();
      submit(now, session);
    }
    return;
  }
  const auto elapsed_seconds = std::chrono::duration<double>(now - start_time_).count();
  while (counters_.asked < options_.count &&
         static_cast<double>(counters_.asked) <= elapsed_seconds * options_.rate)
    submit(now, counters_.asked % sessions_.size());
}

void load_run::submit(time_point now, std::size_t session) {
  const call_id id{++counters_.asked};
  const auto identity = std::to_string(options_.seed) + '/' + std::to_string(id.value);
  auto& request = open_requests_[id.value];
  request = {session, request_payload(options_.answer_bytes, identity), now};
  if (!is_active_[session]) {
    is_active_[session] = true;
    active_.push_back(session);
  }
  const auto deadline = now + options_.deadline;
  if (options_.kind == mode::download) {
    step(now, session, download_submitted{id, mode_name(options_.kind), request.payload, deadline});
    return;
  }
  const auto kind = options_.kind == mode::lookup ? wire::idempotent : wire::non_idempotent;
  step(now, session, call_submitted{id, kind, mode_name(options_.kind), request.payload, deadline});
}

void load_run::receive(time_point now) {
  packet_received event;
  for (int remaining = max_datagrams_per_round; remaining > 0; --remaining) {
    const auto datagram = socket_.receive();
    if (!datagram) return;
    const bool is_parsed = event.packet.ParseFromArray(datagram->payload.data(),
                                                       static_cast<int>(datagram->payload.size()));
    const auto session = is_parsed ? session_of(event.packet) : std::nullopt;
    if (session)
      step(now, *session, event);
    else
      ++counters_.foreign;
  }
}

std::optional<std::size_t> load_run::session_of(const wire::caller_packet& packet) {
  const auto find = [](const auto& map, std::uint64_t key) {
    const auto found = map.find(key);
    return found == map.end() ? std::nullopt : std::optional<std::size_t>(found->second);
  };
  switch (packet.body_case()) {
  case wire::caller_packet::kOpened: {
    const auto session = find(session_by_nonce_, packet.opened().nonce());
    if (session) session_by_flow_[packet.opened().flow()] = *session;
    return session;
  }
  case wire::caller_packet::kPart:
    return find(session_by_flow_, packet.part().flow());
  case wire::caller_packet::kOutcome:
    return find(session_by_flow_, packet.outcome().flow());
  case wire::caller_packet::kRefused:
    return packet.refused().nonce() != 0 ? find(session_by_nonce_, packet.refused().nonce())
                                         : find(session_by_flow_, packet.refused().flow());
  default:
    return std::nullopt;
  }
}

void load_run::tick(time_point now) {
  if (now < next_tick_) return;
  next_tick_ = now + tick_interval;
  for (const auto session : std::exchange(active_, {})) {
    const auto due = sessions_[session].next_wakeup();
    if (due && *due <= now) step(now, session, timer_fired{});
    is_active_[session] = sessions_[session].open_calls() > 0;
    if (is_active_[session]) active_.push_back(session);
  }
}

void load_run::step(time_point now, std::size_t session, const caller_event& event) {
  for (const auto& effect : sessions_[session].step(now, event))
    std::visit([&](const auto& it) { execute(now, session, it); }, effect);
}

void load_run::execute(time_point, std::size_t session, const packet_to_send& effect) {
  if (effect.packet.has_open()) session_by_nonce_[effect.packet.open().nonce()] = session;
  socket_.send(options_.service_address, effect.packet.SerializeAsString());
}

void load_run::execute(time_point now, std::size_t session, const call_ended& effect) {
  const auto found = open_requests_.find(effect.id.value);
  if (found == open_requests_.end()) {
    ++counters_.wrong; // the call ended more than once
    return;
  }
  const auto request = std::move(found->second);
  open_requests_.erase(found);
  latency_.add(now - request.submitted_at);
  ++counters_.ended;
  static const std::map<wire::outcome_kind, std::uint64_t counters::*> fields{
      {wire::outcome_answered, &counters::answered},
      {wire::outcome_not_run, &counters::not_run},
      {wire::outcome_unknown, &counters::unknown},
  };
  const auto field = fields.find(effect.kind);
  ++(counters_.*(field == fields.end() ? &counters::wrong : field->second));
  if (effect.kind != wire::outcome_answered)
    ++reasons_[wire::outcome_kind_Name(effect.kind) + ' ' +
               wire::outcome_reason_Name(effect.reason)];
  else if (!is_expected_answer(request, effect))
    ++counters_.wrong;
  counters_.content_bytes += effect.answer.size();
  write_journal(request, effect);
  idle_.push_back(session);
}

bool load_run::is_expected_answer(const open_request& request, const call_ended& effect) const {
  if (options_.kind != mode::download)
    return effect.answer ==
           expected_answer(options_.service, mode_name(options_.kind), request.payload);
  const generated_content expected(options_.service + '@' + options_.content_version,
                                   effect.answer.size());
  return !effect.answer.empty() && expected.digest() == content_digest(effect.answer);
}

void load_run::write_journal(const open_request& request, const call_ended& effect) {
  if (!journal_.is_open()) return;
  journal_ << mode_name(options_.kind) << ' ' << to_hex(content_digest(request.payload)) << ' '
           << wire::outcome_kind_Name(effect.kind) << ' '
           << wire::outcome_reason_Name(effect.reason) << ' ' << effect.answer.size() << std::endl;
}

void load_run::print_progress(time_point now) {
  if (now < next_progress_) return;
  next_progress_ = now + progress_interval;
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - start_time_);
  std::cerr << "progress: " << seconds.count() << " s, asked " << counters_.asked << ", ended "
            << counters_.ended << " of " << options_.count << ", flows " << session_by_flow_.size()
            << ", content " << counters_.content_bytes << " bytes" << std::endl;
}

bool load_run::is_complete() const {
  return counters_.answered == options_.count && counters_.wrong == 0;
}

void load_run::print(std::ostream& out) const {
  caller_counters sum;
  for (const auto& it : sessions_) {
    sum.opens += it.counters().opens;
    sum.resends += it.counters().resends;
    sum.reissues += it.counters().reissues;
    sum.restarts += it.counters().restarts;
    sum.duplicate_parts += it.counters().duplicate_parts;
    sum.refused_parts += it.counters().refused_parts;
    sum.refusals += it.counters().refusals;
  }
  const auto seconds = std::chrono::duration<double>(end_time_ - start_time_).count();
  out << "service=" << options_.service << " mode=" << mode_name(options_.kind)
      << " asked=" << counters_.asked << " answered=" << counters_.answered
      << " not_run=" << counters_.not_run << " unknown=" << counters_.unknown
      << " wrong=" << counters_.wrong << " foreign=" << counters_.foreign << " opens=" << sum.opens
      << " resends=" << sum.resends << " reissues=" << sum.reissues << " restarts=" << sum.restarts
      << " duplicate_parts=" << sum.duplicate_parts << " refused_parts=" << sum.refused_parts
      << " refusals=" << sum.refusals << " content_bytes=" << counters_.content_bytes
      << " seconds=" << std::fixed << std::setprecision(2) << seconds << '\n';
  for (const auto& [reason, n] : reasons_)
    out << "reason: " << reason << ' ' << n << '\n';
  latency_.print(out);
}

} // namespace zinnia::utilities
