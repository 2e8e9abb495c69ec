#include "../utilities/fabric/impairments.h"

#include <boost/test/unit_test.hpp>

using namespace zinnia;
using utilities::impairments;

BOOST_AUTO_TEST_SUITE(impairments_test)

// Guards against proofs that pass because the fabric applied no faults.
BOOST_AUTO_TEST_CASE(lost_and_duplicated_shares_match_the_options) {
  random_engine random(7);
  impairments faults;
  faults.loss = 0.2;
  faults.duplicate = 0.5;
  int lost = 0;
  int duplicated = 0;
  for (int n = 0; n < 10'000; ++n) {
    const auto times = faults.delivery_times(time_point(), random);
    lost += times.empty() ? 1 : 0;
    duplicated += times.size() == 2 ? 1 : 0;
  }
  BOOST_TEST(lost > 1'800);
  BOOST_TEST(lost < 2'200);
  BOOST_TEST(duplicated > 3'700);
  BOOST_TEST(duplicated < 4'300);
}

// Guards against a fabric that delays packets by less or more than the configured bounds.
BOOST_AUTO_TEST_CASE(delays_stay_between_delay_and_delay_with_jitter) {
  random_engine random(7);
  impairments faults;
  faults.delay = milliseconds(5);
  faults.jitter = milliseconds(3);
  for (int n = 0; n < 1'000; ++n) {
    const auto times = faults.delivery_times(time_point(), random);
    BOOST_REQUIRE(times.size() == 1);
    BOOST_TEST((times[0] >= time_point(milliseconds(5))));
    BOOST_TEST((times[0] <= time_point(milliseconds(8))));
  }
}

BOOST_AUTO_TEST_SUITE_END()
