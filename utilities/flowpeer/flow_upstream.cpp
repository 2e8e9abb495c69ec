#include "flow_upstream.h"

#include "flow_packet.h"
#include "platform/bodies.h"
#include "platform/operator_api.h"
#include "zinniarelay/core/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <iostream>
#include <thread>

namespace zinnia::flowpeer {
namespace {

constexpr milliseconds report_interval{500};
constexpr milliseconds turn{2};
constexpr milliseconds drain_time{3'000};
constexpr std::size_t part_bytes = 1'000;
constexpr std::uint32_t slots = 3;

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

result<flow_upstream> flow_upstream::create(const upstream_options& options) {
  ZINNIA_TRY(socket, utilities::udp_socket::create(options.address));
  flow_upstream out(options, std::move(socket));
  out.started_ms_ = unix_ms();
  return out;
}

void flow_upstream::run(const std::atomic<bool>& stop) {
  auto next_report = monotonic_now();
  std::optional<time_point> drained;
  while (!drained || monotonic_now() < *drained) {
    serve_packets();
    if (stop && !drained) drained = monotonic_now() + drain_time;
    if (monotonic_now() >= next_report) {
      const bool is_taken =
          report(drained ? upstream_report::state::draining : upstream_report::state::ready);
      if (is_taken && sequence_ == 1) std::cout << "announced" << std::endl;
      next_report = monotonic_now() + report_interval;
    }
    std::this_thread::sleep_for(turn);
  }
  leave();
  std::cout << "service=" << options_.service << " runs=" << runs_ << std::endl;
}

void flow_upstream::serve_packets() {
  while (const auto received = socket_.receive()) {
    auto packet = received->payload;
    if (packet.size() < platform::prefix_size + platform::head_size) continue;
    packet.remove_prefix(platform::prefix_size);
    const auto head = platform::decode_head(std::as_bytes(std::span(packet)));
    if (head) serve(*head, packet.substr(platform::head_size));
  }
}

void flow_upstream::serve(const packet_head& head, std::string_view data) {
  const auto key = head.key();
  if (head.is_open) {
    flows_.try_emplace(key);
    packet_head reply;
    reply.is_open = reply.is_answer = true;
    reply.acknowledged = head.sequence + 1;
    return send(head, reply, {});
  }
  const auto known = flows_.find(key);
  if (known == flows_.end()) {
    packet_head reset;
    reset.is_reset = true;
    return send(head, reset, {});
  }
  if (head.is_end) {
    flows_.erase(known);
    return;
  }
  if (data.empty()) return;
  // A repeated request is answered again, and run once.
  if (known->second.request.empty()) ++runs_;
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

bool flow_upstream::post(const std::string& path, const std::string& body) {
  try {
    const endpoint host{options_.control.address, 0};
    const auto text = host.to_string();
    Poco::Net::HTTPClientSession session(text.substr(0, text.find(':')), options_.control.port);
    session.setTimeout(Poco::Timespan(1, 0));
    Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
  } catch (const Poco::Exception& ex) {
    std::cerr << "report not taken: " << ex.displayText() << std::endl;
    return false;
  }
}

} // namespace zinnia::flowpeer
