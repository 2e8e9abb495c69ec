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

// A session with a scripted peer: every step collects what was sent and ended.
struct session_fixture {
  explicit session_fixture(const caller_settings& settings = basic())
      : session(caller_session::create(settings, 1).value()) {}

  static caller_settings basic() {
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

  void pass(milliseconds time) {
    now += time;
    step(timer_fired{});
  }

  // Steps at every wakeup until a packet of the wanted kind goes out.
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

  void open(std::uint64_t flow = 7, std::uint32_t valid_ms = 50'000) {
    packet_received received;
    auto& reply = *received.packet.mutable_opened();
    reply.set_nonce(last(wire::caller_packet::kOpen)->open().nonce());
    reply.set_token("token of flow " + std::to_string(flow));
    reply.set_flow(flow);
    reply.set_valid_ms(valid_ms);
    step(received);
  }

  void outcome(wire::outcome_kind kind, wire::outcome_reason reason, std::uint64_t number,
               std::uint64_t flow = 7) {
    packet_received received;
    auto& it = *received.packet.mutable_outcome();
    it.set_flow(flow);
    it.set_request_number(number);
    it.set_kind(kind);
    it.set_reason(reason);
    step(received);
  }

  void answer(const std::string& text, std::uint64_t number, std::uint64_t flow = 7,
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

// Answers every range in flight from one content.
void serve(session_fixture& caller, const std::string& version, const std::string& content) {
  const auto asked = std::move(caller.sent);
  caller.sent.clear();
  const auto info = info_of(version, content);
  for (const auto& it : asked) {
    if (!it.has_request()) continue;
    const auto& range = it.request().range();
    if (!range.content_version().empty() && range.content_version() != version)
      caller.outcome(wire::outcome_not_run, wire::reason_content_changed,
                     it.request().request_number());
    else
      caller.answer(content.substr(range.offset(), range.length()), it.request().request_number(),
                    7, &info);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_session_test)

// Guards against the loss of any single packet ending a call.
BOOST_AUTO_TEST_CASE(opens_sends_and_acknowledges_with_resends) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  const auto nonce = caller.last(wire::caller_packet::kOpen)->open().nonce();
  BOOST_TEST(caller.wait_for(wire::caller_packet::kOpen));
  BOOST_TEST(caller.last(wire::caller_packet::kOpen)->open().nonce() == nonce);
  caller.open();
  BOOST_TEST(caller.last_request().attempt() == 1U);
  BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  BOOST_TEST(caller.last_request().attempt() == 2U);
  BOOST_TEST(caller.last_request().request_number() == 1U);
  BOOST_TEST(caller.last_request().token() == "token of flow 7");
  caller.answer("billed", 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].answer == "billed");
  BOOST_TEST(caller.last(wire::caller_packet::kAck)->ack().request_number() == 1U);
  // The acknowledgement was lost: the host sends the answer again.
  caller.sent.clear();
  caller.answer("billed", 1);
  BOOST_TEST((caller.last(wire::caller_packet::kAck) != nullptr));
  BOOST_TEST(caller.ended.size() == 1U);
}

// Guards against resends that grow without bound or come in step (R8).
BOOST_AUTO_TEST_CASE(resends_back_off_to_a_limit) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(20'000));
  caller.open();
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

// Guards against an answer to another request or flow being delivered (P3).
BOOST_AUTO_TEST_CASE(crossed_packets_are_ignored_and_counted) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.open();
  caller.answer("theirs", 1, 8);
  caller.answer("theirs", 2, 7);
  caller.outcome(wire::outcome_not_run, wire::reason_overloaded, 1, 8);
  packet_received stale;
  stale.packet.mutable_opened()->set_nonce(12345);
  stale.packet.mutable_opened()->set_token("other");
  caller.step(stale);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.session.counters().ignored_parts == 2U);
  BOOST_TEST(caller.session.counters().ignored_outcomes == 1U);
  BOOST_TEST(caller.session.counters().ignored_opens == 1U);
  caller.answer("mine", 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].answer == "mine");
}

// Guards against two calls of one flow being taken for each other.
BOOST_AUTO_TEST_CASE(several_calls_share_a_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{1});
  caller.submit(wire::idempotent, milliseconds(5'000), call_id{2});
  caller.open();
  caller.answer("second", 2);
  caller.answer("first", 1);
  BOOST_REQUIRE(caller.ended.size() == 2U);
  BOOST_TEST((caller.ended[0].id == call_id{2}));
  BOOST_TEST(caller.ended[0].answer == "second");
  BOOST_TEST(caller.ended[1].answer == "first");
  BOOST_TEST(caller.session.counters().opens == 1U);
}

// Guards against a second issue of a request that may have run (P5).
BOOST_AUTO_TEST_CASE(unknown_ends_a_non_idempotent_call) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.open();
  caller.outcome(wire::outcome_unknown, wire::reason_other_incarnation, 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
  BOOST_TEST((!caller.session.next_wakeup()));
}

// Guards against a planned stop of a host that fails calls (P7).
BOOST_AUTO_TEST_CASE(a_drained_host_leads_to_a_new_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.open();
  caller.outcome(wire::outcome_not_run, wire::reason_draining, 1);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.wait_for(wire::caller_packet::kOpen));
  caller.open(8);
  BOOST_TEST(caller.last_request().token() == "token of flow 8");
  caller.answer("billed", 1, 8);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_answered);
}

// Guards against a caller that adds load to an overloaded service.
BOOST_AUTO_TEST_CASE(overload_is_reported_and_not_repeated) {
  session_fixture caller;
  caller.submit(wire::idempotent);
  caller.open();
  caller.outcome(wire::outcome_not_run, wire::reason_overloaded, 1);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
  BOOST_TEST(caller.ended[0].reason == wire::reason_overloaded);
}

// Guards against a wrong claim when the deadline passes at the caller (P4).
BOOST_AUTO_TEST_CASE(the_deadline_tells_sent_from_unsent) {
  session_fixture unsent;
  unsent.submit(wire::non_idempotent, milliseconds(1'000));
  unsent.pass(milliseconds(1'000));
  BOOST_REQUIRE(unsent.ended.size() == 1U);
  BOOST_TEST(unsent.ended[0].kind == wire::outcome_not_run);
  session_fixture sent;
  sent.submit(wire::non_idempotent, milliseconds(1'000));
  sent.open();
  sent.pass(milliseconds(1'000));
  BOOST_REQUIRE(sent.ended.size() == 1U);
  BOOST_TEST(sent.ended[0].kind == wire::outcome_unknown);
  // The answer that comes too late is ignored.
  sent.answer("billed", 1);
  BOOST_TEST(sent.ended.size() == 1U);
}

// Guards against new requests under a token near the end of its validity (R8).
BOOST_AUTO_TEST_CASE(reopens_before_the_token_ends) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.open(7, 50'000);
  caller.pass(milliseconds(44'000));
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{2});
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) == nullptr));
  BOOST_TEST(caller.last_request().request_number() == 2U);
  caller.pass(milliseconds(1'500));
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{3});
  BOOST_REQUIRE((caller.last(wire::caller_packet::kOpen) != nullptr));
  caller.open(8);
  // The requests in progress stay with their own token and number.
  caller.sent.clear();
  caller.pass(milliseconds(2'000));
  std::multiset<std::string> resent;
  for (const auto& it : caller.sent)
    resent.insert(it.request().token() + " number " +
                  std::to_string(it.request().request_number()));
  const std::multiset<std::string> expected = {
      "token of flow 7 number 1", "token of flow 7 number 2", "token of flow 8 number 1"};
  BOOST_TEST(resent == expected, boost::test_tools::per_element());
}

// Guards against a delayed answer that seems to extend a token's validity.
BOOST_AUTO_TEST_CASE(a_renewed_token_counts_from_the_first_transmission) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.open(7, 10'000);
  caller.pass(milliseconds(30'000));
  packet_received late;
  auto& part = *late.packet.mutable_part();
  part = split_answer({flow_id{7}, 1}, "billed", content_digest("billed"), 0, 1)[0];
  part.set_renewed_token("renewed");
  part.set_valid_ms(34'000);
  caller.step(late);
  caller.sent.clear();
  // The token may have been sealed 30 s ago, so 4 s are left.
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST(caller.requests() == 0U);
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against new requests that go to a host which answers nothing.
BOOST_AUTO_TEST_CASE(a_silent_host_gets_no_new_requests) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000), call_id{1});
  caller.open();
  while (caller.last_request().attempt() <= 3)
    caller.wait_for(wire::caller_packet::kRequest);
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against a false suspicion of a frozen host that breaks its flows.
BOOST_AUTO_TEST_CASE(a_report_of_a_lost_host_is_believed_after_a_while) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(60'000));
  caller.open();
  const auto report = [&] {
    caller.outcome(wire::outcome_unknown, wire::reason_executing_host_lost, 1);
  };
  report();
  caller.pass(milliseconds(1'999));
  report();
  BOOST_TEST(caller.ended.empty());
  // A sign of life takes the earlier reports back.
  caller.outcome(wire::outcome_unset, wire::reason_pending, 1);
  caller.pass(milliseconds(1'000));
  report();
  BOOST_TEST(caller.ended.empty());
  caller.pass(milliseconds(2'000));
  report();
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
}

// Guards against a takeover of a request that a live host is still running (R11).
BOOST_AUTO_TEST_CASE(a_pending_report_keeps_the_attempt_number_low) {
  session_fixture caller;
  caller.submit(wire::idempotent, milliseconds(10'000));
  caller.open();
  for (int n = 0; n < 6; ++n) {
    BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
    BOOST_TEST(caller.last_request().attempt() == 2U);
    caller.outcome(wire::outcome_unset, wire::reason_pending, 1);
  }
}

// Guards against a refusal by one host ending a request that another may run.
BOOST_AUTO_TEST_CASE(a_refused_packet_does_not_end_a_request) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  caller.open();
  packet_received refused;
  refused.packet.mutable_refused()->set_cause(wire::refusal_unknown_key);
  refused.packet.mutable_refused()->set_flow(7);
  refused.packet.mutable_refused()->set_request_number(1);
  caller.step(refused);
  BOOST_TEST(caller.ended.empty());
  BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  BOOST_TEST(caller.last_request().token() == "token of flow 7");
  caller.answer("billed", 1);
  BOOST_TEST(caller.ended.size() == 1U);
}

// Guards against a caller that opens for ever a service that does not exist.
BOOST_AUTO_TEST_CASE(an_unknown_service_ends_the_call) {
  session_fixture caller;
  caller.submit(wire::non_idempotent);
  packet_received refused;
  refused.packet.mutable_refused()->set_cause(wire::refusal_unknown_service);
  refused.packet.mutable_refused()->set_nonce(
      caller.last(wire::caller_packet::kOpen)->open().nonce());
  // One host alone may be late with its configuration.
  for (int n = 0; n < 3; ++n) {
    BOOST_TEST(caller.ended.empty());
    caller.step(refused);
  }
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
}

// Guards against new requests to a host that is leaving (R12).
BOOST_AUTO_TEST_CASE(an_answer_without_a_renewed_token_ends_the_flow) {
  session_fixture caller;
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{1});
  caller.open();
  packet_received last;
  *last.packet.mutable_part() =
      split_answer({flow_id{7}, 1}, "billed", content_digest("billed"), 0, 1)[0];
  caller.step(last);
  BOOST_TEST(caller.ended.size() == 1U);
  caller.sent.clear();
  caller.submit(wire::non_idempotent, milliseconds(5'000), call_id{2});
  BOOST_TEST(caller.requests() == 0U);
  BOOST_TEST((caller.last(wire::caller_packet::kOpen) != nullptr));
}

// Guards against a request that does not fit into a datagram.
BOOST_AUTO_TEST_CASE(an_oversized_payload_is_not_sent) {
  session_fixture caller;
  caller.step(call_submitted{call, wire::non_idempotent, "certify", std::string(1'001, 'x'),
                             caller.now + milliseconds(1'000)});
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_not_run);
  BOOST_TEST(caller.sent.empty());
}

// Guards against a truncated or reordered download (P1, R15).
BOOST_AUTO_TEST_CASE(a_download_is_pulled_in_ranges) {
  for (const std::size_t size : {0U, 1U, 65'536U, 65'537U, 500'000U}) {
    std::string content;
    while (content.size() < size)
      content += std::to_string(content.size()) + ' ';
    content.resize(size);
    session_fixture caller;
    caller.download();
    caller.open();
    for (int n = 0; n < 20 && caller.ended.empty(); ++n) {
      BOOST_TEST(caller.requests() <= 4U + 1U);
      serve(caller, "v1", content);
    }
    BOOST_REQUIRE(caller.ended.size() == 1U);
    BOOST_TEST(caller.ended[0].kind == wire::outcome_answered);
    BOOST_TEST((caller.ended[0].answer == content));
  }
}

// Guards against a mixture of two versions of a content (P3, R15).
BOOST_AUTO_TEST_CASE(a_changed_content_restarts_the_download) {
  const std::string before(200'000, 'a');
  const std::string after(150'000, 'b');
  session_fixture caller;
  caller.download();
  caller.open();
  serve(caller, "v1", before);
  for (int n = 0; n < 20 && caller.ended.empty(); ++n)
    serve(caller, "v2", after);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == after));
  BOOST_TEST(caller.session.counters().restarts == 1U);
}

// Guards against delivering a content that does not match its digest.
BOOST_AUTO_TEST_CASE(a_content_with_a_wrong_digest_is_not_delivered) {
  session_fixture caller;
  caller.download();
  caller.open();
  const auto info = info_of("v1", "right");
  for (std::uint64_t number = 1; number < 20 && caller.ended.empty(); ++number)
    caller.answer("wrong", number, 7, &info);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST(caller.ended[0].kind == wire::outcome_unknown);
  BOOST_TEST(caller.ended[0].answer.empty());
}

// Guards against a range that is shorter than its place in the content.
BOOST_AUTO_TEST_CASE(a_short_range_restarts_the_download) {
  const std::string content(100'000, 'a');
  const auto info = info_of("v1", content);
  session_fixture caller;
  caller.download();
  caller.open();
  caller.answer(content.substr(0, 60'000), 1, 7, &info);
  BOOST_TEST(caller.session.counters().restarts == 1U);
  caller.sent.erase(caller.sent.begin(), caller.sent.end() - 1);
  for (int n = 0; n < 20 && caller.ended.empty(); ++n)
    serve(caller, "v1", content);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == content));
}

// Guards against a download that a failed range breaks (P1).
BOOST_AUTO_TEST_CASE(a_failed_range_is_issued_again_until_the_deadline) {
  const std::string content(1'000, 'a');
  const auto info = info_of("v1", content);
  session_fixture caller;
  caller.download();
  caller.open();
  for (std::uint64_t number = 1; number <= 5; ++number) {
    caller.outcome(wire::outcome_unknown, wire::reason_upstream_lost, number);
    BOOST_TEST(caller.wait_for(wire::caller_packet::kRequest));
  }
  caller.answer(content, 6, 7, &info);
  BOOST_REQUIRE(caller.ended.size() == 1U);
  BOOST_TEST((caller.ended[0].answer == content));
}

BOOST_AUTO_TEST_CASE(settings_out_of_range_are_refused) {
  const auto is_refused = [](auto change) {
    auto settings = session_fixture::basic();
    change(settings);
    return !caller_session::create(settings, 1).has_value();
  };
  BOOST_TEST(is_refused([](auto& it) { it.service.clear(); }));
  BOOST_TEST(is_refused([](auto& it) { it.range_length = 0; }));
  BOOST_TEST(is_refused([](auto& it) { it.first_resend = milliseconds(0); }));
  BOOST_TEST(is_refused([](auto& it) { it.longest_resend = milliseconds(1); }));
}

BOOST_AUTO_TEST_SUITE_END()
