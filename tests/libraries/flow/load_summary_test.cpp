#include "flow_fixture.h"

#include "zinniarelay/flow/load_summary.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using namespace support;
using outcome = load_summary::outcome;

constexpr std::uint64_t upstream = 77;

time_point at(int ms) {
  return time_at(milliseconds(ms));
}

endpoint address_of(std::uint32_t host) {
  return {0x0A01'0000 + host, 7100};
}

/// A report of a host whose process number is the number of the host.
wire::flow_load report(std::uint32_t host, std::uint64_t sequence) {
  wire::flow_load out;
  out.set_format(load_report_format);
  out.set_host("entry-" + std::to_string(host));
  out.set_zone(host % 2 == 0 ? "a" : "b");
  out.set_process(host);
  out.set_sequence(sequence);
  return out;
}

wire::flow_load unanswered(std::uint32_t host, std::uint64_t sequence, std::uint32_t count = 1) {
  auto out = report(host, sequence);
  auto& seen = *out.add_upstreams();
  seen.set_incarnation(upstream);
  seen.set_unanswered(count);
  seen.set_opening_age_ms(200);
  return out;
}

wire::flow_load answered(std::uint32_t host, std::uint64_t sequence, std::uint32_t age_ms = 0) {
  auto out = report(host, sequence);
  auto& seen = *out.add_upstreams();
  seen.set_incarnation(upstream);
  seen.set_has_answer(true);
  seen.set_answer_age_ms(age_ms);
  return out;
}

wire::flow_load loaded(std::uint32_t host, std::uint64_t sequence, std::uint32_t open_flows,
                       const std::string& service = "registry") {
  auto out = report(host, sequence);
  auto& flows = *out.add_flows();
  flows.set_service(service);
  flows.set_upstream_zone("a");
  flows.set_open_flows(open_flows);
  flows.set_opened_per_s(10);
  return out;
}

outcome record(load_summary& summary, time_point now, std::uint32_t host,
               const wire::flow_load& value) {
  return summary.record(now, address_of(host), load_summary::sender::present, value);
}

int suspects(const load_summary& summary, time_point now) {
  return summary.suspects(now).upstreams_size();
}

wire::news_request poll(std::uint64_t suspects_position = 0) {
  wire::news_request out;
  out.set_host("entry-1");
  out.set_accepts_loads(true);
  out.set_suspects_position(suspects_position);
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_summary_tests)

// Guards against an upstream that a single lost packet makes suspect on all hosts.
BOOST_AUTO_TEST_CASE(two_hosts_without_an_answer_make_an_upstream_suspect) {
  load_summary summary;
  record(summary, at(1'000), 1, unanswered(1, 1));
  record(summary, at(1'010), 1, unanswered(1, 2));
  BOOST_TEST(suspects(summary, at(1'010)) == 0);
  record(summary, at(1'020), 2, unanswered(2, 1));
  BOOST_TEST(suspects(summary, at(1'020)) == 1);
  BOOST_TEST(summary.suspects(at(1'100)).upstreams(0).age_ms() == 80U);
  BOOST_TEST(suspects(summary, at(2'021)) == 0);
}

// Guards against a small system in which no second host ever sends flows to an upstream.
BOOST_AUTO_TEST_CASE(three_unanswered_packets_of_the_only_observer_make_an_upstream_suspect) {
  load_summary summary;
  record(summary, at(1'000), 1, unanswered(1, 1, 2));
  BOOST_TEST(suspects(summary, at(1'000)) == 0);
  record(summary, at(1'100), 1, unanswered(1, 2, 3));
  BOOST_TEST(suspects(summary, at(1'100)) == 1);
}

// Guards against one host with a broken path, or false reports, that ejects an upstream which
// answers others.
BOOST_AUTO_TEST_CASE(one_host_of_several_observers_does_not_make_an_upstream_suspect) {
  load_summary summary;
  record(summary, at(500), 2, answered(2, 1));
  for (std::uint32_t n = 1; n <= 20; ++n)
    record(summary, at(1'000 + static_cast<int>(n) * 100), 1, unanswered(1, n, n));
  BOOST_TEST(suspects(summary, at(3'000)) == 0);
}

// Guards against ejecting a full upstream, which leaves some opening packets unanswered and answers
// others.
BOOST_AUTO_TEST_CASE(an_answer_after_the_unanswered_packets_were_forwarded_ends_the_suspicion) {
  load_summary summary;
  record(summary, at(1'000), 1, unanswered(1, 1));
  record(summary, at(1'010), 3, answered(3, 1, 100));
  record(summary, at(1'020), 2, unanswered(2, 1));
  BOOST_TEST(suspects(summary, at(1'020)) == 0);
  record(summary, at(1'400), 1, unanswered(1, 2, 2));
  record(summary, at(1'410), 2, unanswered(2, 2, 2));
  BOOST_TEST(suspects(summary, at(1'410)) == 1);
  record(summary, at(1'450), 3, answered(3, 2));
  BOOST_TEST(suspects(summary, at(1'450)) == 0);
}

// Guards against observations that stay for ever when the datagrams with the answers are lost.
BOOST_AUTO_TEST_CASE(without_reports_suspects_and_sums_expire) {
  load_summary summary;
  record(summary, at(1'000), 1, unanswered(1, 1));
  record(summary, at(1'000), 2, unanswered(2, 1));
  record(summary, at(1'000), 2, loaded(2, 2, 5));
  BOOST_TEST(summary.loads(at(4'000)).size() == 1U);
  BOOST_TEST(summary.loads(at(4'001)).empty());
  auto late = unanswered(2, 3);
  late.mutable_upstreams(0)->set_unanswered_age_ms(3'001);
  record(summary, at(4'100), 2, late);
  BOOST_TEST(suspects(summary, at(4'100)) == 0);
}

// Guards against sums that count a host twice or that hide how old they are.
BOOST_AUTO_TEST_CASE(sums_have_the_latest_report_of_each_host) {
  load_summary summary;
  record(summary, at(1'000), 2, loaded(2, 1, 5));
  record(summary, at(1'200), 4, loaded(4, 1, 7));
  record(summary, at(1'500), 2, loaded(2, 2, 6));
  const auto sums = summary.loads(at(1'600));
  BOOST_REQUIRE(sums.size() == 1U);
  BOOST_TEST(sums[0].service() == "registry");
  BOOST_TEST(sums[0].caller_zone() == "a");
  BOOST_TEST(sums[0].upstream_zone() == "a");
  BOOST_TEST(sums[0].open_flows() == 13U);
  BOOST_TEST(sums[0].opened_per_s() == 20U);
  BOOST_TEST(sums[0].hosts() == 2U);
  BOOST_TEST(sums[0].age_ms() == 400U);
}

// Guards against sums that lose the flows of a host whenever it reports an unanswered packet early.
BOOST_AUTO_TEST_CASE(an_early_report_leaves_the_flows_of_the_last_complete_one) {
  load_summary summary;
  record(summary, at(1'000), 2, loaded(2, 1, 5));
  auto early = unanswered(2, 2);
  early.set_is_partial(true);
  record(summary, at(1'500), 2, early);
  const auto sums = summary.loads(at(1'500));
  BOOST_REQUIRE(sums.size() == 1U);
  BOOST_TEST(sums[0].open_flows() == 5U);
  BOOST_TEST(sums[0].age_ms() == 500U);
  BOOST_TEST(summary.loads(at(4'001)).empty());
}

// Guards against delayed copies of reports and messages that no entry host of this release sent.
BOOST_AUTO_TEST_CASE(unusable_reports_are_refused_by_cause) {
  load_summary summary;
  const auto refused = [&](const wire::flow_load& value) {
    return record(summary, at(1'000), 1, value);
  };
  BOOST_TEST((refused(report(1, 5)) == outcome::accepted));
  BOOST_TEST((refused(report(1, 5)) == outcome::replayed));
  BOOST_TEST((refused(report(1, 4)) == outcome::replayed));
  auto restarted = report(1, 1);
  restarted.set_process(99);
  BOOST_TEST((refused(restarted) == outcome::accepted));
  BOOST_TEST((refused(report(1, 6)) == outcome::replayed));
  auto other = report(1, 9);
  other.set_format(load_report_format + 1);
  BOOST_TEST((refused(other) == outcome::other_format));
  auto nameless = report(1, 9);
  nameless.clear_host();
  BOOST_TEST((refused(nameless) == outcome::malformed));
  auto long_list = report(1, 9);
  for (int n = 0; n < 33; ++n)
    long_list.add_upstreams();
  BOOST_TEST((refused(long_list) == outcome::malformed));
  BOOST_TEST((refused(loaded(1, 9, 1'000'000)) == outcome::implausible));
  BOOST_TEST((summary.record(at(1'000), address_of(3), load_summary::sender::unknown,
                             report(3, 1)) == outcome::unknown_sender));
  BOOST_TEST(summary.count_of(outcome::replayed) == 3U);
  BOOST_TEST(summary.hosts() == 1U);
}

// Guards against old observations that count as new when a suspended control host continues.
BOOST_AUTO_TEST_CASE(reports_that_waited_during_a_suspension_are_refused) {
  load_summary summary;
  summary.tick(at(1'000));
  BOOST_TEST((record(summary, at(9'000), 1, report(1, 1)) == outcome::outdated));
  summary.tick(at(9'000));
  BOOST_TEST((record(summary, at(9'010), 1, report(1, 2)) == outcome::accepted));
}

// Guards against a poll that gets a reply at once for as long as there is a suspect.
BOOST_AUTO_TEST_CASE(a_suspect_is_urgent_until_the_host_has_it) {
  load_summary summary;
  BOOST_TEST(!summary.has_new_suspects(at(1'000), poll()));
  record(summary, at(1'000), 1, unanswered(1, 1));
  record(summary, at(1'000), 2, unanswered(2, 1));
  BOOST_TEST(summary.has_new_suspects(at(1'000), poll()));
  wire::news_reply reply;
  summary.add_to(at(1'000), poll(), reply);
  BOOST_REQUIRE(reply.suspects().upstreams_size() == 1);
  BOOST_TEST(!summary.has_new_suspects(at(1'000), poll(reply.suspects().position())));
  auto other_release = poll();
  other_release.set_accepts_loads(false);
  BOOST_TEST(!summary.has_new_suspects(at(1'000), other_release));
  wire::news_reply empty;
  summary.add_to(at(2'000), other_release, empty);
  BOOST_TEST(empty.ByteSizeLong() == 0U);
}

// Guards against replies that fill the link of an entry host in a large system, or while many
// upstreams fail.
BOOST_AUTO_TEST_CASE(a_host_gets_at_most_2_kb_a_second) {
  load_summary summary;
  for (std::uint32_t host = 1; host <= 59; ++host) {
    auto seen = report(host, 1);
    for (std::uint32_t n = 0; n < 64; ++n)
      *seen.add_flows() = loaded(host, 1, n + 1, "service-" + std::to_string(n)).flows(0);
    for (std::uint64_t n = 0; n < 32; ++n) {
      *seen.add_upstreams() = unanswered(host, 1).upstreams(0);
      seen.mutable_upstreams(static_cast<int>(n))->set_incarnation(n + 1);
    }
    record(summary, at(0), host, seen);
  }
  std::size_t bytes = 0;
  std::size_t loads = 0;
  for (int ms = 0; ms < 3'000; ms += 50) {
    wire::news_reply reply;
    summary.add_to(at(ms), poll(), reply);
    bytes += reply.ByteSizeLong();
    loads += static_cast<std::size_t>(reply.loads_size());
  }
  BOOST_TEST(bytes <= 3U * 2'000U);
  BOOST_TEST(loads >= 64U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace zinnia
