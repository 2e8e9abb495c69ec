#include "../utilities/common/generated_content.h"

#include <boost/test/unit_test.hpp>

using namespace zinnia::utilities;

BOOST_AUTO_TEST_SUITE(generated_content_test)

// Guards against wrong ranges from the simulated upstream, which a proof would report as a fault
// of the relay.
BOOST_AUTO_TEST_CASE(joined_ranges_equal_the_content) {
  const generated_content content("catalogue@1", 1'000);
  const auto whole = content.bytes(0, 5'000);
  BOOST_TEST(whole.size() == 1'000U);
  BOOST_TEST(zinnia::content_digest(whole) == content.digest());
  for (const std::uint64_t length : {1U, 63U, 64U, 65U, 999U}) {
    std::string joined;
    while (joined.size() < whole.size())
      joined += content.bytes(joined.size(), length);
    BOOST_TEST(joined == whole);
  }
  BOOST_TEST(content.bytes(1'000, 10).empty());
  BOOST_TEST(content.bytes(2'000, 10).empty());
}

// Guards against a caller that accepts the answer to another request as correct.
BOOST_AUTO_TEST_CASE(answers_differ_by_service_method_and_payload) {
  const auto answer = expected_answer("registry", "lookup", request_payload(3'000, "1/1"));
  BOOST_TEST(answer.size() == 3'000U);
  BOOST_TEST(answer != expected_answer("catalogue", "lookup", request_payload(3'000, "1/1")));
  BOOST_TEST(answer != expected_answer("registry", "certify", request_payload(3'000, "1/1")));
  BOOST_TEST(answer != expected_answer("registry", "lookup", request_payload(3'000, "1/2")));
}

BOOST_AUTO_TEST_SUITE_END()
