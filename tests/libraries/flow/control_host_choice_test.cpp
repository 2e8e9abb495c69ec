#include "zinniarelay/flow/control_host_choice.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::time_at;
using addresses = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(control_host_choice_test)

// Guards against requests to a distant control host while a nearer one works.
BOOST_AUTO_TEST_CASE(nearest_working_host_is_preferred) {
  control_host_choice hosts({"s1", "s2"});
  BOOST_TEST(hosts.preferred(time_at({})) == "s1");
  hosts.set_reported({"near", "s2"});
  BOOST_TEST(hosts.preferred(time_at({})) == "near");
  BOOST_TEST(hosts.record_failure(time_at({}), "near"));
  BOOST_TEST(hosts.preferred(time_at(milliseconds(100))) == "s2");
  BOOST_TEST(hosts.preferred(time_at(milliseconds(5'000))) == "near");
}

// Guards against an entry host that sends no request when all control hosts have failed, and
// against two requests to the same control host in one round.
BOOST_AUTO_TEST_CASE(candidates_are_unique_with_failed_hosts_last) {
  control_host_choice hosts({"s1", "s2", "s3"});
  hosts.set_reported({"near", "s2"});
  hosts.record_failure(time_at({}), "near");
  BOOST_TEST((hosts.candidates(time_at({})) == addresses{"s2", "s1", "s3", "near"}));
  for (const auto* it : {"s1", "s2", "s3"})
    hosts.record_failure(time_at({}), it);
  BOOST_TEST(hosts.preferred(time_at({})) == "");
  BOOST_TEST(hosts.candidates(time_at({})).size() == 4U);
}

// Guards against a log line for each failed attempt: the entry host logs only when
// record_failure() or record_success() returns true.
BOOST_AUTO_TEST_CASE(repeated_failure_or_success_is_not_reported) {
  control_host_choice hosts({"s1"});
  BOOST_TEST(hosts.record_failure(time_at({}), "s1"));
  BOOST_TEST(!hosts.record_failure(time_at(milliseconds(100)), "s1"));
  BOOST_TEST(hosts.record_success("s1"));
  BOOST_TEST(!hosts.record_success("s1"));
}

// Guards against a reply without addresses that leaves an entry host with its seeds only.
BOOST_AUTO_TEST_CASE(reported_hosts_stay_after_an_empty_reply) {
  control_host_choice hosts({"s1"});
  hosts.set_reported({"near"});
  hosts.set_reported({});
  hosts.set_seeds({"s2"});
  BOOST_TEST((hosts.candidates(time_at({})) == addresses{"near", "s2"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
