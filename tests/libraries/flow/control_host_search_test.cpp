#include "zinniarelay/flow/control_host_search.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::time_at;

BOOST_AUTO_TEST_SUITE(control_host_search_test)

// Guards against a host without power that delays the search until its request times out.
BOOST_AUTO_TEST_CASE(next_host_is_asked_without_waiting_for_a_reply) {
  control_host_search search(time_at({}), random_engine(1));
  search.add({"a", "b", "c"});
  BOOST_TEST(search.take_due(time_at({}))->address == "a");
  BOOST_TEST(!search.take_due(time_at(milliseconds(100))));
  BOOST_TEST(search.take_due(time_at(milliseconds(120)))->address == "b");
  BOOST_TEST(!search.take_due(time_at(milliseconds(230))));
  BOOST_TEST(search.take_due(time_at(milliseconds(240)))->address == "c");
  BOOST_TEST(!search.next_due());
}

// Guards against requests to all control hosts while the preferred one holds a request, and
// against an entry host that gives up its request to an overloaded host and sends it again.
BOOST_AUTO_TEST_CASE(preferred_host_has_time_to_reply) {
  control_host_search search(time_at({}), random_engine(1), "p", milliseconds(1'200));
  search.add({"a", "p"});
  BOOST_TEST(search.take_due(time_at({}))->address == "p");
  BOOST_TEST(!search.take_due(time_at(milliseconds(1'190))));
  BOOST_TEST(search.take_due(time_at(milliseconds(1'200)))->address == "a");
  BOOST_TEST(!search.take_due(time_at(milliseconds(9'000))));
}

// Guards against attempts to connect that are given up and repeated while the host is overloaded.
BOOST_AUTO_TEST_CASE(time_to_connect_grows_with_failures) {
  control_host_search search(time_at({}), random_engine(1));
  search.add({"a"});
  auto now = time_at({});
  for (const int expected_ms : {300, 600, 1'200, 2'400, 2'400}) {
    const auto due = search.take_due(now);
    BOOST_TEST_REQUIRE(due.has_value());
    BOOST_TEST(due->connect_timeout.count() == expected_ms);
    search.record_failure(now, "a");
    now += milliseconds(2'000);
  }
}

// Guards against a search that finds control hosts hundreds of milliseconds after their start.
// After a loss of all power they refuse connections until their processes have started.
BOOST_AUTO_TEST_CASE(starting_host_is_found_soon) {
  for (std::uint64_t host = 0; host < 20; ++host) {
    control_host_search search(time_at({}), random_engine(host));
    search.add({"a"});
    milliseconds now{0};
    const milliseconds started{500};
    for (; now < milliseconds(2'000); ++now) {
      if (!search.take_due(time_at(now))) continue;
      if (now >= started) break;
      search.record_refusal(time_at(now), "a");
    }
    BOOST_TEST((now - started).count() <= 75);
  }
}

// Guards against a search that waits for a pause, or asks only the seeds, although another control
// host has announced its start.
BOOST_AUTO_TEST_CASE(started_host_is_asked_at_once) {
  control_host_search search(time_at({}), random_engine(1));
  search.add({"a"});
  search.take_due(time_at({}));
  search.record_start(time_at(milliseconds(10)), "d");
  BOOST_TEST(search.take_due(time_at(milliseconds(10)))->address == "d");
  for (int n = 0; n < 5; ++n)
    search.record_failure(time_at(milliseconds(20)), "a");
  search.record_start(time_at(milliseconds(30)), "a");
  const auto due = search.take_due(time_at(milliseconds(30)));
  BOOST_TEST_REQUIRE(due.has_value());
  BOOST_TEST(due->address == "a");
  BOOST_TEST(due->connect_timeout.count() == 300);
}

// Guards against an unlimited rate of requests to a host whose process does not start.
BOOST_AUTO_TEST_CASE(refusals_are_repeated_less_often_after_a_while) {
  control_host_search search(time_at({}), random_engine(1));
  search.add({"a"});
  int requests = 0;
  for (milliseconds now{0}; now < milliseconds(10'000); ++now) {
    if (!search.take_due(time_at(now))) continue;
    ++requests;
    search.record_refusal(time_at(now), "a");
  }
  BOOST_TEST(requests <= 34);
}

// Guards against a search that waits although its only request has failed.
BOOST_AUTO_TEST_CASE(next_host_is_asked_at_once_after_a_failure) {
  control_host_search search(time_at({}), random_engine(1));
  search.add({"a", "b"});
  BOOST_TEST(search.take_due(time_at({}))->address == "a");
  search.record_failure(time_at(milliseconds(1)), "a");
  BOOST_TEST(search.take_due(time_at(milliseconds(1)))->address == "b");
}

// Guards against overloaded control hosts that get further requests from the hosts which wait for
// them: 194 entry hosts search at the same time, and no control host replies for 10 s.
BOOST_AUTO_TEST_CASE(silent_host_gets_one_request) {
  std::size_t requests = 0;
  for (std::uint64_t host = 0; host < 194; ++host) {
    control_host_search search(time_at({}), random_engine(host));
    search.add({"a", "b", "c"});
    for (milliseconds now{0}; now < milliseconds(10'000); now += milliseconds(10))
      while (search.take_due(time_at(now)))
        ++requests;
  }
  BOOST_TEST(requests == 3U * 194);
}

// Guards against hosts that repeat failed requests at a constant rate, and all at the same time.
BOOST_AUTO_TEST_CASE(pauses_after_failures_grow_and_differ) {
  std::vector<std::size_t> counts(2);
  std::vector<time_point> second_requests;
  for (std::uint64_t host = 0; host < 2; ++host) {
    control_host_search search(time_at({}), random_engine(host));
    search.add({"a"});
    for (milliseconds now{0}; now < milliseconds(10'000); now += milliseconds(1)) {
      if (!search.take_due(time_at(now))) continue;
      if (++counts[host] == 2) second_requests.push_back(time_at(now));
      search.record_failure(time_at(now), "a");
    }
    BOOST_TEST(counts[host] <= 14U);
    BOOST_TEST(counts[host] >= 6U);
  }
  BOOST_TEST((second_requests.at(0) != second_requests.at(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
