#include "../utilities/common/generated_content.h"

#include <boost/test/unit_test.hpp>

using namespace zinnia::utilities;

BOOST_AUTO_TEST_SUITE(generated_content_test)

// Guards against a proof that blames a relay for ranges that the upstream itself cut wrongly.
BOOST_AUTO_TEST_CASE(ranges_of_any_length_make_up_the_content) {
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

// Guards against a caller that takes the answer to another request for its own.
BOOST_AUTO_TEST_CASE(answers_differ_by_service_method_and_payload) {
  const auto own = expected_answer("registry", "lookup", request_payload(3'000, "1/1"));
  BOOST_TEST(own.size() == 3'000U);
  BOOST_TEST(own != expected_answer("catalogue", "lookup", request_payload(3'000, "1/1")));
  BOOST_TEST(own != expected_answer("registry", "certify", request_payload(3'000, "1/1")));
  BOOST_TEST(own != expected_answer("registry", "lookup", request_payload(3'000, "1/2")));
}

BOOST_AUTO_TEST_SUITE_END()
