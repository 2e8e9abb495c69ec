#include "zinniarelay/operate/merge_reports.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

wire::host_status& add_host(wire::status_reply& reply, std::uint32_t id, std::uint32_t age_ms,
                            std::uint64_t revision) {
  auto& host = *reply.add_hosts();
  host.set_host(id);
  host.set_age_ms(age_ms);
  host.set_revision(revision);
  return host;
}

void add_upstream(wire::host_status& host, std::uint64_t incarnation, const char* service,
                  std::uint32_t outstanding) {
  auto& upstream = *host.add_upstreams();
  upstream.set_incarnation(incarnation);
  upstream.set_service(service);
  upstream.set_outstanding(outstanding);
}

} // namespace

BOOST_AUTO_TEST_SUITE(merge_reports_test)

// Guards against a partitioned control host whose outdated reports hide the current
// state of an entry host (docs/design.md R30).
BOOST_AUTO_TEST_CASE(newest_report_of_each_host_wins) {
  wire::status_reply outdated;
  outdated.set_control_id(1);
  outdated.mutable_configuration()->set_revision(4);
  add_host(outdated, 7, 60'000, 4);
  add_host(outdated, 8, 100, 4);
  wire::status_reply current;
  current.set_control_id(2);
  current.mutable_configuration()->set_revision(5);
  add_host(current, 7, 300, 5);
  const auto merged = merge_status({outdated, current}, {"127.0.0.1:9003"});
  BOOST_REQUIRE_EQUAL(merged.hosts_size(), 2);
  BOOST_TEST(merged.hosts(0).revision() == 5U);
  BOOST_TEST(merged.hosts(1).host() == 8U);
  BOOST_TEST(merged.configuration().revision() == 5U);
  BOOST_TEST(merged.controls_size() == 2);
  BOOST_TEST(merged.controls(0).hosts_size() == 0);
  BOOST_TEST(merged.unreachable(0) == "127.0.0.1:9003");
}

BOOST_AUTO_TEST_CASE(upstream_reported_by_two_hosts_is_listed_once) {
  wire::status_reply reply;
  add_upstream(add_host(reply, 7, 900, 1), 42, "registry", 3);
  auto& second = add_host(reply, 8, 100, 1);
  add_upstream(second, 42, "registry", 1);
  add_upstream(second, 41, "catalogue", 0);
  const auto upstreams = upstreams_of(merge_status({reply}, {}));
  BOOST_REQUIRE_EQUAL(upstreams.upstreams_size(), 2);
  BOOST_TEST(upstreams.upstreams(0).upstream().service() == "catalogue");
  BOOST_TEST(upstreams.upstreams(1).host() == 8U);
  BOOST_TEST(upstreams.upstreams(1).upstream().outstanding() == 1U);
}

BOOST_AUTO_TEST_CASE(audit_records_are_merged_by_index) {
  wire::audit_reply outdated;
  outdated.add_records()->set_index(3);
  wire::audit_reply current;
  current.add_records()->set_index(5);
  current.add_records()->set_index(3);
  const auto merged = merge_audit({outdated, current});
  BOOST_REQUIRE_EQUAL(merged.records_size(), 2);
  BOOST_TEST(merged.records(1).index() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
