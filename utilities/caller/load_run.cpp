#include "load_run.h"

#include "common/stop_signal.h"

#include <glog/logging.h>

#include <iomanip>
#include <iostream>
#include <numeric>

namespace zinnia::utilities {
namespace {

namespace bh = boost::histogram;

constexpr milliseconds tick_interval{10};
constexpr milliseconds progress_interval{1'000};
constexpr milliseconds opening_limit{15'000};
constexpr std::uint32_t range_bytes = 64 * 1024;
// A download asks so many times for ranges that were not answered, then it is broken.
constexpr int most_repeats = 100;
constexpr int burst = 512; // datagrams

const char* name_of(load_run::mode kind) {
  switch (kind) {
  case load_run::mode::open:
    return "open";
  case load_run::mode::lookup:
    return "lookup";
  case load_run::mode::certify:
    return "certify";
  case load_run::mode::download:
    return "download";
  }
  return "";
}

const char* name_of(request_end::outcome kind) {
  switch (kind) {
  case request_end::outcome::answered:
    return "answered";
  case request_end::outcome::not_run:
    return "not_run";
  case request_end::outcome::unknown:
    return "unknown";
  case request_end::outcome::no_reply:
    return "no_reply";
  }
  return "";
}

double milliseconds_of(microseconds it) {
  return static_cast<double>(it.count()) / 1000;
}

} // namespace

result<std::unique_ptr<load_run>> load_run::create(options chosen) {
  if (chosen.flows == 0 || chosen.count == 0)
    return failure(error_kind::malformed, "--flows and --count", "expected at least 1");
  ZINNIA_TRY(socket, udp_socket::create({}));
  std::unique_ptr<load_run> made(new load_run(std::move(chosen), std::move(socket)));
  if (!made->options_.journal.empty()) {
    made->journal_.open(made->options_.journal, std::ios::app);
    if (!made->journal_)
      return failure(error_kind::io, made->options_.journal, "cannot be opened for appending");
  }
  return made;
}

load_run::load_run(options chosen, udp_socket socket)
    : options_(std::move(chosen)), socket_(std::move(socket)), random_(options_.seed),
      latency_(bh::make_histogram(
          bh::axis::regular<double, bh::axis::transform::log>(60, 0.01, 100'000))) {
  flows_.reserve(options_.flows);
  for (std::size_t n = 0; n < options_.flows; ++n) {
    const std::uint64_t nonce = random_() | 1U; // 0 stands for no nonce in a refusal
    flows_.emplace_back(flow_client(options_.service, nonce));
    by_nonce_[nonce] = n;
  }
}

void load_run::run() {
  started_ = monotonic_now();
  next_progress_ = started_ + progress_interval;
  while (!is_done() && !is_stop_requested()) {
    const auto now = monotonic_now();
    open_flows(now);
    ask_due(now);
    socket_.poco().poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ);
    receive(monotonic_now());
    tick(monotonic_now());
    print_progress(monotonic_now());
  }
  ended_ = monotonic_now();
}

bool load_run::is_done() const {
  if (options_.kind == mode::open) return open_flows_ + counters_.not_opened >= flows_.size();
  return counters_.ended >= options_.count;
}

// Opens flows at the given rate, or all at once but with few unanswered opens.
void load_run::open_flows(time_point now) {
  constexpr std::uint64_t most_unanswered = 256;
  const auto passed = std::chrono::duration<double>(now - started_).count();
  const bool is_paced = options_.kind == mode::open && options_.rate > 0;
  while (submitted_opens_ < flows_.size()) {
    if (is_paced && static_cast<double>(submitted_opens_) > passed * options_.rate) return;
    if (!is_paced && submitted_opens_ - open_flows_ - counters_.not_opened >= most_unanswered)
      return;
    const auto index = submitted_opens_++;
    flows_[index].opened_at = now;
    flows_[index].client.open(now);
    activate(index);
    if (options_.kind != mode::open && options_.rate <= 0) ask(now, index);
    settle(now, index);
  }
}

void load_run::ask_due(time_point now) {
  if (options_.rate <= 0 || options_.kind == mode::open) return;
  const auto passed = std::chrono::duration<double>(now - started_).count();
  while (submitted_ < options_.count && static_cast<double>(submitted_) <= passed * options_.rate) {
    const auto index = submitted_ % std::max<std::size_t>(submitted_opens_, 1);
    ask(now, index);
    settle(now, index);
  }
}

void load_run::ask(time_point now, std::size_t index) {
  if (submitted_ >= options_.count) return;
  ++submitted_;
  ++counters_.asked;
  auto& flow = flows_[index];
  if (options_.kind == mode::download) {
    flow.download = {};
    ask_range(now, index);
    return;
  }
  request_spec spec;
  spec.method = name_of(options_.kind);
  spec.payload = request_payload(options_.answer_bytes,
                                 std::to_string(options_.seed) + '/' + std::to_string(submitted_));
  spec.deadline = options_.deadline;
  const asked_request asked{spec.method, spec.payload, now};
  flow.asked[flow.client.submit(now, std::move(spec))] = asked;
  activate(index);
}

void load_run::ask_range(time_point now, std::size_t index) {
  auto& flow = flows_[index];
  request_spec spec;
  spec.method = name_of(options_.kind);
  spec.deadline = options_.deadline;
  spec.range.emplace();
  spec.range->set_offset(flow.download.data.size());
  spec.range->set_length(range_bytes);
  spec.range->set_content_version(flow.download.content.version());
  const asked_request asked{spec.method, spec.payload, now};
  flow.asked[flow.client.submit(now, std::move(spec))] = asked;
  activate(index);
}

void load_run::receive(time_point now) {
  wire::caller_packet packet;
  for (int left = burst; left > 0; --left) {
    const auto datagram = socket_.receive();
    if (!datagram) return;
    if (!packet.ParseFromArray(datagram->payload.data(),
                               static_cast<int>(datagram->payload.size()))) {
      ++counters_.foreign;
      continue;
    }
    const auto index = flow_of(packet);
    if (!index) {
      ++counters_.foreign;
      continue;
    }
    auto& client = flows_[*index].client;
    const bool was_open = client.is_open();
    client.receive(now, packet);
    if (!was_open && client.is_open()) {
      ++open_flows_;
      by_flow_[client.flow()] = *index;
      if (options_.kind == mode::open) latency_(milliseconds_of(now - flows_[*index].opened_at));
    }
    settle(now, *index);
  }
}

std::optional<std::size_t> load_run::flow_of(const wire::caller_packet& packet) const {
  const auto find = [](const auto& map, std::uint64_t key) {
    const auto found = map.find(key);
    return found == map.end() ? std::nullopt : std::optional<std::size_t>(found->second);
  };
  switch (packet.body_case()) {
  case wire::caller_packet::kOpened:
    return find(by_nonce_, packet.opened().nonce());
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
  const auto visited = std::exchange(active_, {});
  for (const auto index : visited) {
    auto& flow = flows_[index];
    flow.is_active = false;
    if (!flow.client.is_open() && options_.kind == mode::open &&
        now > flow.opened_at + opening_limit) {
      ++counters_.not_opened;
      continue;
    }
    flow.client.tick(now);
    settle(now, index);
    if (!flow.client.is_open() || flow.client.has_requests()) activate(index);
  }
}

void load_run::settle(time_point now, std::size_t index) {
  auto& flow = flows_[index];
  for (auto& it : flow.client.take_ends())
    take_end(now, index, it);
  for (const auto& it : flow.client.take_packets())
    socket_.send(options_.service_address, it);
}

void load_run::take_end(time_point now, std::size_t index, request_end& it) {
  auto& flow = flows_[index];
  const auto asked = std::move(flow.asked.at(it.number));
  flow.asked.erase(it.number);
  latency_(milliseconds_of(now - asked.since));
  if (options_.kind == mode::download) {
    take_range(now, index, it);
    return;
  }
  const bool is_answered = it.kind == request_end::outcome::answered;
  if (is_answered && it.payload != expected_answer(options_.service, asked.method, asked.payload))
    ++counters_.wrong;
  count(it);
  write_journal(flow, asked, it);
  if (options_.rate <= 0) ask(now, index);
}

void load_run::take_range(time_point now, std::size_t index, const request_end& it) {
  auto& download = flows_[index].download;
  if (it.kind != request_end::outcome::answered) {
    ++counters_.repeated_ranges;
    ++reasons_[std::string("range ") + name_of(it.kind) + ' ' +
               wire::outcome_reason_Name(it.reason)];
    if (it.reason == wire::reason_content_changed) download = {{}, {}, download.repeats};
    if (++download.repeats <= most_repeats) {
      ask_range(now, index);
      return;
    }
    count(it);
    if (options_.rate <= 0) ask(now, index);
    return;
  }
  if (download.data.empty()) download.content = it.content;
  download.data += it.payload;
  if (download.data.size() < download.content.total_length() && !it.payload.empty()) {
    ask_range(now, index);
    return;
  }
  count(it);
  finish_download(index);
  if (options_.rate <= 0) ask(now, index);
}

void load_run::finish_download(std::size_t index) {
  const auto& download = flows_[index].download;
  const generated_content expected(options_.service + '@' + download.content.version(),
                                   download.content.total_length());
  const bool is_whole = download.data.size() == download.content.total_length() &&
                        digest_of(download.data) == download.content.digest() &&
                        expected.digest() == download.content.digest();
  if (!is_whole) ++counters_.wrong;
  counters_.content_bytes += download.data.size();
  std::cout << "download: " << download.data.size() << " of " << download.content.total_length()
            << " bytes, version " << download.content.version() << ", digest "
            << (is_whole ? "right" : "wrong") << std::endl;
}

void load_run::count(const request_end& it) {
  static const std::map<request_end::outcome, std::uint64_t counters::*> fields{
      {request_end::outcome::answered, &counters::answered},
      {request_end::outcome::not_run, &counters::not_run},
      {request_end::outcome::unknown, &counters::unknown},
      {request_end::outcome::no_reply, &counters::no_reply},
  };
  ++counters_.ended;
  ++(counters_.*fields.at(it.kind));
  if (it.kind != request_end::outcome::answered)
    ++reasons_[std::string(name_of(it.kind)) + ' ' + wire::outcome_reason_Name(it.reason)];
}

void load_run::write_journal(const caller_flow&, const asked_request& asked,
                             const request_end& it) {
  if (!journal_.is_open()) return;
  journal_ << std::hex << std::setw(16) << std::setfill('0') << it.flow << std::dec << ' '
           << it.number << ' ' << asked.method << ' ' << to_hex(digest_of(asked.payload)) << ' '
           << name_of(it.kind) << ' ' << wire::outcome_reason_Name(it.reason) << std::endl;
}

void load_run::activate(std::size_t index) {
  if (flows_[index].is_active) return;
  flows_[index].is_active = true;
  active_.push_back(index);
}

void load_run::print_progress(time_point now) {
  if (now < next_progress_) return;
  next_progress_ = now + progress_interval;
  std::cerr << "progress: "
            << std::chrono::duration_cast<std::chrono::seconds>(now - started_).count()
            << " s, open flows " << open_flows_ << ", asked " << counters_.asked << ", ended "
            << counters_.ended << " of "
            << (options_.kind == mode::open ? flows_.size() : options_.count) << ", content "
            << counters_.content_bytes << " bytes" << std::endl;
}

bool load_run::is_whole() const {
  if (options_.kind == mode::open) return open_flows_ == flows_.size();
  return counters_.answered == options_.count && counters_.wrong == 0;
}

void load_run::print(std::ostream& out) const {
  const auto seconds = std::chrono::duration<double>(ended_ - started_).count();
  std::uint64_t resent = 0;
  std::uint64_t malformed = 0;
  for (const auto& it : flows_) {
    resent += it.client.resent();
    malformed += it.client.malformed();
  }
  out << "service=" << options_.service << " mode=" << name_of(options_.kind)
      << " asked=" << counters_.asked << " answered=" << counters_.answered
      << " not_run=" << counters_.not_run << " unknown=" << counters_.unknown
      << " no_reply=" << counters_.no_reply << " wrong=" << counters_.wrong
      << " open_flows=" << open_flows_ << " not_opened=" << counters_.not_opened
      << " resent=" << resent << " malformed=" << malformed << " foreign=" << counters_.foreign
      << " repeated_ranges=" << counters_.repeated_ranges << " seconds=" << std::fixed
      << std::setprecision(2) << seconds << '\n';
  for (const auto& [reason, n] : reasons_)
    out << "reason: " << reason << ' ' << n << '\n';
  const auto total = bh::algorithm::sum(latency_);
  if (total <= 0) return;
  out << "latency in ms (up to, count, share of all up to there)\n";
  double sum = 0;
  for (auto&& bin : bh::indexed(latency_)) {
    if (*bin <= 0) continue;
    sum += *bin;
    out << std::setw(12) << bin.bin().upper() << std::setw(10) << static_cast<std::uint64_t>(*bin)
        << std::setw(8) << 100 * sum / total << "%\n";
  }
}

} // namespace zinnia::utilities
