#include "zinniarelay/entry/host_drain.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

host_drain make() {
  return host_drain::create(ZINNIA_CHART_DIR "/host_drain.yaml").value();
}

bool contains(const std::vector<drain_action>& actions, drain_action expected) {
  return std::find(actions.begin(), actions.end(), expected) != actions.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_drain_test)

// Guards against a planned stop that ends while a request or an answer is pending.
BOOST_AUTO_TEST_CASE(drained_only_after_requests_and_answers) {
  auto drain = make();
  BOOST_TEST(drain.is_serving());
  BOOST_TEST(contains(drain.step(drain_event::drain_requested), drain_action::refuse_opens));
  drain.step(drain_event::answers_settled);
  BOOST_TEST(!drain.is_drained());
  drain.step(drain_event::requests_finished);
  BOOST_TEST(!drain.is_drained());
  drain.step(drain_event::answers_settled);
  BOOST_TEST(drain.is_drained());
}

BOOST_AUTO_TEST_CASE(undone_drain_serves_again_from_every_state) {
  for (int steps = 1; steps <= 3; ++steps) {
    auto drain = make();
    drain.step(drain_event::drain_requested);
    if (steps >= 2) drain.step(drain_event::requests_finished);
    if (steps >= 3) drain.step(drain_event::answers_settled);
    BOOST_TEST(contains(drain.step(drain_event::drain_undone), drain_action::accept_opens));
    BOOST_TEST(drain.is_serving());
  }
}

BOOST_AUTO_TEST_CASE(missing_chart_is_a_finding) {
  BOOST_TEST(!host_drain::create("/nonexistent/host_drain.yaml").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
