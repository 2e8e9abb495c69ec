#include "zinniarelay/control/update_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace zinnia {
namespace {

constexpr milliseconds tick{20};

wire::news_request request_of(std::uint32_t wait_ms) {
  wire::news_request out;
  out.set_wait_ms(wait_ms);
  return out;
}

bool always(const wire::news_request& /*request*/) {
  return true;
}
bool never(const wire::news_request& /*request*/) {
  return false;
}

time_point at(milliseconds value) {
  return time_point{} + value;
}

BOOST_AUTO_TEST_SUITE(update_queue_test)

// Guards against control hosts without processor time for their group while all hosts and
// upstreams start: 194 entry hosts wait, an upstream changes every 4 ms, and each reply is
// followed by another request.
BOOST_AUTO_TEST_CASE(replies_are_limited_while_all_upstreams_start) {
  update_queue queue;
  for (int n = 0; n < 194; ++n)
    queue.add(at({}), request_of(2'000));
  std::size_t replies = 0;
  for (milliseconds now{0}; now < milliseconds(1'200); now += tick) {
    const auto due = queue.take_due(at(now), always);
    replies += due.size();
    for (std::size_t n = 0; n < due.size(); ++n)
      queue.add(at(now), request_of(2'000));
  }
  BOOST_TEST(replies <= 300U);
}

// Guards against a host that never gets its turn while others have urgent updates all the time.
BOOST_AUTO_TEST_CASE(each_host_gets_its_reply_within_a_second) {
  update_queue queue;
  constexpr std::size_t hosts = 194;
  std::vector<std::uint64_t> first;
  first.reserve(hosts);
  for (std::size_t n = 0; n < hosts; ++n)
    first.push_back(queue.add(at({}), request_of(2'000)));
  std::vector<std::uint64_t> answered;
  for (milliseconds now{0}; now <= milliseconds(1'000); now += tick) {
    for (const auto ticket : queue.take_due(at(now), always)) {
      answered.push_back(ticket);
      queue.add(at(now), request_of(2'000));
    }
  }
  for (const auto ticket : first)
    BOOST_TEST(std::count(answered.begin(), answered.end(), ticket) == 1);
}

// Guards against a reply that comes too late: an entry host without a reply in time takes its
// control host for lost.
BOOST_AUTO_TEST_CASE(wait_that_has_passed_is_answered_at_any_rate) {
  update_queue queue;
  for (int n = 0; n < 1'000; ++n)
    queue.add(at({}), request_of(500));
  BOOST_TEST(queue.take_due(at(milliseconds(480)), never).empty());
  BOOST_TEST(queue.take_due(at(milliseconds(500)), never).size() == 1'000U);
  BOOST_TEST(queue.size() == 0U);
}

// Guards against a reply to a call that has ended.
BOOST_AUTO_TEST_CASE(removed_request_is_not_taken) {
  update_queue queue;
  const auto ticket = queue.add(at({}), request_of(500));
  BOOST_TEST(queue.remove(ticket));
  BOOST_TEST(!queue.remove(ticket));
  BOOST_TEST(queue.take_due(at(milliseconds(500)), always).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
