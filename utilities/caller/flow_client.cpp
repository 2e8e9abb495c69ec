#include "flow_client.h"

#include "common/generated_content.h"

namespace zinnia::utilities {
namespace {

constexpr milliseconds resend_interval{200};
// After its deadline a request is still sent again, to learn its outcome, for so long.
constexpr milliseconds outcome_wait{10'000};
// Position of the flow in a sealed token (libraries/token/key_ring.cpp).
constexpr std::size_t flow_position = 28;
constexpr std::size_t sealed_token_bytes = 52;
constexpr std::uint32_t largest_answer = 64 * 1024 * 1024; // bytes

std::uint64_t flow_of(const std::string& token) {
  std::uint64_t flow = 0;
  if (token.size() != sealed_token_bytes) return flow;
  for (std::size_t n = 0; n < sizeof flow; ++n)
    flow |= std::uint64_t{static_cast<std::uint8_t>(token[flow_position + n])} << (8 * n);
  return flow;
}

} // namespace

flow_client::flow_client(std::string service, std::uint64_t nonce)
    : service_(std::move(service)), nonce_(nonce) {}

void flow_client::open(time_point now) {
  send_open(now);
}

std::uint64_t flow_client::submit(time_point now, request_spec spec) {
  const auto number = next_number_++;
  auto& it = pending_[number];
  it.deadline = now + spec.deadline;
  it.next_send = now;
  it.spec = std::move(spec);
  if (is_open()) send_request(now, number, it);
  return number;
}

void flow_client::receive(time_point now, const wire::caller_packet& packet) {
  switch (packet.body_case()) {
  case wire::caller_packet::kOpened:
    take_opened(now, packet.opened());
    break;
  case wire::caller_packet::kPart:
    take_part(now, packet.part());
    break;
  case wire::caller_packet::kOutcome:
    if (pending_.count(packet.outcome().request_number()) > 0 &&
        packet.outcome().reason() != wire::reason_pending)
      end(packet.outcome().request_number(),
          packet.outcome().kind() == wire::outcome_not_run ? request_end::outcome::not_run
                                                           : request_end::outcome::unknown,
          packet.outcome().reason());
    break;
  case wire::caller_packet::kRefused:
    take_refusal(packet.refused());
    break;
  default:
    ++malformed_;
  }
}

void flow_client::take_refusal(const wire::refusal& refused) {
  refused_ = refused.cause();
  // Another host may know the service already, so a refused open is sent again.
  if (refused.nonce() != 0 || pending_.count(refused.request_number()) == 0) return;
  end(refused.request_number(), request_end::outcome::unknown, wire::reason_unset);
}

void flow_client::take_opened(time_point now, const wire::open_reply& reply) {
  if (is_open()) return;
  token_ = reply.token();
  flow_ = flow_of(token_);
  next_open_.reset();
  for (auto& [number, it] : pending_)
    send_request(now, number, it);
}

void flow_client::take_part(time_point now, const wire::answer_part& part) {
  const auto found = pending_.find(part.request_number());
  if (found == pending_.end()) {
    // A repeated part of an answer that is complete; the acknowledgement was lost.
    wire::caller_packet packet;
    packet.mutable_ack()->set_token(token_);
    packet.mutable_ack()->set_request_number(part.request_number());
    queue(packet);
    return;
  }
  auto& it = found->second;
  if (part.total_length() > largest_answer ||
      part.offset() + part.data().size() > part.total_length()) {
    ++malformed_;
    return;
  }
  if (it.digest != part.digest()) {
    it.digest = part.digest();
    it.data.assign(part.total_length(), '\0');
    it.received.clear();
  }
  it.data.replace(part.offset(), part.data().size(), part.data());
  auto& end_of = it.received[part.offset()];
  end_of = std::max<std::uint32_t>(end_of, part.offset() + part.data().size());
  if (!part.renewed_token().empty()) token_ = part.renewed_token();
  if (part.has_content()) it.content = part.content();
  it.next_send = now + resend_interval;
  if (lowest_missing(it) < it.data.size()) return;

  if (digest_of(it.data) != it.digest) {
    ++malformed_;
    it.digest.clear();
    return;
  }
  wire::caller_packet packet;
  packet.mutable_ack()->set_token(token_);
  packet.mutable_ack()->set_request_number(part.request_number());
  queue(packet);
  end(part.request_number(), request_end::outcome::answered, wire::reason_unset);
}

std::uint32_t flow_client::lowest_missing(const pending_request& it) {
  std::uint32_t reached = 0;
  for (const auto& [from, to] : it.received) {
    if (from > reached) break;
    reached = std::max(reached, to);
  }
  return reached;
}

void flow_client::tick(time_point now) {
  if (next_open_ && *next_open_ <= now) send_open(now);
  std::vector<std::uint64_t> overdue;
  for (auto& [number, it] : pending_) {
    if (now > it.deadline + outcome_wait)
      overdue.push_back(number);
    else if (is_open() && it.next_send <= now)
      send_request(now, number, it);
  }
  for (const auto number : overdue)
    end(number, request_end::outcome::no_reply, wire::reason_unset);
}

void flow_client::send_open(time_point now) {
  wire::caller_packet packet;
  packet.mutable_open()->set_service(service_);
  packet.mutable_open()->set_nonce(nonce_);
  queue(packet);
  next_open_ = now + resend_interval;
}

void flow_client::send_request(time_point now, std::uint64_t number, pending_request& it) {
  wire::caller_packet packet;
  auto& out = *packet.mutable_request();
  out.set_token(token_);
  out.set_request_number(number);
  out.set_method(it.spec.method);
  out.set_attempt(++it.attempt);
  const auto left = std::chrono::duration_cast<milliseconds>(it.deadline - now).count();
  out.set_deadline_ms(left > 0 ? static_cast<std::uint32_t>(left) : 0);
  out.set_payload(it.spec.payload);
  if (it.spec.range) *out.mutable_range() = *it.spec.range;
  if (!it.digest.empty()) {
    out.set_resume_offset(lowest_missing(it));
    out.set_answer_digest(it.digest);
  }
  queue(packet);
  if (it.attempt > 1) ++resent_;
  it.next_send = now + resend_interval;
}

void flow_client::end(std::uint64_t number, request_end::outcome kind,
                      wire::outcome_reason reason) {
  const auto found = pending_.find(number);
  request_end it;
  it.number = number;
  it.flow = flow_;
  it.kind = kind;
  it.reason = reason;
  if (kind == request_end::outcome::answered) it.payload = std::move(found->second.data);
  it.content = std::move(found->second.content);
  pending_.erase(found);
  ends_.push_back(std::move(it));
}

void flow_client::queue(const wire::caller_packet& packet) {
  packets_.push_back(packet.SerializeAsString());
}

std::vector<std::string> flow_client::take_packets() {
  return std::exchange(packets_, {});
}

std::vector<request_end> flow_client::take_ends() {
  return std::exchange(ends_, {});
}

} // namespace zinnia::utilities
