#include "zinniarelay/core/random.h"
#include "zinniarelay/observe/metric_registry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <vector>

namespace {

using namespace zinnia;

std::vector<std::string> lines_of(const wire::metrics_reply& reply) {
  std::vector<std::string> out;
  for (const auto& it : reply.metrics())
    out.push_back(it.name() + '{' + it.labels() + "} " + std::to_string(it.value()));
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metric_registry_test)

BOOST_AUTO_TEST_CASE(reports_every_metric_by_name) {
  metric_registry registry;
  registry.counter_of("refused", "cause=forged").add(2);
  registry.counter_of("refused", "cause=forged").add();
  registry.counter_of("refused", "cause=malformed").add();
  registry.gauge_of("open_records").set(7);
  registry.distribution_of("wait_ms").record(4);
  registry.distribution_of("wait_ms").record(8);
  const std::vector<std::string> expected{"open_records{} 7.000000",
                                          "refused{cause=forged} 3.000000",
                                          "refused{cause=malformed} 1.000000",
                                          "wait_ms_count{} 2.000000",
                                          "wait_ms_max{} 8.000000",
                                          "wait_ms_mean{} 6.000000"};
  BOOST_TEST(lines_of(registry.report()) == expected, boost::test_tools::per_element());
}

// Guards against inaccurate quantiles, which mislead an operator about the slowest
// requests.
BOOST_AUTO_TEST_CASE(quantile_estimates_are_close_to_exact_values) {
  std::vector<double> values(20'000);
  std::iota(values.begin(), values.end(), 1);
  random_engine engine(7);
  std::shuffle(values.begin(), values.end(), engine);
  distribution wait;
  for (const double it : values)
    wait.record(it);
  const auto summary = wait.read();
  BOOST_TEST(summary.count == 20'000U);
  BOOST_TEST(summary.max == 20'000.0);
  BOOST_TEST(summary.mean == 10'000.5, boost::test_tools::tolerance(1e-9));
  for (const auto& [probability, estimate] : summary.quantiles)
    BOOST_TEST(estimate == probability * 20'000, boost::test_tools::tolerance(0.02));
  BOOST_TEST(summary.quantiles.size() == 4U);
}

// Guards against reporting quantiles of few values, for which the estimator returns its
// initial markers.
BOOST_AUTO_TEST_CASE(few_values_have_no_quantiles) {
  distribution wait;
  BOOST_TEST(wait.read().count == 0U);
  BOOST_TEST(wait.read().max == 0.0);
  for (std::uint64_t i = 1; i < distribution::min_samples; ++i)
    wait.record(5);
  BOOST_TEST(wait.read().quantiles.empty());
  wait.record(5);
  BOOST_TEST(wait.read().quantiles.at(0.5) == 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
