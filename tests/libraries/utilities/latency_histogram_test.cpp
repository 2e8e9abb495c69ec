#include "../utilities/caller/latency_histogram.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

BOOST_AUTO_TEST_SUITE(latency_histogram_test)

// Guards against a caller that never terminates. With the default storage of Boost.Histogram,
// printing looped forever at the first comparison of a cell.
BOOST_AUTO_TEST_CASE(prints_each_nonempty_bin) {
  zinnia::utilities::latency_histogram latencies;
  latencies.add(zinnia::milliseconds(1));
  latencies.add(zinnia::milliseconds(1));
  latencies.add(zinnia::milliseconds(50));
  std::ostringstream out;
  latencies.print(out);
  const auto text = out.str();
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 3); // heading and two bins
  BOOST_TEST(text.find("66.67%") != std::string::npos);
  BOOST_TEST(text.find("100.00%") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
