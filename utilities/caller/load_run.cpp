#include "load_run.h"

#include "common/generated_content.h"
#include "common/stop_signal.h"

#include <iomanip>
#include <iostream>

namespace zinnia::utilities {
namespace {

constexpr milliseconds tick_interval{5};
constexpr milliseconds progress_interval{1'000};
constexpr int burst = 512; // datagrams
// Sessions that have sent something and wait for it; more of them at once only
// fill the socket buffers.
constexpr std::size_t most_active = 256;

const char* name_of(load_run::mode kind) {
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

result<std::unique_ptr<load_run>> load_run::create(options chosen) {
  if (chosen.flows == 0 || chosen.count == 0)
    return failure(error_kind::malformed, "--flows and --count", "expected at least 1");
  ZINNIA_TRY(socket, udp_socket::create({}));
  std::unique_ptr<load_run> made(new load_run(std::move(chosen), std::move(socket)));
  const auto& given = made->options_;
  if (!given.journal.empty()) {
    made->journal_.open(given.journal, std::ios::app);
    if (!made->journal_)
      return failure(error_kind::io, given.journal, "cannot be opened for appending");
  }
  caller_settings settings;
  settings.service = given.service;
  random_engine seeds(given.seed);
  for (std::size_t n = 0; n < given.flows; ++n) {
    ZINNIA_TRY(session, caller_session::create(settings, seeds()));
    made->sessions_.push_back(std::move(session));
    made->idle_.push_back(given.flows - 1 - n);
  }
  made->is_active_.resize(given.flows);
  return made;
}

load_run::load_run(options chosen, udp_socket socket)
    : options_(std::move(chosen)), socket_(std::move(socket)) {}

void load_run::run() {
  started_ = monotonic_now();
  next_progress_ = started_ + progress_interval;
  while (counters_.ended < options_.count && !is_stop_requested()) {
    ask_due(monotonic_now());
    socket_.poco().poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ);
    receive(monotonic_now());
    tick(monotonic_now());
    print_progress(monotonic_now());
  }
  ended_ = monotonic_now();
}

void load_run::ask_due(time_point now) {
  if (options_.rate <= 0) {
    while (counters_.asked < options_.count && !idle_.empty() && active_.size() < most_active) {
      const auto session = idle_.back();
      idle_.pop_back();
      ask(now, session);
    }
    return;
  }
  const auto passed = std::chrono::duration<double>(now - started_).count();
  while (counters_.asked < options_.count &&
         static_cast<double>(counters_.asked) <= passed * options_.rate)
    ask(now, counters_.asked % sessions_.size());
}

void load_run::ask(time_point now, std::size_t session) {
  const call_id id{++counters_.asked};
  const auto identity = std::to_string(options_.seed) + '/' + std::to_string(id.value);
  auto& asked = asked_[id.value];
  asked = {session, request_payload(options_.answer_bytes, identity), now};
  if (!is_active_[session]) {
    is_active_[session] = true;
    active_.push_back(session);
  }
  const auto deadline = now + options_.deadline;
  if (options_.kind == mode::download) {
    step(now, session, download_submitted{id, name_of(options_.kind), asked.payload, deadline});
    return;
  }
  const auto kind = options_.kind == mode::lookup ? wire::idempotent : wire::non_idempotent;
  step(now, session, call_submitted{id, kind, name_of(options_.kind), asked.payload, deadline});
}

void load_run::receive(time_point now) {
  packet_received event;
  for (int left = burst; left > 0; --left) {
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
    const auto session = find(by_nonce_, packet.opened().nonce());
    if (session) by_flow_[packet.opened().flow()] = *session;
    return session;
  }
  case wire::caller_packet::kPart:
    return find(by_flow_, packet.part().flow());
  case wire::caller_packet::kOutcome:
    return find(by_flow_, packet.outcome().flow());
  case wire::caller_packet::kRefused:
    return packet.refused().nonce() != 0 ? find(by_nonce_, packet.refused().nonce())
                                         : find(by_flow_, packet.refused().flow());
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
    std::visit([&](const auto& it) { apply(now, session, it); }, effect);
}

void load_run::apply(time_point, std::size_t session, const packet_to_send& effect) {
  if (effect.packet.has_open()) by_nonce_[effect.packet.open().nonce()] = session;
  socket_.send(options_.service_address, effect.packet.SerializeAsString());
}

void load_run::apply(time_point now, std::size_t session, const call_ended& effect) {
  const auto found = asked_.find(effect.id.value);
  if (found == asked_.end()) {
    ++counters_.wrong; // a call that ended twice
    return;
  }
  const auto asked = std::move(found->second);
  asked_.erase(found);
  latency_.add(now - asked.since);
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
  else if (!is_right(asked, effect))
    ++counters_.wrong;
  counters_.content_bytes += effect.answer.size();
  write_journal(asked, effect);
  idle_.push_back(session);
}

bool load_run::is_right(const asked_request& asked, const call_ended& effect) const {
  if (options_.kind != mode::download)
    return effect.answer ==
           expected_answer(options_.service, name_of(options_.kind), asked.payload);
  const generated_content expected(options_.service + '@' + options_.content_version,
                                   effect.answer.size());
  return !effect.answer.empty() && expected.digest() == content_digest(effect.answer);
}

void load_run::write_journal(const asked_request& asked, const call_ended& effect) {
  if (!journal_.is_open()) return;
  journal_ << name_of(options_.kind) << ' ' << to_hex(content_digest(asked.payload)) << ' '
           << wire::outcome_kind_Name(effect.kind) << ' '
           << wire::outcome_reason_Name(effect.reason) << ' ' << effect.answer.size() << std::endl;
}

void load_run::print_progress(time_point now) {
  if (now < next_progress_) return;
  next_progress_ = now + progress_interval;
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - started_);
  std::cerr << "progress: " << seconds.count() << " s, asked " << counters_.asked << ", ended "
            << counters_.ended << " of " << options_.count << ", flows " << by_flow_.size()
            << ", content " << counters_.content_bytes << " bytes" << std::endl;
}

bool load_run::is_whole() const {
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
  const auto seconds = std::chrono::duration<double>(ended_ - started_).count();
  out << "service=" << options_.service << " mode=" << name_of(options_.kind)
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
