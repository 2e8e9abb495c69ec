#include "zinniarelay/caller/caller_session.h"

#include "zinniarelay/request/answer_parts.h"
#include "zinniarelay/request/content_digest.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace zinnia;

constexpr call_id call{41};

// A session with a simulated peer: the test passes the peer's packets to the session. Collects
// the packets sent and the calls ended by every step.
struct session_fixture {
  explicit session_fixture(const caller_settings& settings = basic_settings())
      : session(caller_session::create(settings, 1).value()) {}

  static caller_settings basic_settings() {
    caller_settings settings;
    settings.service = "registry";
    return settings;
  }

  void step(const caller_event& event) {
    for (auto& it : session.step(now, event)) {
      if (auto* send = std::get_if<packet_to_send>(&it))
        sent.push_back(std::move(send->packet));
      else
        ended.push_back(std::move(std::get<call_ended>(it)));
    }
  }

  void submit(wire::method_kind kind, milliseconds deadline = milliseconds(5'000),
              call_id id = call) {
    step(call_submitted{id, kind, "certify", "lot 5", now + deadline});
  }

  void download(milliseconds deadline = milliseconds(20'000)) {
    step(download_submitted{call, "catalogue", "", now + deadline});
  }

  void advance_time(milliseconds duration) {
    now += duration;
    step(timer_fired{});
  }

  // Clears the sent packets, then advances to each wakeup until a packet of this kind is sent.
  // Returns false when the session has no further wakeup.
  bool wait_for(wire::caller_packet::BodyCase body) {
    sent.clear();
    while (const auto due = session.next_wakeup()) {
      now = std::max(now, *due);
      step(timer_fired{});
      if (last(body) != nullptr) return true;
    }
    return false;
  }

  const wire::caller_packet* last(wire::caller_packet::BodyCase body) const {
    const auto it = std::find_if(sent.rbegin(), sent.rend(),
                                 [&](const auto& packet) { return packet.body_case() == body; });
    return it == sent.rend() ? nullptr : &*it;
  }

  const wire::service_request& last_request() const {
    return last(wire::caller_packet::kRequest)->request();
  }

  std::size_t requests() const {
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [](const auto& packet) { return packet.has_request(); }));
  }

  void receive_opened(std::uint64_t flow = 7, std::uint32_t valid_ms = 50'000) {
    packet_received received;
    auto& reply = *received.packet.mutable_opened();
    reply.set_nonce(last(wire::caller_packet::kOpen)->open().nonce());
    reply.set_token("token of flow " + std::to_string(flow));
    reply.set_flow(flow);
    reply.set_valid_ms(valid_ms);
    step(received);
  }

  void receive_outcome(wire::outcome_kind kind, wire::outcome_reason reason, std::uint64_t number,
                       std::uint64_t flow = 7) {
    packet_received received;
    auto& outcome = *received.packet.mutable_outcome();
    outcome.set_flow(flow);
    outcome.set_request_number(number);
    outcome.set_kind(kind);
    outcome.set_reason(reason);
    step(received);
  }

  void receive_answer(const std::string& text, std::uint64_t number, std::uint64_t flow = 7,
                      const wire::content_info* content = nullptr) {
    for (auto& part : split_answer({flow_id{flow}, number}, text, content_digest(text), 0, 100)) {
      if (content != nullptr && part.offset() == 0) *part.mutable_content() = *content;
      if (part.offset() == 0) {
        part.set_renewed_token("token of flow " + std::to_string(flow));
        part.set_valid_ms(50'000);
      }
      packet_received received;
      *received.packet.mutable_part() = std::move(part);
      step(received);
    }
  }

  time_point now{std::chrono::seconds(1'000)};
  caller_session session;
  std::vector<wire::caller_packet> sent;
  std::vector<call_ended> ended;
};

wire::content_info info_of(const std::string& version, const std::string& content) {
  wire::content_info info;
  info.set_version(version);
  info.set_total_length(content.size());
  info.set_digest(content_digest(content));
  return info;
}

// Answers all requested ranges from one version of a content.
void answer_ranges(session_fixture& caller, const std::string& version,
                   const std::string& content) {
  const auto packets = std::move(caller.sent);
  caller.sent.clear();
  const auto info = info_of(version, content);
  for (const auto& it : packets) {
    if (!it.has_request()) continue;
    const auto& range = it.request().range();
    if (!range.content_version().empty() && range.content_version() != version)
      caller.receive_outcome(wire::outcome_not_run, wire::reason_content_changed,
                             it.request().request_number());
    else
      caller.receive_answer(content.substr(range.offset(), range.length()),
                            it.request().request_number(), 7, &info);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_session_test)

// Guards against a call that ends because a single packet was lost.
BOOST_AUTO_TEST_CASE(lost_packets_are_resent) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  const auto nonce = caller.last(wire::caller_packet::kOpen)->open().nonce();
  BOOST_TEST(caller.wait_for(wire::caller_packet::kOpen));
  BOOST_TEST(caller.last(wire::caller_packet::kOpen)->open().nonce() == nonce);
  caller.receive_opened();
  BOOST_TEST(caller.last_request().attempt() == 1U);
  BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  BOOST_TEST(caller.last_request().attempt() == 2U);
  BOOST_TEST(caller.last_request().request_number() == 1U);
  BOOST_TEST(caller.last_request().token() == "token of flow 7");
  caller.receive_answer("billed", 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].answer == "billed");
  BOOST_TEST(caller.last(wire::caller_packet::kAck)->ack().request_number() == 1U);
  // The host resends the answer because the acknowledgement was lost.
  caller.sent.clear();
  caller.receive_answer("billed", 1);
  BOOST_TEST((caller.last(wire::caller_packet::kAck) != nullptr));
  BOOST_TEST(caller.ended.size() == 1U);
}

// Guards against resend delays that grow without limit, and against synchronized resends
// of several callers (R8).
BOOST_AUTO_TEST_CASE(resend_backoff_is_limited) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(20'000));
  caller.receive_opened();
  std::vector<milliseconds> gaps;
  for (int n = 0; n < 8; ++n) {
    const auto before = caller.now;
    BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
    gaps.push_back(std::chrono::duration_cast<milliseconds>(caller.now - before));
  }
  BOOST_TEST(gaps.front().count() >= 75);
  BOOST_TEST(gaps.front().count() <= 125);
  for (const auto& it : gaps)
    BOOST_TEST(it.count() <= 1'250);
  BOOST_TEST(gaps.back().count() >= 750);
}

// Guards against ending a call with a packet of another request or flow (P3).
BOOST_AUTO_TEST_CASE(packets_of_other_requests_and_flows_are_ignored) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.receive_opened();
  caller.receive_answer("theirs", 1, 8);
  caller.receive_answer("theirs", 2, 7);
  caller.receive_outcome(wire::outcome_not_run, wire::reason_overloaded, 1, 8);
  packet_received stale;
  stale.packet.mutable_opened()->set_nonce(12345);
  stale.packet.mutable_opened()->set_token("other");
  caller.step(stale);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.session.counters().ignored_parts == 2U);
  BOOST_TEST(caller.session.counters().ignored_outcomes == 1U);
  BOOST_TEST(caller.session.counters().ignored_opens == 1U);
  caller.receive_answer("mine", 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].answer == "mine");
}

// Guards against confusing the answers of two calls that share a flow.
BOOST_AUTO_TEST_CASE(several_calls_share_a_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{1});
  caller.submit(wire::idempotent, milliseconds(5'000), call_id{2});
  caller.receive_opened();
  caller.receive_answer("second", 2);
  caller.receive_answer("first", 1);
  BOOST_REQUIRE(caller.ended.size() == 2U);
  BOOST_TEST((caller.ended[0].id == call_id{2}));
  BOOST_TEST(caller.ended[0].answer == "second");
  BOOST_TEST(caller.ended[1].answer == "first");
  BOOST_TEST(caller.session.counters().opens == 1U);
}

// Guards against issuing a non-idempotent request again after it may have run (P5).
BOOST_AUTO_TEST_CASE(non_idempotent_call_ends_after_unknown) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.receive_opened();
  caller.receive_outcome(wire::outcome_unknown, wire::reason_other_incarnation, 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
  BOOST_TEST((!caller.session.next_wakeup()));
}

// Guards against calls that fail because their executing host is draining before a planned
// stop (P7).
BOOST_AUTO_TEST_CASE(call_refused_by_a_draining_host_uses_a_new_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.receive_opened();
  caller.receive_outcome(wire::outcome_not_run, wire::reason_draining, 1);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.wait_for(wire::caller_packet::kOpen));
  caller.receive_opened(8);
  BOOST_TEST(caller.last_request().token() == "token of flow 8");
  caller.receive_answer("billed", 1, 8);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_answered);
}

// Guards against retries by the caller that increase the load of an overloaded service.
BOOST_AUTO_TEST_CASE(overload_ends_the_call_without_a_retry) {
  session_fixture caller;
  caller.submit(wire::idempotent);
  caller.receive_opened();
  caller.receive_outcome(wire::outcome_not_run, wire::reason_overloaded, 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
  BOOST_TEST(caller.ended[0].reason == wire::reason_overloaded);
}

// Guards against the outcome not_run for a request that was sent before its deadline, and
// unknown for one that was never sent (P4).
BOOST_AUTO_TEST_CASE(expired_call_is_unknown_only_if_sent) {
  session_fixture unsent;
  unsent.submit(wire::non_idempotent, milliseconds(1'000));
  unsent.advance_time(milliseconds(1'000));
  BOOST_REQUIRE(unsent.ended.size() == 1U);
  BOOST_TEST(unsent.ended[0].kind == wire::outcome_not_run);
  session_fixture sent;
  sent.submit(wire::non_idempotent, milliseconds(1'000));
  sent.receive_opened();
  sent.advance_time(milliseconds(1'000));
  BOOST_REQUIRE(sent.ended.size() == 1U);
  BOOST_TEST(sent.ended[0].kind == wire::outcome_unknown);
  // An answer after the deadline is ignored.
  sent.receive_answer("billed", 1);
  BOOST_TEST(sent.ended.size() == 1U);
}

// Guards against new requests with a token that is about to expire (R8).
BOOST_AUTO_TEST_CASE(new_flow_is_opened_before_the_token_expires) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.receive_opened(7, 50'000);
  caller.advance_time(milliseconds(44'000));
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{2});
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) == nullptr));
  BOOST_TEST(caller.last_request().request_number() == 2U);
  caller.advance_time(milliseconds(1'500));
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{3});
  BOOST_REQUIRE((caller.last(wire::caller_packet::kOpen) != nullptr));
  caller.receive_opened(8);
  // Requests in progress keep their token and number.
  caller.sent.clear();
  caller.advance_time(milliseconds(2'000));
  std::multiset<std::string> resent;
  for (const auto& it : caller.sent)
    resent.insert(it.request().token() + " number " +
                  std::to_string(it.request().request_number()));
  const std::multiset<std::string> expected = {
      "token of flow 7 number 1", "token of flow 7 number 2", "token of flow 8 number 1"};
  BOOST_TEST(resent == expected, boost::test_tools::per_element());
}

// Guards against computing the validity of a renewed token from the arrival of a delayed
// answer.
BOOST_AUTO_TEST_CASE(renewed_token_validity_starts_at_the_first_transmission) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.receive_opened(7, 10'000);
  caller.advance_time(milliseconds(30'000));
  packet_received late;
  auto& part = *late.packet.mutable_part();
  part = split_answer({flow_id{7}, 1}, "billed", content_digest("billed"), 0, 1)[0];
  part.set_renewed_token("renewed");
  part.set_valid_ms(34'000);
  caller.step(late);
  caller.sent.clear();
  // The token may have been sealed up to 30 s ago, so it is valid for only 4 s.
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST(caller.requests() == 0U);
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against sending new requests to an unresponsive host.
BOOST_AUTO_TEST_CASE(unresponsive_host_gets_no_new_requests) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.receive_opened();
  while (caller.last_request().attempt() <= 3)
    caller.wait_for(wire::caller_packet::kRequest);
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against ending a call as unknown because other hosts wrongly consider its frozen
// executing host dead.
BOOST_AUTO_TEST_CASE(lost_host_reports_end_a_call_only_after_the_grace_period) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000));
  caller.receive_opened();
  const auto report = [&] {
    caller.receive_outcome(wire::outcome_unknown, wire::reason_executing_host_lost, 1);
  };
  report();
  caller.advance_time(milliseconds(1'999));
  report();
  BOOST_TEST(caller.ended.empty());
  // A packet from the executing host invalidates the earlier reports.
  caller.receive_outcome(wire::outcome_unset, wire::reason_pending, 1);
  caller.advance_time(milliseconds(1'000));
  report();
  BOOST_TEST(caller.ended.empty());
  caller.advance_time(milliseconds(2'000));
  report();
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
}

// Guards against a takeover of a request that a live host is still running. A high attempt
// number causes a takeover (R11).
BOOST_AUTO_TEST_CASE(pending_outcome_resets_the_attempt_number) {
  session_fixture caller;
  caller.submit(wire::idempotent, milliseconds(10'000));
  caller.receive_opened();
  for (int n = 0; n < 6; ++n) {
    BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
    BOOST_TEST(caller.last_request().attempt() == 2U);
    caller.receive_outcome(wire::outcome_unset, wire::reason_pending, 1);
  }
}

// Guards against ending a request that was refused by one host while the executing host
// may run it.
BOOST_AUTO_TEST_CASE(refused_packet_does_not_end_the_request) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.receive_opened();
  packet_received refused;
  refused.packet.mutable_refused()->set_cause(wire::refusal_unknown_key);
  refused.packet.mutable_refused()->set_flow(7);
  refused.packet.mutable_refused()->set_request_number(1);
  caller.step(refused);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  BOOST_TEST(caller.last_request().token() == "token of flow 7");
  caller.receive_answer("billed", 1);
  BOOST_TEST(caller.ended.size() == 1U);
}

// Guards against resending opens without end for a service that does not exist.
BOOST_AUTO_TEST_CASE(repeated_unknown_service_refusals_end_the_call) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  packet_received refused;
  refused.packet.mutable_refused()->set_cause(wire::refusal_unknown_service);
  refused.packet.mutable_refused()->set_nonce(
      caller.last(wire::caller_packet::kOpen)->open().nonce());
  // A single host may not have the current configuration yet.
  for (int n = 0; n < 3; ++n) {
    BOOST_TEST(caller.ended.empty());
    caller.step(refused);
  }
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
}

// Guards against new requests to a draining host (R12).
BOOST_AUTO_TEST_CASE(answer_without_a_renewed_token_ends_the_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{1});
  caller.receive_opened();
  packet_received answer;
  *answer.packet.mutable_part() =
      split_answer({flow_id{7}, 1}, "billed", content_digest("billed"), 0, 1)[0];
  caller.step(answer);
  BOOST_TEST(caller.ended.size() == 1U);
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST(caller.requests() == 0U);
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against sending a request that does not fit into a datagram.
BOOST_AUTO_TEST_CASE(oversized_payload_is_not_sent) {
  session_fixture caller;
  caller.step(call_submitted{call, wire::non_idempotent, "certify", std::string(1'001, 'x'),
                             caller.now + milliseconds(1'000)});
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
  BOOST_TEST(caller.sent.empty());
}

// Guards against a truncated download, and against ranges in the wrong order (P1, R15).
BOOST_AUTO_TEST_CASE(download_is_assembled_from_ranges) {
  for (const std::size_t size : {0U, 1U, 65'536U, 65'537U, 500'000U}) {
    std::string content;
    while (content.size() < size)
      content += std::to_string(content.size()) + ' ';
    content.resize(size);
    session_fixture caller;
    caller.download();
    caller.receive_opened();
    for (int n = 0; n < 20 && caller.ended.empty(); ++n) {
      BOOST_TEST(caller.requests() <= 4U + 1U);
      answer_ranges(caller, "v1", content);
    }
    BOOST_REQUIRE(caller.ended.size() == 1U);
    BOOST_TEST(caller.ended[0].kind == wire::outcome_answered);
    BOOST_TEST((caller.ended[0].answer == content));
  }
}

// Guards against combining ranges of two versions of a content (P3, R15).
BOOST_AUTO_TEST_CASE(changed_content_restarts_the_download) {
  const std::string before(200'000, 'a');
  const std::string after(150'000, 'b');
  session_fixture caller;
  caller.download();
  caller.receive_opened();
  answer_ranges(caller, "v1", before);
  for (int n = 0; n < 20 && caller.ended.empty(); ++n)
    answer_ranges(caller, "v2", after);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == after));
  BOOST_TEST(caller.session.counters().restarts == 1U);
}

// Guards against delivering a content that does not match its digest.
BOOST_AUTO_TEST_CASE(content_with_a_wrong_digest_is_not_delivered) {
  session_fixture caller;
  caller.download();
  caller.receive_opened();
  const auto info = info_of("v1", "right");
  for (std::uint64_t number = 1; number < 20 && caller.ended.empty(); ++number)
    caller.receive_answer("wrong", number, 7, &info);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
  BOOST_TEST(caller.ended[0].answer.empty());
}

// Guards against a gap in a download after an answer that is shorter than the requested
// range.
BOOST_AUTO_TEST_CASE(short_range_restarts_the_download) {
  const std::string content(100'000, 'a');
  const auto info = info_of("v1", content);
  session_fixture caller;
  caller.download();
  caller.receive_opened();
  caller.receive_answer(content.substr(0, 60'000), 1, 7, &info);
  BOOST_TEST(caller.session.counters().restarts == 1U);
  caller.sent.erase(caller.sent.begin(), caller.sent.end() - 1);
  for (int n = 0; n < 20 && caller.ended.empty(); ++n)
    answer_ranges(caller, "v1", content);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == content));
}

// Guards against a download that fails because one of its ranges failed (P1).
BOOST_AUTO_TEST_CASE(failed_range_is_reissued) {
  const std::string content(1'000, 'a');
  const auto info = info_of("v1", content);
  session_fixture caller;
  caller.download();
  caller.receive_opened();
  for (std::uint64_t number = 1; number <= 5; ++number) {
    caller.receive_outcome(wire::outcome_unknown, wire::reason_upstream_lost, number);
    BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  }
  caller.receive_answer(content, 6, 7, &info);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == content));
}

BOOST_AUTO_TEST_CASE(settings_out_of_range_are_refused) {
  const auto is_refused = [](auto change) {
    auto settings = session_fixture::basic_settings();
    change(settings);
    return !caller_session::create(settings, 1).has_value();
  };
  BOOST_TEST(is_refused([](auto& settings) { settings.service.clear(); }));
  BOOST_TEST(is_refused([](auto& settings) { settings.range_length = 0; }));
  BOOST_TEST(is_refused([](auto& settings) { settings.initial_resend_delay = milliseconds(0); }));
  BOOST_TEST(is_refused([](auto& settings) { settings.max_resend_delay = milliseconds(1); }));
}

BOOST_AUTO_TEST_SUITE_END()
