#include "zinniarelay/chart/state_chart.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/observe/metric_registry.h"

#include <benchmark/benchmark.h>
#include <vector>

namespace {

using namespace zinnia;

/// Measures one step of the chart of requests, including reading its actions.
void chart_step(benchmark::State& state) {
  const auto chart =
      state_chart::load(std::filesystem::path(ZINNIA_CHART_DIR) / "request.yaml").value();
  random_engine engine(1);
  std::vector<state_chart::index> events(4096);
  for (auto& event : events)
    event = static_cast<state_chart::index>(engine() % chart.events().size());
  state_chart::index current = chart.start();
  std::size_t next = 0;
  std::size_t actions = 0;
  for (auto unused : state) {
    const auto step = chart.step(current, events[next++ % events.size()]);
    actions += step.actions.size();
    current = chart.is_final(step.next) ? chart.start() : step.next;
    benchmark::DoNotOptimize(actions);
  }
}
BENCHMARK(chart_step);

void counter_add(benchmark::State& state) {
  metric_registry registry;
  auto& refused = registry.counter_of("refused");
  for (auto unused : state)
    refused.add();
}
BENCHMARK(counter_add);

void distribution_record(benchmark::State& state) {
  distribution wait;
  random_engine engine(1);
  for (auto unused : state)
    wait.record(static_cast<double>(engine() % 10'000));
}
BENCHMARK(distribution_record);

} // namespace

BENCHMARK_MAIN();
