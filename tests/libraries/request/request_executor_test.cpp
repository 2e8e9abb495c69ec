#include "executor_fixture.h"
#include "zinniarelay/request/answer_parts.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;
using namespace zinnia::fakes;

constexpr attempt_key first{{flow_id{7}, 1}, 1};
constexpr attempt_key second{{flow_id{7}, 1}, 2};

} // namespace

BOOST_AUTO_TEST_SUITE(request_executor_test)

// Guards against a duplicate or a late packet running a request twice (R8).
BOOST_AUTO_TEST_CASE(a_request_runs_once_whatever_arrives_again) {
  executor_fixture host;
  const auto token = host.token();
  BOOST_TEST(all_of<dispatch_request>(host.send_new()).size() == 1U);
  BOOST_TEST(host.outcome_is_pending(host.send_new()));
  BOOST_TEST((host.executor.on_dispatch_started(host.now, first) == start_permission::granted));
  BOOST_TEST((host.executor.on_dispatch_started(host.now, first) == start_permission::withdrawn));
  BOOST_TEST(all_of<dispatch_request>(host.send_new()).empty());
  BOOST_TEST(parts_of(host.finish(first, dispatch_outcome::done, "billed")).size() == 1U);
  const auto again = parts_of(host.send_new());
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST(again[0].data() == "billed");
  BOOST_TEST(host.executor.unacknowledged() == 1U);
  host.executor.on_ack(host.now, token, 1);
  BOOST_TEST(host.executor.unacknowledged() == 0U);
  BOOST_TEST(host.send_new().empty());
}

// Guards against an answer that goes back over a path that no longer works.
BOOST_AUTO_TEST_CASE(a_resend_replaces_the_reply_route) {
  executor_fixture host;
  host.run_first();
  host.route.caller.port = 6000;
  host.send_new();
  const auto sent = all_of<send_packet>(host.finish(first, dispatch_outcome::done, "billed"));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent[0].route.caller.port == 6000);
}

// Guards against a second run after a failure that proves nothing (R7).
BOOST_AUTO_TEST_CASE(doubt_ends_a_non_idempotent_request_as_unknown) {
  for (const auto outcome : {dispatch_outcome::lost, dispatch_outcome::failed_after_start,
                             dispatch_outcome::content_changed}) {
    executor_fixture host;
    host.run_first();
    const auto effects = host.finish(first, outcome);
    BOOST_TEST(all_of<dispatch_request>(effects).empty());
    BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
    BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_unknown);
  }
}

// Guards against giving up, or running twice, after a proof that nothing ran (R7).
BOOST_AUTO_TEST_CASE(an_attempt_that_did_not_start_is_made_again) {
  for (const auto outcome :
       {dispatch_outcome::refused_before_start, dispatch_outcome::not_written}) {
    executor_fixture host;
    host.run_first();
    const auto again = all_of<dispatch_request>(host.finish(first, outcome));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST((again[0].key == second));
    BOOST_TEST(again[0].payload == "lot 5");
    // The first attempt's result, reported twice, does not touch the second.
    BOOST_TEST(host.start(second));
    BOOST_TEST(host.finish(first, outcome).empty());
    BOOST_TEST(host.executor.counters().late_results == 1U);
    BOOST_TEST(parts_of(host.finish(second, dispatch_outcome::done, "billed")).size() == 1U);
  }
}

// Guards against retries without end when every upstream refuses.
BOOST_AUTO_TEST_CASE(attempts_of_a_request_are_bounded) {
  request_settings settings;
  settings.attempts = 3;
  executor_fixture host(settings);
  host.send_new();
  auto key = first;
  request_effects effects;
  for (; key.attempt <= 3; ++key.attempt) {
    BOOST_TEST(host.start(key));
    effects = host.finish(key, dispatch_outcome::refused_before_start);
  }
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_not_run);
  BOOST_TEST(outcome_of(effects).reason() == wire::reason_overloaded);
}

// Guards against retries that add load to a service in trouble (R23).
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_of_the_service) {
  request_settings settings;
  settings.retry_burst = 2;
  executor_fixture host(settings);
  std::uint64_t dispatched = 0;
  constexpr std::uint64_t requests = 1'000;
  for (std::uint64_t n = 1; n <= requests; ++n) {
    dispatched += all_of<dispatch_request>(host.send_new(wire::idempotent, n)).size();
    attempt_key key{{flow_id{7}, n}, 1};
    while (host.start(key)) {
      dispatched += all_of<dispatch_request>(host.finish(key, dispatch_outcome::lost)).size();
      ++key.attempt;
    }
  }
  BOOST_TEST(dispatched <= requests + requests / 10 + 2);
  BOOST_TEST(dispatched >= requests + requests / 10 - 2);
}

// Guards against an idempotent request being told not_run after it may have run (R6).
BOOST_AUTO_TEST_CASE(a_retry_after_doubt_never_ends_as_not_run) {
  executor_fixture host;
  host.send_new(wire::idempotent);
  BOOST_TEST(host.start(first));
  BOOST_TEST(all_of<dispatch_request>(host.finish(first, dispatch_outcome::lost)).size() == 1U);
  const auto effects =
      host.executor.on_dispatch_rejected(host.now, second, wire::reason_overloaded);
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
}

// Guards against a run after the caller was told not_run (R10).
BOOST_AUTO_TEST_CASE(a_deadline_in_the_queue_withdraws_the_start) {
  executor_fixture host;
  host.send_new();
  host.pass(milliseconds(1'000));
  BOOST_TEST(!host.start(first));
  const auto effects = host.executor.on_tick(host.now);
  BOOST_TEST(all_of<cancel_dispatch>(effects).size() == 1U);
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_not_run);
  BOOST_TEST(!host.start(first));
  BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_not_run);
}

// Guards against not_run for a call that an upstream may be running (R10).
BOOST_AUTO_TEST_CASE(a_deadline_after_dispatch_cancels_and_waits_for_proof) {
  for (const auto outcome : {dispatch_outcome::cancelled_before_start, dispatch_outcome::lost}) {
    executor_fixture host;
    host.run_first();
    host.pass(milliseconds(1'000));
    const auto cancelled = host.executor.on_tick(host.now);
    BOOST_TEST(all_of<cancel_dispatch>(cancelled).size() == 1U);
    BOOST_TEST(all_of<send_packet>(cancelled).empty());
    const bool is_proof = outcome == dispatch_outcome::cancelled_before_start;
    BOOST_TEST(outcome_of(host.finish(first, outcome)).kind() ==
               (is_proof ? wire::outcome_not_run : wire::outcome_unknown));
  }
}

// Guards against a caller that waits for ever when a cancelled call never ends.
BOOST_AUTO_TEST_CASE(a_cancelled_call_without_a_result_ends_as_unknown) {
  executor_fixture host;
  host.run_first();
  host.pass(milliseconds(1'000));
  host.executor.on_tick(host.now);
  host.pass(milliseconds(1'000));
  BOOST_TEST(outcome_of(host.executor.on_tick(host.now)).kind() == wire::outcome_unknown);
  BOOST_TEST(host.finish(first, dispatch_outcome::cancelled_before_start).empty());
  BOOST_TEST(outcome_of(host.send_new()).kind() == wire::outcome_unknown);
}

// Guards against a delayed duplicate that runs a request after the
// acknowledgement, while any token sealed until then is valid (R8).
BOOST_AUTO_TEST_CASE(the_identity_outlives_every_token) {
  executor_fixture host;
  const auto token = host.token();
  host.run_first();
  host.finish(first, dispatch_outcome::done, "billed");
  host.pass(milliseconds(25'000));
  const auto renewed = host.token();
  host.executor.on_ack(host.now, token, 1);
  for (int n = 0; n < 12; ++n) {
    for (const auto& it : {token, renewed})
      BOOST_TEST(
          all_of<dispatch_request>(host.send(it, host.request(), wire::non_idempotent)).empty());
    host.pass(milliseconds(5'000));
    host.expire();
  }
  const auto late = host.send(renewed, host.request(), wire::non_idempotent);
  BOOST_TEST(outcome_of(late).reason() == wire::reason_window_passed);
  BOOST_TEST(host.executor.table().records() == 0U);
}

// Guards against a token whose promised validity ends after its window.
BOOST_AUTO_TEST_CASE(a_token_is_valid_exactly_as_long_as_promised) {
  executor_fixture host;
  host.pass(milliseconds(3'456));
  const auto token = host.token();
  const auto valid = host.executor.token_validity(host.now);
  BOOST_TEST(valid.count() == 56'544);
  BOOST_TEST((host.executor.least_token_validity() <= valid));
  host.pass(valid - milliseconds(1));
  BOOST_TEST(
      all_of<dispatch_request>(host.send(token, host.request(1), wire::non_idempotent)).size() ==
      1U);
  host.pass(milliseconds(1));
  BOOST_TEST(outcome_of(host.send(token, host.request(2), wire::non_idempotent)).kind() ==
             wire::outcome_unknown);
}

// Guards against a request of an earlier incarnation being run again (R6).
BOOST_AUTO_TEST_CASE(other_incarnations_are_unknown_and_idempotent_ones_run) {
  executor_fixture host;
  auto token = host.token();
  token.executing_incarnation = incarnation_id{99};
  const auto told = host.send(token, host.request(), wire::non_idempotent);
  BOOST_TEST(outcome_of(told).kind() == wire::outcome_unknown);
  BOOST_TEST(outcome_of(told).reason() == wire::reason_other_incarnation);
  BOOST_TEST(all_of<dispatch_request>(host.send(token, host.request(), wire::idempotent)).size() ==
             1U);
}

// Guards against a host that decides about requests of another live host (R5, R11).
BOOST_AUTO_TEST_CASE(requests_of_another_host_need_a_takeover) {
  executor_fixture host;
  auto token = host.token();
  token.executing_host = host_id{2};
  const auto again = host.request(1, 3);
  BOOST_TEST(host.send(token, again, wire::non_idempotent).empty());
  BOOST_TEST(host.send(token, again, wire::idempotent).empty());
  BOOST_TEST(
      host.send(token, again, wire::non_idempotent, takeover_mode::repeated_attempt).empty());
  BOOST_TEST(
      outcome_of(host.send(token, again, wire::non_idempotent, takeover_mode::executing_host_dead))
          .reason() == wire::reason_executing_host_lost);
  BOOST_TEST(all_of<dispatch_request>(
                 host.send(token, again, wire::idempotent, takeover_mode::repeated_attempt))
                 .size() == 1U);
  // A takeover never renews the token and never says not_run.
  BOOST_TEST(host.start(first));
  const auto parts = parts_of(host.finish(first, dispatch_outcome::done, "globe"));
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].renewed_token().empty());
}

// Guards against takeovers that double the load when a host is slow (R11).
BOOST_AUTO_TEST_CASE(takeovers_stay_within_the_retry_budget) {
  request_settings settings;
  settings.retry_burst = 2;
  executor_fixture host(settings);
  auto token = host.token();
  token.executing_host = host_id{2};
  std::size_t dispatched = 0;
  for (std::uint64_t n = 1; n <= 10; ++n)
    dispatched += all_of<dispatch_request>(host.send(token, host.request(n, 3), wire::idempotent,
                                                     takeover_mode::repeated_attempt))
                      .size();
  BOOST_TEST(dispatched <= 3U);
  BOOST_TEST(host.executor.counters().takeovers_refused >= 7U);
}

// Guards against a full table that evicts a record or runs what it refused (R9).
BOOST_AUTO_TEST_CASE(a_full_table_refuses_and_remembers_it) {
  request_settings settings;
  settings.table.records = 1;
  settings.table.tombstones = 1;
  executor_fixture host(settings);
  host.send_new(wire::non_idempotent, 1);
  const auto refused = host.send_new(wire::non_idempotent, 2);
  BOOST_TEST(outcome_of(refused).kind() == wire::outcome_not_run);
  BOOST_TEST(outcome_of(refused).reason() == wire::reason_table_full);
  // No tombstone is left for the third, so nothing is promised about it.
  BOOST_TEST(host.send_new(wire::non_idempotent, 3).empty());
  BOOST_TEST(host.executor.counters().dropped_full == 1U);
  // Once there is room again, the refused one is still refused.
  BOOST_TEST(host.start(first));
  host.finish(first, dispatch_outcome::done, "billed");
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(outcome_of(host.send_new(wire::non_idempotent, 2)).kind() == wire::outcome_not_run);
  host.pass(milliseconds(70'000));
  host.expire();
  BOOST_TEST(host.executor.table().tombstones() == 0U);
  BOOST_TEST(all_of<dispatch_request>(host.send_new(wire::non_idempotent, 4)).size() == 1U);
}

// Guards against answers that outgrow the memory set aside for them (R9).
BOOST_AUTO_TEST_CASE(stored_bytes_never_exceed_their_bound) {
  request_settings settings;
  settings.table.live_bytes = 200'000;
  executor_fixture host(settings);
  std::uint64_t admitted = 0;
  for (std::uint64_t n = 1; n <= 20; ++n) {
    if (all_of<dispatch_request>(host.send_new(wire::non_idempotent, n)).empty()) continue;
    ++admitted;
    const attempt_key key{{flow_id{7}, n}, 1};
    BOOST_TEST(host.start(key));
    host.finish(key, dispatch_outcome::done, std::string(60'000, 'x'));
    BOOST_TEST(host.executor.table().live_bytes() <= 200'000U);
  }
  BOOST_TEST(admitted == 3U);
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(all_of<dispatch_request>(host.send_new(wire::non_idempotent, 21)).size() == 1U);
}

// Guards against an upstream's answer that cannot be sent in bounded parts.
BOOST_AUTO_TEST_CASE(an_oversized_answer_is_not_delivered) {
  executor_fixture host;
  host.run_first();
  const auto effects = host.finish(first, dispatch_outcome::done, std::string(64 * 1024 + 1, 'x'));
  BOOST_TEST(outcome_of(effects).kind() == wire::outcome_unknown);
  BOOST_TEST(host.executor.counters().oversized_answers == 1U);
}

// Guards against bursts that overrun a link, and datagrams beyond 1,400 bytes (R14).
BOOST_AUTO_TEST_CASE(parts_are_bounded_and_resumed) {
  request_settings settings;
  settings.parts_per_packet = 4;
  executor_fixture host(settings);
  host.run_first();
  dispatch_result seen{dispatch_outcome::done, std::string(10'000, 'x'), {}};
  seen.content.set_version(std::string(longest_content_version, 'v'));
  seen.content.set_total_length(~0ULL);
  seen.content.set_digest(std::string(16, 'd'));
  const auto effects = host.executor.on_dispatch_result(host.now, first, seen);
  for (const auto& it : all_of<send_packet>(effects))
    BOOST_TEST(it.packet.ByteSizeLong() + sealed_token_size <= 1'400U);
  const auto burst = parts_of(effects);
  BOOST_REQUIRE(burst.size() == 4U);
  BOOST_TEST(!burst[0].renewed_token().empty());
  BOOST_TEST(burst[0].content().version().size() == longest_content_version);
  auto resumed = host.request(1, 2);
  resumed.set_resume_offset(4'400);
  resumed.set_answer_digest(burst[0].digest());
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() ==
             4'400U);
  // An offset into another answer, or beyond the end, starts from the beginning.
  resumed.set_resume_offset(20'000);
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() == 0U);
  resumed.set_resume_offset(4'400);
  resumed.set_answer_digest("another");
  BOOST_TEST(parts_of(host.send(host.token(), resumed, wire::non_idempotent))[0].offset() == 0U);
}

// Guards against a planned stop that takes new work or forgets old work (R12).
BOOST_AUTO_TEST_CASE(a_drain_refuses_new_requests_and_waits_for_the_others) {
  executor_fixture host;
  host.run_first();
  host.executor.begin_drain();
  const auto refused = host.send_new(wire::non_idempotent, 2);
  BOOST_TEST(outcome_of(refused).reason() == wire::reason_draining);
  BOOST_TEST(outcome_of(refused).kind() == wire::outcome_not_run);
  BOOST_TEST(host.executor.pending() == 1U);
  host.finish(first, dispatch_outcome::done, "billed");
  BOOST_TEST(host.executor.pending() == 0U);
  BOOST_TEST(host.executor.unacknowledged() == 1U);
  host.executor.on_ack(host.now, host.token(), 1);
  BOOST_TEST(host.executor.unacknowledged() == 0U);
}

// Guards against a stop after which requests under valid tokens are unknown (R12).
BOOST_AUTO_TEST_CASE(a_drain_outlasts_every_token) {
  executor_fixture host;
  host.pass(milliseconds(3'000));
  host.run_first();
  host.executor.begin_drain();
  host.executor.on_tick(host.now);
  const auto parts = parts_of(host.finish(first, dispatch_outcome::done, "billed"));
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].renewed_token().empty());
  // A host that has not heard of the drain may stamp the next epoch.
  const auto left = host.executor.outstanding_tokens(host.now);
  BOOST_TEST(left.count() == 67'000);
  host.pass(milliseconds(10'000));
  const auto last = host.token();
  host.pass(left - milliseconds(10'001));
  host.executor.on_tick(host.now);
  BOOST_TEST(host.executor.outstanding_tokens(host.now).count() == 1);
  BOOST_TEST(outcome_of(host.send(last, host.request(2), wire::non_idempotent)).kind() ==
             wire::outcome_not_run);
  host.pass(milliseconds(1));
  BOOST_TEST(host.executor.outstanding_tokens(host.now).count() == 0);
  BOOST_TEST(outcome_of(host.send(last, host.request(3), wire::non_idempotent)).reason() ==
             wire::reason_window_passed);
}

// Guards against a lost acknowledgement that delays a planned stop until the
// record expires (R12).
BOOST_AUTO_TEST_CASE(a_drain_reminds_callers_of_unacknowledged_answers) {
  executor_fixture host;
  host.run_first();
  host.finish(first, dispatch_outcome::done, std::string(5'000, 'x'));
  BOOST_TEST(host.executor.on_tick(host.now).empty());
  host.executor.begin_drain();
  BOOST_TEST(parts_of(host.executor.on_tick(host.now)).size() == 1U);
  BOOST_TEST(host.executor.on_tick(host.now).empty());
  host.pass(milliseconds(1'000));
  const auto reminders = parts_of(host.executor.on_tick(host.now));
  BOOST_REQUIRE(reminders.size() == 1U);
  BOOST_TEST(reminders[0].offset() == 0U);
  host.executor.on_ack(host.now, host.token(), 1);
  host.pass(milliseconds(1'000));
  BOOST_TEST(host.executor.on_tick(host.now).empty());
}

// Guards against a request that a newer configuration would run after all.
BOOST_AUTO_TEST_CASE(an_unknown_method_leaves_a_tombstone) {
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
