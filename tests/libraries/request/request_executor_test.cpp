#include "executor_fixture.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;
using namespace zinnia::fakes;

constexpr attempt_key first{{flow_id{7}, 1}, 1};
constexpr attempt_key second{{flow_id{7}, 1}, 2};

} // namespace

BOOST_AUTO_TEST_SUITE(request_executor_test)

// Guards against a duplicate or a late packet running a request twice (R8).
BOOST_AUTO_TEST_CASE(a_request_runs_once_whatever_arrives_again) {
  executor_fixture host;
  const auto token = host.token();
  BOOST_TEST(all_of<dispatch_request>(host.send_new()).size() == 1U);
  BOOST_TEST(host.outcome_is_pending(host.send_new()));
  BOOST_TEST((host.executor.on_dispatch_started(host.now, first) == start_permission::granted));
  BOOST_TEST((host.executor.on_dispatch_started(host.now, first) == start_permission::withdrawn));
  BOOST_TEST(all_of<dispatch_request>(host.send_new()).empty());
  BOOST_TEST(parts_of(host.finish(first, dispatch_outcome::done, "billed")).size() == 1U);
  const auto again = parts_of(host.send_new());
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST(again[0].data() == "billed");
  BOOST_TEST(host.executor.unacknowledged() == 1U);
  host.executor.on_ack(host.now, token, 1);
  BOOST_TEST(host.executor.unacknowledged() == 0U);
  BOOST_TEST(host.send_new().empty());
}

BOOST_AUTO_TEST_SUITE_END()
