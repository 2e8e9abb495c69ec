#include "flow_caller.h"

#include "flow_packet.h"

#include <iostream>
#include <thread>

namespace zinnia::flowpeer {
namespace {

constexpr milliseconds first_resend_delay{200};  // of the opening packet
constexpr milliseconds second_resend_delay{400}; // after the first resend
constexpr milliseconds open_timeout{1'400};
constexpr milliseconds request_resend_interval{200};
constexpr milliseconds flow_timeout{5'000};
constexpr milliseconds poll_interval{2};
constexpr std::uint16_t first_port = 1'024;

} // namespace

result<flow_caller> flow_caller::create(const caller_options& options, random_engine engine) {
  ZINNIA_TRY(socket, utilities::udp_socket::create(options.address));
  return flow_caller(options, std::move(socket), engine);
}

caller_summary flow_caller::run(const std::atomic<bool>& stop) {
  std::uint32_t started = 0;
  while ((started < options_.flows && !stop) || !flows_.empty()) {
    while (started < options_.flows && !stop && flows_.size() < options_.max_open_flows)
      start(static_cast<std::uint16_t>(first_port + started++));
    receive();
    const auto now = monotonic_now();
    for (auto it = flows_.begin(); it != flows_.end();) {
      auto& flow = it->second;
      const auto timeout = flow.is_open ? flow_timeout : open_timeout;
      if (now - flow.started > timeout) {
        ++summary_.unanswered;
        it = flows_.erase(it);
        continue;
      }
      if (now >= flow.next_send) resend(it->first, flow);
      ++it;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return summary_;
}

void flow_caller::start(std::uint16_t port) {
  auto& flow = flows_[port];
  flow.request =
      "request " + endpoint{options_.address.address, port}.to_string() + ' ' + options_.run;
  flow.started = monotonic_now();
  flow.next_send = flow.started + first_resend_delay;
  packet_head head;
  head.is_open = true;
  send(port, flow, head, {});
}

void flow_caller::resend(std::uint16_t port, open_flow& flow) {
  packet_head head;
  if (flow.is_open) {
    head.is_answer = true;
    head.acknowledged = flow.acknowledged;
    flow.next_send = monotonic_now() + request_resend_interval;
    return send(port, flow, head, flow.request);
  }
  head.is_open = true;
  head.acknowledged = ++flow.open_resends;
  flow.next_send =
      flow.open_resends == 1 ? monotonic_now() + second_resend_delay : flow.started + open_timeout;
  send(port, flow, head, {});
}

void flow_caller::receive() {
  while (const auto received = socket_.receive()) {
    const auto head = platform::decode_head(std::as_bytes(std::span(received->payload)));
    if (!head) continue;
    const auto it = flows_.find(head->destination.port);
    if (it == flows_.end()) continue;
    if (handle(it->first, it->second, *head, received->payload.substr(platform::head_size)))
      flows_.erase(it);
  }
}

bool flow_caller::handle(std::uint16_t port, open_flow& flow, const packet_head& head,
                         std::string_view data) {
  if (head.is_reset) return record_reset(port, flow, head);
  flow.route_tag = head.route_tag;
  if (head.is_open) {
    if (!flow.is_open) flow.acknowledged = head.sequence;
    flow.is_open = true;
    resend(port, flow);
    return false;
  }
  flow.parts[head.sequence] = data;
  flow.has_last_part = flow.has_last_part || head.is_end;
  return flow.has_last_part && finish(port, flow);
}

bool flow_caller::record_reset(std::uint16_t port, const open_flow& flow, const packet_head& head) {
  const bool is_from_upstream = head.sequence == upstream_reset_sequence;
  auto& count = is_from_upstream ? summary_.reset
                : flow.is_open   ? summary_.broken
                                 : summary_.refused;
  ++count;
  if (!is_from_upstream && flow.is_open)
    std::cout << "broken port=" << port << " tag=" << flow.route_tag << std::endl;
  return true;
}

bool flow_caller::finish(std::uint16_t port, open_flow& flow) {
  std::string answer;
  for (const auto& [offset, part] : flow.parts) {
    if (offset != answer.size()) return false; // a part is missing
    answer += part;
  }
  if (answer.size() < options_.answer_bytes) return false;
  if (answer == expected_answer(flow.request, options_.answer_bytes))
    ++summary_.answered;
  else
    ++summary_.damaged;
  packet_head end;
  end.is_end = end.is_answer = true;
  end.acknowledged = flow.acknowledged;
  send(port, flow, end, {});
  return true;
}

void flow_caller::send(std::uint16_t port, const open_flow& flow, packet_head head,
                       std::string_view data) {
  head.source = {options_.address.address, port};
  head.destination = options_.service;
  head.route_tag = flow.route_tag;
  std::uniform_int_distribution<std::size_t> random_index(0, options_.entry_hosts.size() - 1);
  socket_.send(options_.entry_hosts[random_index(engine_)], encode_packet(head, data));
}

} // namespace zinnia::flowpeer
