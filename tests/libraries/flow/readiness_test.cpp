#include "zinniarelay/flow/readiness.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::time_at;

BOOST_AUTO_TEST_SUITE(readiness_test)

// Guards against a starting host that serves by an outdated declaration of a partitioned
// control host, and against a partitioned zone that never serves.
BOOST_AUTO_TEST_CASE(first_declaration_is_accepted_when_confirmed_or_after_delay) {
  const readiness host({}, time_at({}));
  using trust = declaration_trust;
  BOOST_TEST(host.is_acceptable(time_at({}), trust::confirmed, false));
  BOOST_TEST(!host.is_acceptable(time_at(milliseconds(1'000)), trust::unconfirmed, false));
  BOOST_TEST(host.is_acceptable(time_at(milliseconds(1'000)), trust::unconfirmed, true));
  BOOST_TEST(host.is_acceptable(time_at(milliseconds(5'000)), trust::unconfirmed, false));
}

// Guards against entry hosts that wait for an election after a loss of all power.
BOOST_AUTO_TEST_CASE(restored_declaration_is_accepted_immediately) {
  const readiness host({}, time_at({}));
  BOOST_TEST(host.is_acceptable(time_at({}), declaration_trust::restored, false));
}

// Guards against readiness that follows the number of upstreams: each change of readiness
// moves the flows of a zone.
BOOST_AUTO_TEST_CASE(ready_host_stays_ready_until_it_stops) {
  readiness host({}, time_at({}));
  host.set_serving(true, false);
  BOOST_TEST(!host.is_ready());
  host.set_serving(true, true);
  host.set_serving(true, false);
  BOOST_TEST(host.is_ready());
  host.stop(time_at({}));
  BOOST_TEST(!host.is_ready());
}

// Guards against an exit while packets of callers still arrive, and against a stop that never
// completes.
BOOST_AUTO_TEST_CASE(stopping_host_exits_without_packets_or_after_grace_period) {
  readiness host({}, time_at({}));
  host.stop(time_at({}));
  BOOST_TEST(!host.may_exit(time_at(milliseconds(1'000)), time_at({})));
  BOOST_TEST(!host.may_exit(time_at(milliseconds(2'500)), time_at(milliseconds(2'400))));
  BOOST_TEST(host.may_exit(time_at(milliseconds(2'900)), time_at(milliseconds(2'400))));
  BOOST_TEST(host.may_exit(time_at(milliseconds(5'001)), time_at(milliseconds(5'000))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
