#include "zinniarelay/core/endpoint.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(endpoint_test)

BOOST_AUTO_TEST_CASE(parse_and_format_round_trip) {
  const auto value = zinnia::endpoint::parse("10.1.2.3:7000").value();
  BOOST_TEST(value.address == 0x0A010203U);
  BOOST_TEST(value.port == 7000);
  BOOST_TEST(value.to_string() == "10.1.2.3:7000");
}

// Guards against reading a mistyped setting as another address.
BOOST_AUTO_TEST_CASE(rejects_text_without_address_and_port) {
  for (const auto* text : {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536",
                           "10.1.2.3:7x", "host:7000", "::1:70"})
    BOOST_TEST(!zinnia::endpoint::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
