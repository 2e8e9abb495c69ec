#include "zinniarelay/observe/log_line.h"

#include <boost/test/unit_test.hpp>
#include <concepts>

namespace {

using namespace zinnia;

template <class Value>
concept loggable = requires(log_line& line, const Value& value) {
  line.with("key", value);
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_line_test)

BOOST_AUTO_TEST_CASE(writes_fields_in_order) {
  log_line line(log_level::warning, "host_suspected");
  line.with("peer", endpoint::parse("10.0.0.1:7000").value())
      .with("member", host_id{12})
      .with("load", 0.5)
      .with("left", false);
  BOOST_TEST(line.text() == "level=warning host=0 zone=0 event=host_suspected peer=10.0.0.1:7000 "
                            "member=12 load=0.5 left=0");
}

// Guards against a received name that forges fields or lines in the log.
BOOST_AUTO_TEST_CASE(quotes_values_that_could_forge_fields) {
  log_line line(log_level::info, "refused");
  line.with("service", "a b=c\n\"d\" \\ \xC3\xA9").with("empty", "");
  BOOST_TEST(line.text() == "level=info host=0 zone=0 event=refused "
                            "service=\"a b=c\\x0a\\\"d\\\" \\\\ \\xc3\\xa9\" empty=\"\"");
}

// Guards against one oversized value that fills the disk of a host.
BOOST_AUTO_TEST_CASE(truncates_long_values) {
  log_line line(log_level::info, "refused");
  line.with("name", std::string(100'000, 'x'));
  BOOST_TEST(line.text().size() < 400U);
}

// Guards against writing a token key to the log.
BOOST_AUTO_TEST_CASE(keys_cannot_be_logged) {
  static_assert(!loggable<token_key>);
  static_assert(loggable<std::string>);
}

BOOST_AUTO_TEST_SUITE_END()
