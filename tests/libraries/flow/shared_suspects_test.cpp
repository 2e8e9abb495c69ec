#include "flow_fixture.h"

#include "zinniarelay/flow/flow_host.h"
#include "zinniarelay/flow/load_summary.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace zinnia {
namespace {

using namespace support;

constexpr int upstream_count = 10;

time_point at(int ms) {
  return time_at(milliseconds(ms));
}

enum class exchange { off, on };

flow_host_settings settings_with(exchange reports, const std::string& name = "entry-1") {
  flow_host_settings out;
  out.router.selection.zone = "a";
  out.router.selection.report_timeout = milliseconds(60'000);
  if (reports == exchange::on) out.router.load_reports = {name, "a"};
  return out;
}

std::string name_of(int upstream) {
  return "i-" + std::to_string(upstream);
}

upstream_report report_of(int upstream) {
  return support::report_of(name_of(upstream), static_cast<std::uint16_t>(8'000 + upstream));
}

wire::news_reply first_reply(int upstreams) {
  wire::news_reply out;
  out.set_source(7);
  *out.mutable_declaration() = declaration_of(3);
  out.set_declaration_version(3);
  for (int n = 0; n < upstreams; ++n)
    *out.mutable_upstreams()->add_reports() = report_of(n).to_wire();
  return out;
}

wire::news_reply reply_with(const std::vector<int>& suspects, std::uint32_t age_ms) {
  wire::news_reply out;
  out.set_source(7);
  out.set_from_position(1);
  out.mutable_suspects();
  for (const auto it : suspects) {
    auto& added = *out.mutable_suspects()->add_upstreams();
    added.set_incarnation(report_of(it).incarnation());
    added.set_age_ms(age_ms);
  }
  return out;
}

/// An entry host with ten upstreams, on which callers open and end flows.
struct fixture {
  explicit fixture(exchange reports = exchange::on)
      : host(settings_with(reports), random_engine(1), at(0)) {
    host.apply(at(0), first_reply(upstream_count), at(0));
  }

  /// Opens a flow and returns the index of its upstream.
  int open(time_point now) {
    const auto decision = host.handle(now, opening_packet(++port), {});
    BOOST_TEST(decision.upstream_id != nullptr);
    if (decision.upstream_id == nullptr) return -1;
    tag = decision.route_tag;
    return std::stoi(decision.upstream_id->substr(2));
  }
  void answer(time_point now) { host.handle(now, flow_packet(port, tag), {}); }
  void end(time_point now) { host.handle(now, ending_packet(port, tag), {}); }
  /// Opens, and ends without an answer, a number of flows. Returns the upstreams that got one.
  std::multiset<int> used(time_point now, int flows = 300) {
    std::multiset<int> out;
    for (int n = 0; n < flows; ++n) {
      out.insert(open(now));
      host.handle(now, ending_packet(port, 0), {});
    }
    return out;
  }

  flow_host host;
  std::uint16_t port = 1'000;
  std::uint32_t tag = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shared_suspects_tests)

// Guards against callers that wait 200 ms for an upstream which other hosts know to be dead.
BOOST_AUTO_TEST_CASE(a_suspect_of_other_hosts_gets_no_flow_for_a_second) {
  fixture self;
  self.host.apply(at(1'000), reply_with({3}, 100), at(990));
  BOOST_TEST(self.used(at(1'000)).count(3) == 0U);
  BOOST_TEST(self.used(at(1'890)).count(3) == 0U);
  BOOST_TEST(self.used(at(2'900)).count(3) == 1U);
}

// Guards against an upstream that all other hosts avoid after one of them has got its answer.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_no_longer_listed_returns_at_once) {
  fixture self;
  self.host.apply(at(1'000), reply_with({3}, 0), at(1'000));
  BOOST_TEST(self.used(at(1'100)).count(3) == 0U);
  self.host.apply(at(1'200), reply_with({}, 0), at(1'200));
  BOOST_TEST(self.used(at(1'200)).count(3) == 1U);
}

// Guards against many callers on an upstream that is still dead when its suspect period ends.
BOOST_AUTO_TEST_CASE(a_returning_upstream_gets_one_opening_until_it_answers) {
  fixture self;
  self.host.apply(at(1'000), reply_with({3}, 0), at(1'000));
  BOOST_TEST(self.used(at(3'000)).count(3) == 1U);
  BOOST_TEST(self.used(at(3'100)).count(3) == 0U);
  BOOST_TEST(self.used(at(4'500)).count(3) == 1U);
  while (self.open(at(6'000)) != 3)
    self.end(at(6'000));
  self.answer(at(6'001));
  self.end(at(6'002));
  BOOST_TEST(self.used(at(6'010)).count(3) > 1U);
}

// Guards against a host that avoids an upstream although it has an answer of it.
BOOST_AUTO_TEST_CASE(an_own_answer_outweighs_the_observations_of_other_hosts) {
  fixture self;
  while (self.open(at(950)) != 3)
    self.end(at(950));
  self.answer(at(960));
  self.end(at(970));
  self.host.apply(at(1'000), reply_with({3}, 100), at(990));
  BOOST_TEST(self.used(at(1'000)).count(3) > 1U);
}

// Guards against a wrong view of the other hosts that takes the capacity of a service away.
BOOST_AUTO_TEST_CASE(when_everything_is_suspect_half_of_the_upstreams_stay) {
  fixture self;
  std::vector<int> all(upstream_count);
  std::iota(all.begin(), all.end(), 0);
  self.host.apply(at(1'000), reply_with(all, 0), at(1'000));
  const auto used = self.used(at(1'000));
  BOOST_TEST(std::set<int>(used.begin(), used.end()).size() == 5U);
  // Those that return gradually count too.
  self.host.apply(at(2'000), reply_with(all, 0), at(2'000));
  const auto later = self.used(at(2'000));
  BOOST_TEST(std::set<int>(later.begin(), later.end()).size() == 5U);
}

// Guards against stale data, after which decisions would be worse than without any.
BOOST_AUTO_TEST_CASE(decisions_with_stale_reports_are_those_without) {
  fixture with;
  fixture without(exchange::off);
  auto stale = reply_with({1, 2, 3}, 1'000);
  auto& load = *stale.add_loads();
  load.set_service("registry");
  load.set_age_ms(3'001);
  with.host.apply(at(1'000), stale, at(1'000));
  auto delayed = reply_with({4, 5}, 0);
  delayed.add_loads()->set_service("registry");
  with.host.apply(at(5'000), delayed, at(1'999));
  without.host.apply(at(5'000), delayed, at(1'999));
  BOOST_TEST(with.host.router().selector().current_zone_loads(at(5'000)).empty());
  BOOST_TEST((with.used(at(5'000)) == without.used(at(5'000))));
}

// Guards against a change of decisions on hosts that do not exchange load reports.
BOOST_AUTO_TEST_CASE(without_load_reports_nothing_is_sent_or_used) {
  fixture self(exchange::off);
  fixture untouched(exchange::off);
  self.host.apply(at(1'000), reply_with({1, 2, 3}, 0), at(1'000));
  untouched.host.apply(at(1'000), reply_with({}, 0), at(1'000));
  BOOST_TEST((self.used(at(1'000)) == untouched.used(at(1'000))));
  for (int ms = 0; ms < 5'000; ms += 100)
    BOOST_TEST(!self.host.take_due_load(at(ms)).has_value());
}

// Guards against sums that the spillover decision reads after their sender has gone.
BOOST_AUTO_TEST_CASE(sums_stay_until_they_are_3_s_old) {
  fixture self;
  auto reply = reply_with({}, 0);
  auto& load = *reply.add_loads();
  load.set_service("registry");
  load.set_caller_zone("b");
  load.set_upstream_zone("a");
  load.set_age_ms(500);
  self.host.apply(at(1'000), reply, at(1'000));
  self.host.apply(at(1'500), reply_with({}, 0), at(1'500));
  BOOST_TEST(self.host.router().selector().current_zone_loads(at(3'500)).size() == 1U);
  BOOST_TEST(self.host.router().selector().current_zone_loads(at(3'501)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(load_reporter_tests)

// Guards against control hosts that learn of an unanswered opening packet up to a second later, and
// against a flood of reports while a zone is cut off.
BOOST_AUTO_TEST_CASE(an_unanswered_opening_packet_is_reported_at_most_ten_times_a_second) {
  fixture self;
  int reports = 0;
  for (int ms = 0; ms < 5'000; ms += 10)
    reports += self.host.take_due_load(at(ms)) ? 1 : 0;
  BOOST_TEST(reports >= 4);
  BOOST_TEST(reports <= 5);
  self.open(at(5'200));
  self.host.handle(at(5'400), opening_packet(self.port, 1), {});
  const auto sent = self.host.take_due_load(at(5'400));
  BOOST_REQUIRE(sent.has_value());
  BOOST_REQUIRE(sent->upstreams_size() == 1);
  BOOST_TEST(sent->upstreams(0).unanswered() == 1U);
  BOOST_TEST(sent->upstreams(0).opening_age_ms() == 200U);
  BOOST_TEST(sent->is_partial());
  BOOST_TEST(sent->ByteSizeLong() <= 64U);
  reports = 0;
  for (int ms = 6'000; ms < 7'000; ms += 10) {
    self.open(at(ms));
    self.host.handle(at(ms), opening_packet(self.port, 1), {});
    reports += self.host.take_due_load(at(ms)) ? 1 : 0;
  }
  BOOST_TEST(reports <= 10);
}

// Guards against an observation that is lost with its datagram, and against copies that count as
// new flows.
BOOST_AUTO_TEST_CASE(each_regular_report_has_the_whole_state) {
  fixture self;
  self.host.take_due_load(at(0));
  for (int n = 0; n < 20; ++n)
    self.open(at(500));
  self.host.handle(at(700), opening_packet(self.port, 1), {});
  std::optional<wire::flow_load> first;
  std::optional<wire::flow_load> second;
  for (int ms = 700; !second && ms < 1'700; ms += 10)
    if (auto due = self.host.take_due_load(at(ms))) std::swap(first ? second : first, due);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->sequence() == first->sequence() + 1);
  BOOST_TEST(second->upstreams(0).incarnation() == first->upstreams(0).incarnation());
  BOOST_TEST(second->upstreams(0).unanswered() == 1U);
  BOOST_REQUIRE(second->flows_size() == 1);
  BOOST_TEST(second->flows(0).service() == "registry");
  BOOST_TEST(second->flows(0).open_flows() == 20U);
  BOOST_TEST(second->flows(0).opened_per_s() >= 18U);
  BOOST_TEST(second->flows(0).opened_per_s() <= 22U);
}

// Guards against a report that does not fit the datagram, which would be lost always.
BOOST_AUTO_TEST_CASE(a_report_of_a_large_system_fits_a_datagram) {
  flow_host host(settings_with(exchange::on), random_engine(1), at(0));
  auto reply = first_reply(0);
  for (int n = 0; n < 240; ++n) {
    auto report = report_of(n);
    report.service = n < 120 ? "registry" : "a-service-with-a-long-name-" + std::to_string(n);
    *reply.mutable_upstreams()->add_reports() = report.to_wire();
  }
  host.apply(at(0), reply, at(0));
  host.take_due_load(at(0));
  std::uint16_t port = 0;
  for (int n = 0; n < 200; ++n) {
    host.handle(at(800), opening_packet(++port), {});
    host.handle(at(1'000), opening_packet(port, 1), {});
  }
  host.router().upstreams().for_each(
      [&](const auto& it) { host.handle(at(1'000), flow_packet(++port, it.route_tag), {}); });
  wire::host_notice notice;
  notice.set_kind(wire::host_notice::load_reported);
  auto due = host.take_due_load(at(1'200));
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->upstreams_size() == 32);
  BOOST_TEST(due->flows_size() > 5);
  *notice.mutable_load() = *due;
  BOOST_TEST(notice.ByteSizeLong() <= 1'400U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace zinnia
