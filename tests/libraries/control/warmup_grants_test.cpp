#include "zinniarelay/control/control_host.h"

#include "support/control_group.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

/// A group of three with one cold upstream of a service with a limit, known to all.
struct cold_group {
  cold_group() {
    group.run(milliseconds(3'000));
    wire::version_request request;
    auto& declaration = *request.mutable_proposed()->mutable_declaration();
    declaration.set_version(1);
    auto& service = *declaration.add_services();
    service.set_name("registry");
    service.set_warmup_ms(20'000);
    service.set_warmup_rate(5);
    leader = group.leader();
    group.host(leader).apply_version(group.now, 1, request);
    group.observe(leader);
    group.run(milliseconds(500));
    report.id = "i-1";
    report.started_ms = 1;
    report.service = "registry";
    report.address = {1, 1};
    report.warmup = milliseconds(20'000);
    for (std::uint64_t id = 1; id <= 3; ++id)
      group.host(id).merge_report(group.now, report);
  }

  wire::grant_reply grant(std::uint64_t id,
                          const std::optional<control_host::read_ticket>& ticket) {
    wire::grant_request request;
    request.set_holder(holder);
    request.add_incarnations(report.incarnation());
    return ticket ? group.host(id).grant_warmup(group.now, *ticket, request) : wire::grant_reply();
  }
  std::optional<control_host::read_ticket> begin(std::uint64_t id) {
    auto out = group.host(id).begin_read(group.now);
    group.observe(id);
    return out;
  }
  wire::grant_reply grant_after_round(std::uint64_t id) {
    const auto ticket = begin(id);
    group.run(milliseconds(100));
    return grant(id, ticket);
  }

  control_group group{1, 3, {}};
  std::uint64_t leader = 0;
  std::uint64_t holder = 77;
  upstream_report report;
};

BOOST_FIXTURE_TEST_SUITE(warmup_grants_test, cold_group)

// Guards against a deposed leader that grants what its successor grants too.
BOOST_AUTO_TEST_CASE(leader_grants_nothing_before_a_quorum_has_confirmed_it) {
  BOOST_TEST(grant_after_round(leader).grants_size() == 1);
  const auto ticket = begin(leader);
  BOOST_TEST(grant(leader, ticket).grants_size() == 0);
  group.isolate(leader);
  group.in_flight.clear();
  const auto isolated = begin(leader);
  group.run(milliseconds(100));
  BOOST_TEST(grant(leader, isolated).grants_size() == 0);
  group.run(milliseconds(3'000));
  BOOST_TEST(grant(leader, isolated).grants_size() == 0);
}

// Guards against leases of a new leader next to those of the earlier one, which it does not know.
BOOST_AUTO_TEST_CASE(new_leader_waits_for_the_end_of_earlier_leases) {
  BOOST_TEST(grant_after_round(leader).grants_size() == 1);
  group.stop(leader);
  while (group.leader() == 0)
    group.run(control_group::step_time);
  const auto next = group.leader();
  const auto elected = group.now;
  holder = 78;
  while (grant_after_round(next).grants_size() == 0)
    BOOST_TEST_REQUIRE((group.now - elected < milliseconds(3'000)));
  BOOST_TEST((group.now - elected >= milliseconds(1'500)));
}

// Guards against a lease that two control hosts get, and against one that its holder cannot renew.
BOOST_AUTO_TEST_CASE(lease_of_another_control_host_is_refused_until_it_expires) {
  BOOST_TEST(grant_after_round(leader).grants_size() == 1);
  const auto granted = group.now;
  holder = 78;
  BOOST_TEST(grant_after_round(leader).grants_size() == 0);
  holder = 77;
  BOOST_TEST(grant_after_round(leader).grants_size() == 1);
  holder = 78;
  while (grant_after_round(leader).grants_size() == 0)
    BOOST_TEST_REQUIRE((group.now - granted < milliseconds(4'000)));
  BOOST_TEST((group.now - granted >= milliseconds(1'500)));
}

// Guards against grants for entry hosts that have not asked for them, such as those of earlier
// releases, which would not use them.
BOOST_AUTO_TEST_CASE(grants_are_sent_only_to_hosts_that_ask) {
  auto& host = group.host(leader);
  BOOST_TEST(!host.warmup_request_due(group.now).has_value());
  wire::news_request request;
  host.record_warmup_grants(group.now, grant_after_round(leader));
  BOOST_TEST(host.updates(group.now, request).warmup_grants_size() == 0);
  request.set_warmup_holder(9);
  BOOST_TEST_REQUIRE(host.updates(group.now, request).warmup_grants_size() == 1);
  BOOST_TEST(host.warmup_request_due(group.now).has_value());
  // Nothing is granted from an expired lease.
  group.now += milliseconds(1'500);
  BOOST_TEST(host.updates(group.now, request).warmup_grants_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
