#include "executor_fixture.h"
#include "zinniarelay/request/answer_parts.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;
using namespace zinnia::fakes;

constexpr attempt_key first_attempt{{flow_id{7}, 1}, 1};
constexpr attempt_key second_attempt{{flow_id{7}, 1}, 2};

} // namespace

BOOST_AUTO_TEST_SUITE(request_executor_test)

// Guards against a second execution of a request after a duplicate or delayed packet (R8).
BOOST_AUTO_TEST_CASE(duplicate_packets_do_not_run_a_request_again) {
  executor_fixture host;
  const auto token = host.token();
  BOOST_TEST(effects_of<dispatch_request>(host.send_new()).size() == 1U);
  BOOST_TEST(host.is_pending(host.send_new()));
  BOOST_TEST(
      (host.executor.on_dispatch_started(host.now, first_attempt) == start_permission::granted));
  BOOST_TEST(
      (host.executor.on_dispatch_started(host.now, first_attempt) == start_permission::withdrawn));
  BOOST_TEST(effects_of<dispatch_request>(host.send_new()).empty());
  BOOST_TEST(parts_of(host.finish(first_attempt, dispatch_outcome::done, "billed")).size() == 1U);
  const auto resent = parts_of(host.send_new());
  BOOST_REQUIRE(resent.size() == 1U);
  BOOST_TEST(resent[0].data() == "billed");
  BOOST_TEST(host.executor.unacknowledged() == 1U);
  host.executor.on_ack(host.now, token, 1);
  BOOST_TEST(host.executor.unacknowledged() == 0U);
  BOOST_TEST(host.send_new().empty());
}

// Guards against an answer that is sent over a path that has stopped working, although
// the caller has resent the request over another path.
BOOST_AUTO_TEST_CASE(retransmission_updates_the_reply_route) {
  executor_fixture host;
  host.start_first_request();
  host.route.caller.port = 6000;
  host.send_new();
  const auto sent =
      effects_of<send_packet>(host.finish(first_attempt, dispatch_outcome::done, "billed"));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent[0].route.caller.port == 6000);
}

// Guards against a second execution of a non-idempotent request after a failure that
// does not prove that the first attempt never started (R7).
BOOST_AUTO_TEST_CASE(non_idempotent_request_is_not_retried_after_possible_start) {
  for (const auto outcome : {dispatch_outcome::lost, dispatch_outcome::failed_after_start,
                             dispatch_outcome::content_changed}) {
    executor_fixture host;
    host.start_first_request();
    const auto effects = host.finish(first_attempt, outcome);
    BOOST_TEST(effects_of<dispatch_request>(effects).empty());
    BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
    BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_unknown);
  }
}

// Guards against ending a request whose first attempt provably did not start, and
// against running it twice when the result of that attempt is reported again (R7).
BOOST_AUTO_TEST_CASE(attempt_that_did_not_start_is_retried_once) {
  for (const auto outcome :
       {dispatch_outcome::refused_before_start, dispatch_outcome::not_written}) {
    executor_fixture host;
    host.start_first_request();
    const auto retries = effects_of<dispatch_request>(host.finish(first_attempt, outcome));
    BOOST_REQUIRE(retries.size() == 1U);
    BOOST_TEST((retries[0].key == second_attempt));
    BOOST_TEST(retries[0].payload == "lot 5");
    // A repeated result of the first attempt does not affect the second attempt.
    BOOST_TEST(host.start(second_attempt));
    BOOST_TEST(host.finish(first_attempt, outcome).empty());
    BOOST_TEST(host.executor.counters().late_results == 1U);
    BOOST_TEST(parts_of(host.finish(second_attempt, dispatch_outcome::done, "billed")).size() ==
               1U);
  }
}

// Guards against unlimited retries when every upstream refuses the request.
BOOST_AUTO_TEST_CASE(attempts_of_a_request_are_limited) {
  request_settings settings;
  settings.attempts = 3;
  executor_fixture host(settings);
  host.send_new();
  auto key = first_attempt;
  request_effects effects;
  for (; key.attempt <= 3; ++key.attempt) {
    BOOST_TEST(host.start(key));
    effects = host.finish(key, dispatch_outcome::refused_before_start);
  }
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_not_run);
  BOOST_TEST(outcome_of(effects).reason() == wire::reason_overloaded);
}

// Guards against retries that overload a service whose upstreams fail (R23).
BOOST_AUTO_TEST_CASE(retries_stay_within_the_service_budget) {
  request_settings settings;
  settings.retry_burst = 2;
  executor_fixture host(settings);
  std::uint64_t dispatched = 0;
  constexpr std::uint64_t requests = 1'000;
  for (std::uint64_t n = 1; n <= requests; ++n) {
    dispatched += effects_of<dispatch_request>(host.send_new(wire::idempotent, n)).size();
    attempt_key key{{flow_id{7}, n}, 1};
    while (host.start(key)) {
      dispatched += effects_of<dispatch_request>(host.finish(key, dispatch_outcome::lost)).size();
      ++key.attempt;
    }
  }
  BOOST_TEST(dispatched <= requests + requests / 10 + 2);
  BOOST_TEST(dispatched >= requests + requests / 10 - 2);
}

// Guards against the outcome not_run for an idempotent request whose earlier attempt
// may have run, when the retry is refused before its start (R6).
BOOST_AUTO_TEST_CASE(refused_retry_after_possible_run_ends_as_unknown) {
  executor_fixture host;
  host.send_new(wire::idempotent);
  BOOST_TEST(host.start(first_attempt));
  BOOST_TEST(
      effects_of<dispatch_request>(host.finish(first_attempt, dispatch_outcome::lost)).size() ==
      1U);
  const auto effects =
      host.executor.on_dispatch_rejected(host.now, second_attempt, wire::reason_overloaded);
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
}

// Guards against dispatching a queued request after its deadline, when the caller has
// received not_run (R10).
BOOST_AUTO_TEST_CASE(queued_request_is_not_started_after_its_deadline) {
  executor_fixture host;
  host.send_new();
  host.advance_time(milliseconds(1'000));
  BOOST_TEST(!host.start(first_attempt));
  const auto effects = host.executor.on_tick(host.now);
  BOOST_TEST(effects_of<cancel_dispatch>(effects).size() == 1U);
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_not_run);
  BOOST_TEST(!host.start(first_attempt));
  BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_not_run);
}

// Guards against the outcome not_run for a dispatched call that an upstream may be
// running when the deadline passes (R10).
BOOST_AUTO_TEST_CASE(dispatched_request_waits_for_cancellation_after_its_deadline) {
  for (const auto outcome : {dispatch_outcome::cancelled_before_start, dispatch_outcome::lost}) {
    executor_fixture host;
    host.start_first_request();
    host.advance_time(milliseconds(1'000));
    const auto cancelled = host.executor.on_tick(host.now);
    BOOST_TEST(effects_of<cancel_dispatch>(cancelled).size() == 1U);
    BOOST_TEST(effects_of<send_packet>(cancelled).empty());
    const bool is_proof = outcome == dispatch_outcome::cancelled_before_start;
    BOOST_TEST(outcome_of(host.finish(first_attempt, outcome)).kind() ==
               (is_proof ? wire::outcome_not_run : wire::outcome_unknown));
  }
}

// Guards against a caller that never receives an outcome because no result of the
// cancelled call arrives.
BOOST_AUTO_TEST_CASE(cancelled_call_without_a_result_ends_as_unknown) {
  executor_fixture host;
  host.start_first_request();
  host.advance_time(milliseconds(1'000));
  host.executor.on_tick(host.now);
  host.advance_time(milliseconds(1'000));
  BOOST_TEST(outcome_of(host.executor.on_tick(host.now)).kind() == wire::outcome_unknown);
  BOOST_TEST(host.finish(first_attempt, dispatch_outcome::cancelled_before_start).empty());
  BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_unknown);
}

// Guards against a delayed duplicate that runs a request again after its
// acknowledgement. The identity must be kept until every token sealed before the
// acknowledgement has expired (R8).
BOOST_AUTO_TEST_CASE(identity_is_kept_until_all_tokens_expire) {
  executor_fixture host;
  const auto token = host.token();
  host.start_first_request();
  host.finish(first_attempt, dispatch_outcome::done, "billed");
  host.advance_time(milliseconds(25'000));
  const auto renewed = host.token();
  host.executor.on_ack(host.now, token, 1);
  for (int n = 0; n < 12; ++n) {
    for (const auto& it : {token, renewed})
      BOOST_TEST(effects_of<dispatch_request>(host.send(it, host.request(), wire::non_idempotent))
                     .empty());
    host.advance_time(milliseconds(5'000));
    host.expire_records();
  }
  const auto late = host.send(renewed, host.request(), wire::non_idempotent);
  BOOST_TEST(outcome_of(late).reason() == wire::reason_window_passed);
  BOOST_TEST(host.executor.table().records() == 0U);
}

// Guards against a promised token validity that ends after the token's window of record
// epochs.
BOOST_AUTO_TEST_CASE(token_is_valid_for_exactly_the_promised_time) {
  executor_fixture host;
  host.advance_time(milliseconds(3'456));
  const auto token = host.token();
  const auto valid = host.executor.token_validity(host.now);
  BOOST_TEST(valid.count() == 56'544);
  BOOST_TEST((host.executor.min_token_validity() <= valid));
  host.advance_time(valid - milliseconds(1));
  BOOST_TEST(effects_of<dispatch_request>(host.send(token, host.request(1), wire::non_idempotent))
                 .size() == 1U);
  host.advance_time(milliseconds(1));
  BOOST_TEST(outcome_of(host.send(token, host.request(2), wire::non_idempotent)).kind() ==
             wire::outcome_unknown);
}

// Guards against a second execution of a non-idempotent request that an earlier
// incarnation may have run (R6).
BOOST_AUTO_TEST_CASE(only_idempotent_requests_of_another_incarnation_run) {
  executor_fixture host;
  auto token = host.token();
  token.executing_incarnation = incarnation_id{99};
  const auto refused = host.send(token, host.request(), wire::non_idempotent);
  BOOST_TEST(outcome_of(refused).kind() == wire::outcome_unknown);
  BOOST_TEST(outcome_of(refused).reason() == wire::reason_other_incarnation);
  BOOST_TEST(
      effects_of<dispatch_request>(host.send(token, host.request(), wire::idempotent)).size() ==
      1U);
}

// Guards against a host that runs or ends requests of another live host without a
// takeover (R5, R11).
BOOST_AUTO_TEST_CASE(requests_of_another_host_require_a_takeover) {
  executor_fixture host;
  auto token = host.token();
  token.executing_host = host_id{2};
  const auto third_attempt = host.request(1, 3);
  BOOST_TEST(host.send(token, third_attempt, wire::non_idempotent).empty());
  BOOST_TEST(host.send(token, third_attempt, wire::idempotent).empty());
  BOOST_TEST(host.send(token, third_attempt, wire::non_idempotent, takeover_mode::repeated_attempt)
                 .empty());
  BOOST_TEST(outcome_of(host.send(token, third_attempt, wire::non_idempotent,
                                  takeover_mode::executing_host_dead))
                 .reason() == wire::reason_executing_host_lost);
  BOOST_TEST(effects_of<dispatch_request>(
                 host.send(token, third_attempt, wire::idempotent, takeover_mode::repeated_attempt))
                 .size() == 1U);
  // A takeover never renews the token and never sends not_run.
  BOOST_TEST(host.start(first_attempt));
  const auto parts = parts_of(host.finish(first_attempt, dispatch_outcome::done, "globe"));
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].renewed_token().empty());
}

// Guards against takeovers that double the load when the executing host is slow (R11).
BOOST_AUTO_TEST_CASE(takeovers_stay_within_the_retry_budget) {
  request_settings settings;
  settings.retry_burst = 2;
  executor_fixture host(settings);
  auto token = host.token();
  token.executing_host = host_id{2};
  std::size_t dispatched = 0;
  for (std::uint64_t n = 1; n <= 10; ++n)
    dispatched +=
        effects_of<dispatch_request>(
            host.send(token, host.request(n, 3), wire::idempotent, takeover_mode::repeated_attempt))
            .size();
  BOOST_TEST(dispatched <= 3U);
  BOOST_TEST(host.executor.counters().takeovers_refused >= 7U);
}

// Guards against evicting a record of a full table, and against running a request that
// was refused because the table was full (R9).
BOOST_AUTO_TEST_CASE(full_table_refuses_requests_and_keeps_tombstones) {
  request_settings settings;
  settings.table.records = 1;
  settings.table.tombstones = 1;
  executor_fixture host(settings);
  host.send_new(wire::non_idempotent, 1);
  const auto refused = host.send_new(wire::non_idempotent, 2);
  BOOST_TEST(outcome_of(refused).kind() == wire::outcome_not_run);
  BOOST_TEST(outcome_of(refused).reason() == wire::reason_table_full);
  // There is no room for a tombstone of the third request, so it gets no outcome.
  BOOST_TEST(host.send_new(wire::non_idempotent, 3).empty());
  BOOST_TEST(host.executor.counters().dropped_tombstones_full == 1U);
  // The refused request stays refused after the table has room again.
  BOOST_TEST(host.start(first_attempt));
  host.finish(first_attempt, dispatch_outcome::done, "billed");
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(outcome_of(host.send_new(wire::non_idempotent, 2)).kind() == wire::outcome_not_run);
  host.advance_time(milliseconds(70'000));
  host.expire_records();
  BOOST_TEST(host.executor.table().tombstones() == 0U);
  BOOST_TEST(effects_of<dispatch_request>(host.send_new(wire::non_idempotent, 4)).size() == 1U);
}

// Guards against stored answers that exceed the memory reserved for them (R9).
BOOST_AUTO_TEST_CASE(stored_bytes_never_exceed_the_limit) {
  request_settings settings;
  settings.table.live_bytes = 200'000;
  executor_fixture host(settings);
  std::uint64_t admitted = 0;
  for (std::uint64_t n = 1; n <= 20; ++n) {
    if (effects_of<dispatch_request>(host.send_new(wire::non_idempotent, n)).empty()) continue;
    ++admitted;
    const attempt_key key{{flow_id{7}, n}, 1};
    BOOST_TEST(host.start(key));
    host.finish(key, dispatch_outcome::done, std::string(60'000, 'x'));
    BOOST_TEST(host.executor.table().live_bytes() <= 200'000U);
  }
  BOOST_TEST(admitted == 3U);
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(effects_of<dispatch_request>(host.send_new(wire::non_idempotent, 21)).size() == 1U);
}

// Guards against sending an upstream's answer that exceeds the maximum answer size.
BOOST_AUTO_TEST_CASE(oversized_answer_is_not_delivered) {
  executor_fixture host;
  host.start_first_request();
  const auto effects =
      host.finish(first_attempt, dispatch_outcome::done, std::string(64 * 1024 + 1, 'x'));
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
  BOOST_TEST(host.executor.counters().oversized_answers == 1U);
}

// Guards against bursts of parts that overrun a link, and against datagrams larger than
// 1,400 bytes (R14).
BOOST_AUTO_TEST_CASE(parts_are_limited_and_resumable) {
  request_settings settings;
  settings.parts_per_packet = 4;
  executor_fixture host(settings);
  host.start_first_request();
  dispatch_result attempt_result{dispatch_outcome::done, std::string(10'000, 'x'), {}};
  attempt_result.content.set_version(std::string(max_content_version_size, 'v'));
  attempt_result.content.set_total_length(~0ULL);
  attempt_result.content.set_digest(std::string(16, 'd'));
  const auto effects = host.executor.on_dispatch_result(host.now, first_attempt, attempt_result);
  for (const auto& it : effects_of<send_packet>(effects))
    BOOST_TEST(it.packet.ByteSizeLong() + sealed_token_size <= 1'400U);
  const auto burst = parts_of(effects);
  BOOST_REQUIRE(burst.size() == 4U);
  BOOST_TEST(!burst[0].renewed_token().empty());
  BOOST_TEST(burst[0].content().version().size() == max_content_version_size);
  auto resumed = host.request(1, 2);
  resumed.set_resume_offset(4'400);
  resumed.set_answer_digest(burst[0].digest());
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() ==
             4'400U);
  // For an offset beyond the end, or into an answer with another digest, the parts start
  // at offset 0.
  resumed.set_resume_offset(20'000);
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() == 0U);
  resumed.set_resume_offset(4'400);
  resumed.set_answer_digest("another");
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() == 0U);
}

// Guards against a planned stop that admits new requests, or that does not wait for
// pending requests and unacknowledged answers (R12).
BOOST_AUTO_TEST_CASE(drain_refuses_new_requests_and_waits_for_pending_requests) {
  executor_fixture host;
  host.start_first_request();
  host.executor.begin_drain();
  const auto refused = host.send_new(wire::non_idempotent, 2);
  BOOST_TEST(outcome_of(refused).reason() == wire::reason_draining);
  BOOST_TEST(outcome_of(refused).kind() == wire::outcome_not_run);
  BOOST_TEST(host.executor.pending() == 1U);
  host.finish(first_attempt, dispatch_outcome::done, "billed");
  BOOST_TEST(host.executor.pending() == 0U);
  BOOST_TEST(host.executor.unacknowledged() == 1U);
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(host.executor.unacknowledged() == 0U);
}

// Guards against a planned stop while tokens that name this incarnation are valid.
// Requests under these tokens would end as unknown (R12).
BOOST_AUTO_TEST_CASE(drain_lasts_until_all_tokens_expire) {
  executor_fixture host;
  host.advance_time(milliseconds(3'000));
  host.start_first_request();
  host.executor.begin_drain();
  host.executor.on_tick(host.now);
  const auto parts = parts_of(host.finish(first_attempt, dispatch_outcome::done, "billed"));
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].renewed_token().empty());
  // A host that has not yet received the drain update may seal a token with the next
  // epoch.
  const auto remaining = host.executor.remaining_token_validity(host.now);
  BOOST_TEST(remaining.count() == 67'000);
  host.advance_time(milliseconds(10'000));
  const auto last_token = host.token();
  host.advance_time(remaining - milliseconds(10'001));
  host.executor.on_tick(host.now);
  BOOST_TEST(host.executor.remaining_token_validity(host.now).count() == 1);
  BOOST_TEST(outcome_of(host.send(last_token, host.request(2), wire::non_idempotent)).kind() ==
             wire::outcome_not_run);
  host.advance_time(milliseconds(1));
  BOOST_TEST(host.executor.remaining_token_validity(host.now).count() == 0);
  BOOST_TEST(outcome_of(host.send(last_token, host.request(3), wire::non_idempotent)).reason() ==
             wire::reason_window_passed);
}

// Guards against a planned stop that is delayed until a record expires because the
// acknowledgement of its answer was lost (R12).
BOOST_AUTO_TEST_CASE(drain_resends_unacknowledged_answers) {
  executor_fixture host;
  host.start_first_request();
  host.finish(first_attempt, dispatch_outcome::done, std::string(5'000, 'x'));
  BOOST_TEST(host.executor.on_tick(host.now).empty());
  host.executor.begin_drain();
  BOOST_TEST(parts_of(host.executor.on_tick(host.now)).size() == 1U);
  BOOST_TEST(host.executor.on_tick(host.now).empty());
  host.advance_time(milliseconds(1'000));
  const auto resent = parts_of(host.executor.on_tick(host.now));
  BOOST_REQUIRE(resent.size() == 1U);
  BOOST_TEST(resent[0].offset() == 0U);
  host.executor.on_ack(host.now, host.token(), 1);
  host.advance_time(milliseconds(1'000));
  BOOST_TEST(host.executor.on_tick(host.now).empty());
}

// Guards against running a request that was refused for an unknown method, after a newer
// configuration has declared the method.
BOOST_AUTO_TEST_CASE(unknown_method_creates_a_tombstone) {
  executor_fixture host;
  BOOST_TEST(outcome_of(host.send_new(wire::method_kind_unset)).reason() ==
             wire::reason_unknown_method);
  BOOST_TEST(outcome_of(host.send_new(wire::non_idempotent)).kind() == wire::outcome_not_run);
}

BOOST_AUTO_TEST_CASE(settings_out_of_range_are_refused) {
  const auto sealer = [](const flow_token&) { return std::string(); };
  const auto kind_of = [&](const request_settings& settings) {
    return request_executor::create(settings, host_id{1}, incarnation_id{1}, sealer).error().kind;
  };
  request_settings settings;
  settings.epoch_window = 1;
  BOOST_TEST((kind_of(settings) == error_kind::malformed));
  settings = {};
  settings.table.records = 0;
  BOOST_TEST((kind_of(settings) == error_kind::malformed));
  settings = {};
  settings.epoch_length = milliseconds(0);
  BOOST_TEST((kind_of(settings) == error_kind::malformed));
}

BOOST_AUTO_TEST_SUITE_END()
