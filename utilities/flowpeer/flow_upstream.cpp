#include "flow_upstream.h"

#include "common/http_call.h"
#include "flow_packet.h"
#include "platform/bodies.h"
#include "platform/operator_api.h"
#include "zinniarelay/core/time.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <thread>

namespace zinnia::flowpeer {
namespace {

constexpr milliseconds report_interval{500};
constexpr milliseconds report_timeout{1'000};
constexpr milliseconds poll_interval{2};
constexpr std::size_t part_size = 1'000; // bytes
constexpr std::uint32_t slots = 3;
constexpr std::uint32_t flow_sequence_step = 1U << 16U;
// All hosts apply a confirmed leave within this time.
constexpr std::uint64_t max_leave_propagation_ms = 3'000;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

// Writes and flushes the line in one call. A buffered line would be lost when this process is
// killed, and two threads or streams could interleave parts of their lines.
void write_line(const std::string& line) {
  const auto text = line + '\n';
  std::cout.write(text.data(), static_cast<std::streamsize>(text.size())).flush();
}

} // namespace

result<std::unique_ptr<flow_upstream>> flow_upstream::create(const upstream_options& options) {
  ZINNIA_TRY(socket, utilities::udp_socket::create(options.address));
  std::unique_ptr<flow_upstream> out(new flow_upstream(options, std::move(socket)));
  out->started_ms_ = unix_ms();
  out->last_flow_sequence_ =
      static_cast<std::uint32_t>(platform::id_number(options.id).value_or(0));
  return out;
}

void flow_upstream::run(const std::atomic<bool>& stop) {
  std::jthread reporter([this](const std::stop_token& stop_reports) { run_reports(stop_reports); });
  while (!stop) {
    serve_packets();
    std::this_thread::sleep_for(poll_interval);
  }
  is_draining_ = true;
  const auto drained = monotonic_now() + options_.drain_time;
  while (monotonic_now() < drained) {
    serve_packets();
    std::this_thread::sleep_for(poll_interval);
  }
  reporter.request_stop();
  reporter.join();
  send_leave();
  std::cout << "service=" << options_.service << " runs=" << executed_requests_ << std::endl;
}

// Runs on a separate thread, because a control host that doesn't reply would delay the packets.
void flow_upstream::run_reports(const std::stop_token& stop) {
  bool is_announced = false;
  while (!stop.stop_requested()) {
    const bool is_leaving = is_draining_;
    const bool is_accepted =
        send_report(is_leaving ? upstream_report::state::draining : upstream_report::state::ready);
    if (is_accepted && !is_announced) write_line("announced");
    is_announced = is_announced || is_accepted;
    if (is_accepted && is_leaving && leave_confirmed_ms_ == 0) leave_confirmed_ms_ = unix_ms();
    for (auto elapsed = milliseconds(0);
         elapsed < report_interval && !stop.stop_requested() && (is_leaving || !is_draining_);
         elapsed += poll_interval)
      std::this_thread::sleep_for(poll_interval);
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
    report_events(received->sender, *head);
    serve(*head, packet.substr(platform::head_size));
  }
}

// Returns true when the prefix names this upstream. A packet for a former upstream with the same
// address is not accepted.
bool flow_upstream::is_addressed(std::string_view packet) const {
  std::array<std::byte, platform::prefix_size> expected{};
  platform::write_prefix(expected, platform::id_number(options_.id).value_or(0));
  const auto prefix = std::as_bytes(std::span(packet)).first(platform::prefix_size);
  return std::equal(expected.begin(), expected.end(), prefix.begin());
}

// Writes one line for each new flow and for each violation. The checks of a run read these lines.
// Violations are a packet to an address of another service, and a packet that opens a flow after
// the confirmed leave has reached all hosts.
void flow_upstream::report_events(const endpoint& sender, const packet_head& head) {
  const auto now = unix_ms();
  const bool is_new = head.is_open && flows_.count(head.key()) == 0;
  if (is_new && options_.reports_opens)
    write_line("open at_ms=" + std::to_string(now) + " sender=" + sender.to_string());
  if (!options_.service_addresses.empty() &&
      std::find(options_.service_addresses.begin(), options_.service_addresses.end(),
                head.destination.address) == options_.service_addresses.end())
    write_line("foreign at_ms=" + std::to_string(now) + " sender=" + sender.to_string() +
               " to=" + head.destination.to_string());
  if (is_new && leave_confirmed_ms_ > 0 && now > leave_confirmed_ms_ + max_leave_propagation_ms)
    write_line("late_open at_ms=" + std::to_string(now) + " sender=" + sender.to_string());
}

void flow_upstream::serve(const packet_head& head, std::string_view data) {
  const auto key = head.key();
  if (head.is_open) {
    auto& flow = flows_[key];
    // The caller reuses the port of an earlier flow whose last packet has not arrived here.
    if (head.acknowledged == 0 && !flow.request.empty()) flow = {};
    // The sequence is assigned once for each flow. Several upstreams may answer the opening packet;
    // the sequence in the caller's next packet identifies the upstream that serves the flow.
    if (flow.sequence == 0) flow.sequence = last_flow_sequence_ += flow_sequence_step;
    packet_head reply;
    reply.is_open = reply.is_answer = true;
    reply.sequence = flow.sequence;
    reply.acknowledged = head.sequence + 1;
    return send(head, reply, {});
  }
  const auto found = flows_.find(key);
  if (found == flows_.end() || head.acknowledged != found->second.sequence) {
    packet_head reset;
    reset.is_reset = true;
    reset.sequence = upstream_reset_sequence;
    return send(head, reset, {});
  }
  if (head.is_end) {
    flows_.erase(found);
    return;
  }
  if (data.empty()) return;
  // A resent request is answered again, but executed only once.
  if (found->second.request.empty()) {
    ++executed_requests_;
    write_line("run " + std::string(data));
  }
  found->second.request = data;
  send_answer(head, found->second.request);
}

void flow_upstream::send_answer(const packet_head& head, const std::string& request) {
  const auto answer = expected_answer(request, options_.answer_bytes);
  for (std::size_t offset = 0; offset < answer.size(); offset += part_size) {
    packet_head part;
    part.is_answer = true;
    part.is_end = offset + part_size >= answer.size();
    part.sequence = static_cast<std::uint32_t>(offset);
    send(head, part, std::string_view(answer).substr(offset, part_size));
  }
}

void flow_upstream::send(const packet_head& received, packet_head head, std::string_view data) {
  head.source = received.destination;
  head.destination = received.source;
  head.route_tag = received.route_tag;
  socket_.send({received.source.address, options_.caller_port}, encode_packet(head, data));
}

bool flow_upstream::send_report(upstream_report::state condition) {
  return post(platform::report_path(options_.id), platform::encode_report(next_report(condition)));
}

bool flow_upstream::send_leave() {
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

bool flow_upstream::post(const std::string& path, const std::string& body) {
  for (std::size_t n = 0; n < options_.control_hosts.size(); ++n) {
    const auto& host = options_.control_hosts[control_index_];
    const auto response = utilities::http_call(host, "POST", path, body, report_timeout);
    if (response.has_value() && response.value().is_ok()) return true;
    // Continues with the next control host, which later reports use first.
    control_index_ = (control_index_ + 1) % options_.control_hosts.size();
    std::ostringstream cause;
    if (response.has_value())
      cause << host.to_string() << " replies with status " << response.value().status;
    else
      cause << response.error();
    write_line("report not accepted: " + cause.str());
  }
  return false;
}

} // namespace zinnia::flowpeer
