#include "support/zone_flow_model.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

// Compares rules for flows to other zones, on packet flows in virtual time, by load, demand and
// upstreams of the zones. Prints for each rule and zone: median and 99th percentile of the time to
// the end of the flow, the share of flows that end within the target, and the share that left the
// zone. Prints no bound: docs/design/cross-zone-spillover.md discusses the figures.

namespace {

using namespace zinnia;
using support::zone_flow_model;
using zone = zone_flow_model::zone;
using placement = zone_flow_model::placement;
using outcomes = std::vector<zone_flow_model::outcome>;

constexpr double target_ms = 500; // aim_ms of the users' routes
constexpr double service_ms = 100;
constexpr double delay_ms = 4; // one way
constexpr int slots = 2;
constexpr double upstream_flows_per_s = slots * 1'000 / service_ms;
constexpr int upstreams_per_zone = 12;
constexpr int zone_count = 4;
constexpr milliseconds settling{20'000};
constexpr double patience_ms = 4'200; // three attempts of 1.4 s

/// How demand and upstreams are distributed among the zones.
struct pattern {
  const char* name;
  std::vector<double> demand;    ///< relative
  std::vector<double> upstreams; ///< relative
};

std::vector<zone> zones_of(const pattern& it, double load) {
  std::vector<zone> out(zone_count);
  double demand = 0;
  int upstreams = 0;
  for (std::size_t n = 0; n < out.size(); ++n) {
    out[n].upstreams = static_cast<int>(upstreams_per_zone * it.upstreams[n]);
    upstreams += out[n].upstreams;
    demand += it.demand[n];
  }
  for (std::size_t n = 0; n < out.size(); ++n)
    out[n].flows_per_s = load * upstreams * upstream_flows_per_s * it.demand[n] / demand;
  return out;
}

// One queue for all zones: each flow gets the first free slot, of its own zone if there is one, and
// one whose wait would exceed the patience of its caller is refused at once.
outcomes central_queue(const std::vector<zone>& zones, milliseconds duration, std::uint64_t seed) {
  random_engine engine(seed);
  std::exponential_distribution<double> service(1 / service_ms);
  std::vector<std::vector<double>> free_at; // by zone and slot, in milliseconds
  std::vector<std::pair<double, int>> arrivals;
  for (std::size_t z = 0; z < zones.size(); ++z) {
    free_at.emplace_back(static_cast<std::size_t>(slots * zones[z].upstreams), 0.0);
    std::exponential_distribution<double> gap(zones[z].flows_per_s / 1'000);
    const auto end = static_cast<double>((settling + duration).count());
    for (double at = gap(engine); at < end; at += gap(engine))
      arrivals.emplace_back(at, static_cast<int>(z));
  }
  std::sort(arrivals.begin(), arrivals.end());
  outcomes out(zones.size());
  for (const auto& [arrival, from] : arrivals) {
    std::size_t best = static_cast<std::size_t>(from);
    auto slot = std::min_element(free_at[best].begin(), free_at[best].end());
    for (std::size_t z = 0; z < zones.size() && *slot > arrival; ++z) {
      const auto other = std::min_element(free_at[z].begin(), free_at[z].end());
      if (*other < *slot) {
        slot = other;
        best = z;
      }
    }
    auto& seen = out[static_cast<std::size_t>(from)];
    const auto begin = std::max(arrival, *slot);
    const auto is_measured = arrival >= static_cast<double>(settling.count());
    if (begin - arrival > patience_ms) {
      seen.failed += is_measured ? 1 : 0;
      continue;
    }
    *slot = begin + service(engine);
    if (!is_measured) continue;
    ++seen.opened[static_cast<int>(best)];
    const auto crossing = best == static_cast<std::size_t>(from) ? 0 : 4 * delay_ms;
    seen.durations_ms.push_back(*slot - arrival + crossing);
  }
  return out;
}

outcomes run_model(const std::vector<zone>& zones, placement rule, milliseconds duration,
                   std::uint64_t seed) {
  zone_flow_model::options settings;
  settings.service_ms = service_ms;
  settings.delay_ms = delay_ms;
  settings.seed = seed;
  zone_flow_model model(zones, rule, settings);
  model.run(settling);
  return model.run(duration);
}

double percentile(std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void print(const std::string& where, const char* rule, outcomes seen) {
  double in_time_sum = 0;
  double total = 0;
  double left = 0;
  for (std::size_t z = 0; z < seen.size(); ++z) {
    auto& times = seen[z].durations_ms;
    std::sort(times.begin(), times.end());
    const auto in_time = std::lower_bound(times.begin(), times.end(), target_ms) - times.begin();
    const auto all = static_cast<double>(std::max(seen[z].total(), 1));
    const auto own = static_cast<int>(z);
    std::printf("%s | %s | zone %c | p50 %.0f ms | p99 %.0f ms | in time %.1f %% | left %.1f %%\n",
                where.c_str(), rule, 'a' + own, percentile(times, 0.5), percentile(times, 0.99),
                100 * static_cast<double>(in_time) / all, 100 * seen[z].left(own));
    in_time_sum += static_cast<double>(in_time);
    total += all;
    left += all * seen[z].left(own);
  }
  std::printf("%s | %s | all zones | in time %.1f %% | left %.1f %%\n", where.c_str(), rule,
              100 * in_time_sum / total, 100 * left / total);
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("demand and upstreams, load | rule | zone | p50 | p99 | in time | left");
  unsigned length = 60;
  std::uint64_t seed = 1;
  app.add_option("--length", length, "measured seconds per run, in virtual time");
  app.add_option("--seed", seed, "seed of the runs");
  CLI11_PARSE(app, argc, argv);

  const std::vector<pattern> patterns{
      {"even", {1, 1, 1, 1}, {1, 1, 1, 1}},
      {"demand 2:1:1:1", {2, 1, 1, 1}, {1, 1, 1, 1}},
      {"upstreams 1:2:2:2", {1, 1, 1, 1}, {0.5, 1, 1, 1}},
  };
  const std::vector<std::pair<const char*, placement>> rules{
      {"never leave", placement::never_leave},
      {"present rule", placement::present_rule},
      {"random zone", placement::random_zone},
      {"adaptive", placement::adaptive},
  };
  const auto duration = milliseconds(1'000) * length;
  for (const auto& it : patterns) {
    for (const double load : {0.5, 0.8, 1.0, 1.3}) {
      const auto zones = zones_of(it, load);
      char where[64];
      std::snprintf(where, sizeof(where), "%s, %.1f", it.name, load);
      for (const auto& [name, rule] : rules)
        print(where, name, run_model(zones, rule, duration, seed));
      print(where, "central queue", central_queue(zones, duration, seed));
    }
  }
  return 0;
}
