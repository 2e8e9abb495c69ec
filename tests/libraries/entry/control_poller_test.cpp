#include "zinniarelay/entry/control_poller.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

const endpoint first{1, 7001};
const endpoint second{2, 7001};

time_point at(int ms) {
  return time_point(milliseconds(ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_poller_test)

BOOST_AUTO_TEST_CASE(polls_the_preferred_host_once_a_second) {
  control_poller poller({first, second});
  BOOST_TEST((poller.due(at(0)) == first));
  BOOST_TEST(!poller.due(at(10)).has_value()); // one poll at a time
  poller.on_reply(at(20), milliseconds(5));
  BOOST_TEST(!poller.due(at(1000)).has_value());
  BOOST_TEST((poller.due(at(1020)) == first));
}

// Guards against a host that keeps asking a control host which is isolated from
// the quorum, and so never sees an accepted change.
BOOST_AUTO_TEST_CASE(leaves_a_control_host_without_a_quorum) {
  control_poller poller({first, second});
  poller.due(at(0));
  poller.on_reply(at(10), milliseconds(1500));
  BOOST_TEST(!poller.confirmed_age(at(20)).has_value());
  BOOST_TEST((poller.due(at(210)) == second));
  poller.on_reply(at(220), milliseconds(0));
  BOOST_TEST((poller.confirmed_age(at(320)) == milliseconds(100)));
  BOOST_TEST((poller.due(at(1220)) == second));
}

// Guards against a failed poll delaying a change past 3 s: two failures and the
// poll that succeeds must fit.
BOOST_AUTO_TEST_CASE(repeats_a_failed_poll_soon_at_another_host) {
  control_poller poller({first, second});
  poller.due(at(0));
  poller.on_failure(at(800));
  BOOST_TEST(!poller.due(at(900)).has_value());
  BOOST_TEST((poller.due(at(1000)) == second));
  poller.on_failure(at(1800));
  BOOST_TEST((poller.due(at(2000)) == first));
}

BOOST_AUTO_TEST_CASE(returns_to_the_preferred_host) {
  control_poller poller({first, second});
  poller.due(at(0));
  poller.on_failure(at(100));
  BOOST_TEST((poller.due(at(300)) == second));
  poller.on_reply(at(310), milliseconds(0));
  BOOST_TEST((poller.due(at(31'000)) == first));
}

BOOST_AUTO_TEST_SUITE_END()
