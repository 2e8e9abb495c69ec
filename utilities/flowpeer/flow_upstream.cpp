#include "flow_upstream.h"

#include "common/http_call.h"
#include "flow_packet.h"
#include "platform/bodies.h"
#include "platform/operator_api.h"
#include "zinniarelay/core/time.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <thread>

namespace zinnia::flowpeer {
namespace {

constexpr milliseconds report_interval{500};
constexpr milliseconds report_timeout{1'000};
constexpr milliseconds turn{2};
constexpr std::size_t part_bytes = 1'000;
constexpr std::uint32_t slots = 3;
constexpr std::uint32_t flow_sequence_step = 1U << 16U;
// A leave that was confirmed holds on all hosts after this.
constexpr std::uint64_t longest_drain_ms = 3'000;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

// One write: a line that waits in a buffer is lost when this process is killed, and parts
// of lines of two threads would mix.
void write_line(const std::string& line) {
  const auto text = line + '\n';
  std::cout.write(text.data(), static_cast<std::streamsize>(text.size())).flush();
}

} // namespace

result<std::unique_ptr<flow_upstream>> flow_upstream::create(const upstream_options& options) {
  ZINNIA_TRY(socket, utilities::udp_socket::create(options.address));
  std::unique_ptr<flow_upstream> out(new flow_upstream(options, std::move(socket)));
  out->started_ms_ = unix_ms();
  out->next_flow_ = static_cast<std::uint32_t>(platform::id_number(options.id).value_or(0));
  return out;
}

void flow_upstream::run(const std::atomic<bool>& stop) {
  std::jthread reporter([this](const std::stop_token& end) { keep_reporting(end); });
  while (!stop) {
    serve_packets();
    std::this_thread::sleep_for(turn);
  }
  is_draining_ = true;
  const auto drained = monotonic_now() + options_.drain_time;
  while (monotonic_now() < drained) {
    serve_packets();
    std::this_thread::sleep_for(turn);
  }
  reporter.request_stop();
  reporter.join();
  leave();
  std::cout << "service=" << options_.service << " runs=" << runs_ << std::endl;
}

// On a thread of its own, because a control host that does not answer would hold up the
// packets.
void flow_upstream::keep_reporting(const std::stop_token& end) {
  bool is_announced = false;
  while (!end.stop_requested()) {
    const bool is_leaving = is_draining_;
    const bool is_taken =
        report(is_leaving ? upstream_report::state::draining : upstream_report::state::ready);
    if (is_taken && !is_announced) write_line("announced");
    is_announced = is_announced || is_taken;
    if (is_taken && is_leaving && leave_confirmed_ms_ == 0) leave_confirmed_ms_ = unix_ms();
    for (auto waited = milliseconds(0);
         waited < report_interval && !end.stop_requested() && (is_leaving || !is_draining_);
         waited += turn)
      std::this_thread::sleep_for(turn);
  }
}

void flow_upstream::serve_packets() {
  while (const auto received = socket_.receive()) {
    auto packet = received->payload;
    if (packet.size() < platform::prefix_size + platform::head_size) continue;
    if (!is_addressed(packet)) continue;
    packet.remove_prefix(platform::prefix_size);
    const auto head = platform::decode_head(std::as_bytes(std::span(packet)));
    if (!head) continue;
    note_violations(received->sender, *head);
    serve(*head, packet.substr(platform::head_size));
  }
}

// The packet names the upstream that it is for; a former one may have had this address.
bool flow_upstream::is_addressed(std::string_view packet) const {
  std::array<std::byte, platform::prefix_size> own{};
  platform::write_prefix(own, platform::id_number(options_.id).value_or(0));
  const auto prefix = std::as_bytes(std::span(packet)).first(platform::prefix_size);
  return std::equal(own.begin(), own.end(), prefix.begin());
}

// What must not happen, as one line each for whoever judges the run.
void flow_upstream::note_violations(const endpoint& sender, const packet_head& head) {
  const auto now = unix_ms();
  if (!options_.service_addresses.empty() &&
      std::find(options_.service_addresses.begin(), options_.service_addresses.end(),
                head.destination.address) == options_.service_addresses.end())
    write_line("foreign at_ms=" + std::to_string(now) + " sender=" + sender.to_string() +
               " to=" + head.destination.to_string());
  if (head.is_open && leave_confirmed_ms_ > 0 && now > leave_confirmed_ms_ + longest_drain_ms &&
      flows_.count(head.key()) == 0)
    write_line("late_open at_ms=" + std::to_string(now) + " sender=" + sender.to_string());
}

void flow_upstream::serve(const packet_head& head, std::string_view data) {
  const auto key = head.key();
  if (head.is_open) {
    auto& flow = flows_[key];
    // The caller uses a port again whose last packet has not arrived here.
    if (head.acknowledged == 0 && !flow.request.empty()) flow = {};
    // Drawn once, so that the caller's next packet tells which of several upstreams that
    // answered a flow opened it.
    if (flow.sequence == 0) flow.sequence = next_flow_ += flow_sequence_step;
    packet_head reply;
    reply.is_open = reply.is_answer = true;
    reply.sequence = flow.sequence;
    reply.acknowledged = head.sequence + 1;
    return send(head, reply, {});
  }
  const auto known = flows_.find(key);
  if (known == flows_.end() || head.acknowledged != known->second.sequence) {
    packet_head reset;
    reset.is_reset = true;
    reset.sequence = upstream_reset_mark;
    return send(head, reset, {});
  }
  if (head.is_end) {
    flows_.erase(known);
    return;
  }
  if (data.empty()) return;
  // A repeated request is answered again, and run once.
  if (known->second.request.empty()) {
    ++runs_;
    write_line("run " + std::string(data));
  }
  known->second.request = data;
  send_answer(head, known->second.request);
}

void flow_upstream::send_answer(const packet_head& head, const std::string& request) {
  const auto answer = answer_of(request, options_.answer_bytes);
  for (std::size_t at = 0; at < answer.size(); at += part_bytes) {
    packet_head part;
    part.is_answer = true;
    part.is_end = at + part_bytes >= answer.size();
    part.sequence = static_cast<std::uint32_t>(at);
    send(head, part, std::string_view(answer).substr(at, part_bytes));
  }
}

void flow_upstream::send(const packet_head& to, packet_head head, std::string_view data) {
  head.source = to.destination;
  head.destination = to.source;
  head.route_tag = to.route_tag;
  socket_.send({to.source.address, options_.caller_port}, encode_packet(head, data));
}

bool flow_upstream::report(upstream_report::state condition) {
  return post(platform::report_path(options_.id), platform::encode_report(next_report(condition)));
}

bool flow_upstream::leave() {
  return post(platform::leave_path(options_.id),
              platform::encode_leave(next_report(upstream_report::state::gone)));
}

upstream_report flow_upstream::next_report(upstream_report::state condition) {
  upstream_report out;
  out.id = options_.id;
  out.started_ms = started_ms_;
  out.sequence = ++sequence_;
  out.service = options_.service;
  out.address = options_.address;
  out.zone = options_.zone;
  out.slots = slots;
  out.condition = condition;
  return out;
}

// A control host that does not answer is left for the next one.
bool flow_upstream::post(const std::string& path, const std::string& body) {
  for (std::size_t n = 0; n < options_.controls.size(); ++n) {
    const auto& to = options_.controls[control_];
    const auto answer = utilities::http_call(to, "POST", path, body, report_timeout);
    if (answer.has_value() && answer.value().is_ok()) return true;
    control_ = (control_ + 1) % options_.controls.size();
    if (answer.has_value())
      std::cerr << "report not taken: " << to.to_string() << " answers " << answer.value().status
                << std::endl;
    else
      std::cerr << "report not taken: " << answer.error() << std::endl;
  }
  return false;
}

} // namespace zinnia::flowpeer
