#include "zinniarelay/flow/readiness.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::at;

BOOST_AUTO_TEST_SUITE(readiness_test)

// Guards against a starting host that serves by an old declaration of a control host
// that is cut off, and against a cut-off zone that never serves.
BOOST_AUTO_TEST_CASE(first_declaration_is_confirmed_or_late) {
  const readiness host({}, at({}));
  using trust = declaration_trust;
  BOOST_TEST(host.is_acceptable(at({}), trust::confirmed, false));
  BOOST_TEST(!host.is_acceptable(at(milliseconds(1'000)), trust::unconfirmed, false));
  BOOST_TEST(host.is_acceptable(at(milliseconds(1'000)), trust::unconfirmed, true));
  BOOST_TEST(host.is_acceptable(at(milliseconds(5'000)), trust::unconfirmed, false));
}

// Guards against a loss of all power after which entry hosts wait for an election.
BOOST_AUTO_TEST_CASE(recalled_declaration_is_taken_at_once) {
  const readiness host({}, at({}));
  BOOST_TEST(host.is_acceptable(at({}), declaration_trust::recalled, false));
}

// Guards against readiness that changes with the table of upstreams: each change
// moves the flows of a zone.
BOOST_AUTO_TEST_CASE(ready_host_stays_ready_until_it_stops) {
  readiness host({}, at({}));
  host.set_serving(true, false);
  BOOST_TEST(!host.is_ready());
  host.set_serving(true, true);
  host.set_serving(true, false);
  BOOST_TEST(host.is_ready());
  host.stop(at({}));
  BOOST_TEST(!host.is_ready());
}

// Guards against a stop that cuts flows which still arrive, and one without end.
BOOST_AUTO_TEST_CASE(stopping_host_waits_until_packets_go_elsewhere) {
  readiness host({}, at({}));
  host.stop(at({}));
  BOOST_TEST(!host.may_end(at(milliseconds(1'000)), at({})));
  BOOST_TEST(!host.may_end(at(milliseconds(2'500)), at(milliseconds(2'400))));
  BOOST_TEST(host.may_end(at(milliseconds(2'900)), at(milliseconds(2'400))));
  BOOST_TEST(host.may_end(at(milliseconds(5'001)), at(milliseconds(5'000))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
