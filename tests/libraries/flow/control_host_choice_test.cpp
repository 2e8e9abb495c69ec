#include "zinniarelay/flow/control_host_choice.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::at;
using addresses = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(control_host_choice_test)

// Guards against entry hosts that ask a far control host while a near one works.
BOOST_AUTO_TEST_CASE(nearest_that_works_is_preferred) {
  control_host_choice hosts({"s1", "s2"});
  BOOST_TEST(hosts.preferred(at({})) == "s1");
  hosts.learn({"near", "s2"});
  BOOST_TEST(hosts.preferred(at({})) == "near");
  BOOST_TEST(hosts.note_failure(at({}), "near"));
  BOOST_TEST(hosts.preferred(at(milliseconds(100))) == "s2");
  BOOST_TEST(hosts.preferred(at(milliseconds(5'000))) == "near");
}

// Guards against a host that asks nobody when all have failed, and against one that asks a
// host twice at a time.
BOOST_AUTO_TEST_CASE(every_host_is_a_candidate_once_and_failed_ones_come_last) {
  control_host_choice hosts({"s1", "s2", "s3"});
  hosts.learn({"near", "s2"});
  hosts.note_failure(at({}), "near");
  BOOST_TEST((hosts.candidates(at({})) == addresses{"s2", "s1", "s3", "near"}));
  for (const auto* it : {"s1", "s2", "s3"})
    hosts.note_failure(at({}), it);
  BOOST_TEST(hosts.preferred(at({})) == "");
  BOOST_TEST(hosts.candidates(at({})).size() == 4U);
}

// Guards against a log line for each failed attempt.
BOOST_AUTO_TEST_CASE(only_changes_are_news) {
  control_host_choice hosts({"s1"});
  BOOST_TEST(hosts.note_failure(at({}), "s1"));
  BOOST_TEST(!hosts.note_failure(at(milliseconds(100)), "s1"));
  BOOST_TEST(hosts.note_success("s1"));
  BOOST_TEST(!hosts.note_success("s1"));
}

// Guards against a reply without addresses that leaves a host with its seeds only.
BOOST_AUTO_TEST_CASE(learnt_hosts_stay_until_others_are_learnt) {
  control_host_choice hosts({"s1"});
  hosts.learn({"near"});
  hosts.learn({});
  hosts.set_seeds({"s2"});
  BOOST_TEST((hosts.candidates(at({})) == addresses{"near", "s2"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
