#include "zinniarelay/http/connection_limiter.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

BOOST_AUTO_TEST_SUITE(connection_limiter_test)

// Guards against an unbounded number of connections, and against closing a connection that makes
// progress instead of one that has stalled.
BOOST_AUTO_TEST_CASE(oldest_waiting_connection_is_closed_first) {
  connection_limiter limiter(2);
  const auto first = limiter.add();
  const auto second = limiter.add();
  BOOST_TEST(!limiter.excess().has_value());
  limiter.add();
  BOOST_REQUIRE(limiter.excess().has_value());
  BOOST_TEST(*limiter.excess() == first);
  limiter.remove(first);
  BOOST_TEST(!limiter.excess().has_value());
  limiter.add();
  BOOST_TEST(*limiter.excess() == second);
}

// Guards against cutting off a request that has been accepted and is being handled.
BOOST_AUTO_TEST_CASE(connection_is_kept_while_its_request_is_handled) {
  connection_limiter limiter(1);
  const auto first = limiter.add();
  limiter.set_handling(first);
  const auto second = limiter.add();
  BOOST_TEST(*limiter.excess() == second);
  limiter.set_handling(second);
  BOOST_TEST(!limiter.excess().has_value());
  limiter.set_responding(first);
  BOOST_TEST(*limiter.excess() == first);
}

// Guards against closing a connection that has ended already.
BOOST_AUTO_TEST_CASE(removed_connection_is_not_closed) {
  connection_limiter limiter(1);
  const auto first = limiter.add();
  limiter.remove(first);
  BOOST_TEST(limiter.size() == 0);
  BOOST_TEST(!limiter.slowest().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
