#pragma once

#include "zinniarelay/request/request_executor.h"

#include <glog/logging.h>
#include <string>
#include <utility>
#include <vector>

namespace zinnia::fakes {

/// Returns the effects of one type.
template <class Effect>
std::vector<Effect> effects_of(const request_effects& effects) {
  std::vector<Effect> matches;
  for (const auto& it : effects)
    if (const auto* effect = std::get_if<Effect>(&it)) matches.push_back(*effect);
  return matches;
}

inline std::vector<wire::answer_part> parts_of(const request_effects& effects) {
  std::vector<wire::answer_part> parts;
  for (const auto& it : effects_of<send_packet>(effects))
    if (it.packet.has_part()) parts.push_back(it.packet.part());
  return parts;
}

inline wire::request_outcome outcome_of(const request_effects& effects) {
  for (const auto& it : effects_of<send_packet>(effects))
    if (it.packet.has_outcome()) return it.packet.outcome();
  return {};
}

/// An executor of host 1, incarnation 100. Its sealer returns "sealed" and the record
/// epoch of the token.
struct executor_fixture {
  explicit executor_fixture(const request_settings& settings = {})
      : executor(request_executor::create(settings, host_id{1}, incarnation_id{100},
                                          [](const flow_token& token) {
                                            return "sealed" + std::to_string(token.record_epoch);
                                          })
                     .value()) {}

  flow_token token(std::uint64_t flow = 7) const {
    flow_token token;
    token.service = service_id{3};
    token.executing_host = host_id{1};
    token.executing_incarnation = incarnation_id{100};
    token.record_epoch = executor.record_epoch(now);
    token.flow = flow_id{flow};
    return token;
  }

  static wire::service_request request(std::uint64_t number = 1, std::uint32_t attempt = 1) {
    wire::service_request request;
    request.set_request_number(number);
    request.set_method("certify");
    request.set_attempt(attempt);
    request.set_deadline_ms(1'000);
    request.set_payload("lot 5");
    return request;
  }

  static service_policy policy(wire::method_kind kind) {
    return {service_id{3}, kind, milliseconds(5'000), 10};
  }

  request_effects send(const flow_token& token, const wire::service_request& request,
                       wire::method_kind kind, takeover_mode mode = takeover_mode::none) {
    return executor.on_request(now, token, request, policy(kind), route, mode);
  }

  request_effects send_new(wire::method_kind kind = wire::non_idempotent,
                           std::uint64_t number = 1) {
    return send(token(), request(number), kind);
  }

  request_effects finish(const attempt_key& key, dispatch_outcome outcome,
                         const std::string& payload = {}) {
    return executor.on_dispatch_result(now, key, {outcome, payload, {}});
  }

  bool start(const attempt_key& key) {
    return executor.on_dispatch_started(now, key) == start_permission::granted;
  }

  // Admits and starts request 1 of flow 7.
  void start_first_request() {
    send_new();
    CHECK(start({{flow_id{7}, 1}, 1}));
  }

  static bool is_pending(const request_effects& effects) {
    return outcome_of(effects).reason() == wire::reason_pending;
  }

  void advance_time(milliseconds duration) { now += duration; }

  // Ticks until every shard of the table has been processed.
  void expire_records() {
    for (std::size_t n = 0; n < request_table::shard_count; ++n)
      executor.on_tick(now);
  }

  time_point now{std::chrono::seconds(1'000)};
  reply_route route{{0x0A000001, 5000}, {0x0A000002, 80}, {}};
  request_executor executor;
};

} // namespace zinnia::fakes
