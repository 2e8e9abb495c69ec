#include "support/control_group.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;

const endpoint first_host{0x0A01'0001, 7'100};
const endpoint second_host{0x0A01'0002, 7'100};

wire::flow_load unanswered(std::uint64_t process, std::uint64_t sequence) {
  wire::flow_load out;
  out.set_format(load_report_format);
  out.set_host("entry-" + std::to_string(process));
  out.set_zone("a");
  out.set_process(process);
  out.set_sequence(sequence);
  auto& seen = *out.add_upstreams();
  seen.set_incarnation(77);
  seen.set_unanswered(1);
  seen.set_opening_age_ms(200);
  return out;
}

wire::news_request poll_of(const control_host& host) {
  wire::news_request out;
  out.set_host("entry-1");
  out.set_source(host.source());
  out.set_accepts_loads(true);
  return out;
}

control_group group_with(bool has_load_reports) {
  control_host_settings settings;
  settings.has_load_reports = has_load_reports;
  return {1, 3, settings};
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_reports_tests)

// Guards against a suspect that entry hosts learn of only with their next poll, and against
// datagrams of addresses that are no entry hosts.
BOOST_AUTO_TEST_CASE(a_new_suspect_is_an_urgent_update) {
  auto group = group_with(true);
  auto& host = group.host(1);
  host.notices().record_presence(group.now, first_host);
  host.record_load(group.now, first_host, unanswered(1, 1));
  host.record_load(group.now, second_host, unanswered(2, 1));
  auto request = poll_of(host);
  BOOST_TEST(!host.has_urgent_update(group.now, request));
  host.notices().record_presence(group.now, second_host);
  host.record_load(group.now, second_host, unanswered(2, 2));
  BOOST_TEST(host.has_urgent_update(group.now, request));
  const auto reply = host.updates(group.now, request);
  BOOST_REQUIRE(reply.suspects().upstreams_size() == 1);
  request.set_suspects_position(reply.suspects().position());
  BOOST_TEST(!host.has_urgent_update(group.now, request));
}

// Guards against a control host that stays without observations after its restart: its first
// reports come from entry hosts of the saved view.
BOOST_AUTO_TEST_CASE(a_restarted_control_host_has_the_suspects_with_the_next_reports) {
  auto group = group_with(true);
  auto& host = group.host(1);
  wire::recalled_view view;
  view.add_entry_hosts(first_host.to_string());
  view.add_entry_hosts(second_host.to_string());
  host.restore_view(group.now, view);
  host.record_load(group.now, first_host, unanswered(1, 500));
  host.record_load(group.now, second_host, unanswered(2, 900));
  BOOST_TEST(host.updates(group.now, poll_of(host)).suspects().upstreams_size() == 1);
}

// Guards against a change of replies where load reports are not enabled.
BOOST_AUTO_TEST_CASE(without_the_setting_reports_are_ignored) {
  auto group = group_with(false);
  auto& host = group.host(1);
  host.notices().record_presence(group.now, first_host);
  host.notices().record_presence(group.now, second_host);
  host.record_load(group.now, first_host, unanswered(1, 1));
  host.record_load(group.now, second_host, unanswered(2, 1));
  BOOST_TEST(!host.has_urgent_update(group.now, poll_of(host)));
  const auto reply = host.updates(group.now, poll_of(host));
  BOOST_TEST(!reply.has_suspects());
  BOOST_TEST(reply.loads_size() == 0);
  BOOST_TEST(host.loads().hosts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace zinnia
