#include "zinniarelay/flow/load_reporter.h"

#include "zinniarelay/flow/load_report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace zinnia {
namespace {

constexpr milliseconds report_interval{1'000};
// Keeps the entry hosts from reporting in step.
constexpr milliseconds max_jitter{100};
constexpr milliseconds min_interval{100};
// One datagram of 1,400 bytes, less the fields of the notice around the report.
constexpr std::size_t max_report_bytes = 1'380;
// Of one element besides its content: key and length.
constexpr std::size_t element_overhead_bytes = 3;

} // namespace

load_reporter::load_reporter(identity self, random_engine engine)
    : self_(std::move(self)), engine_(engine),
      process_(std::uniform_int_distribution<std::uint64_t>(1)(engine_)) {}

milliseconds load_reporter::next_interval() {
  std::uniform_int_distribution<milliseconds::rep> jitter(-max_jitter.count(), max_jitter.count());
  return report_interval + milliseconds(jitter(engine_));
}

void load_reporter::record_opening(const upstream_directory::entry& upstream) {
  ++opened_[{upstream.report.service, upstream.report.zone}];
}

std::optional<wire::flow_load> load_reporter::take_due(time_point now,
                                                       const upstream_directory& upstreams,
                                                       const flow_table& flows,
                                                       const upstream_selector& selector) {
  if (!last_regular_) {
    last_regular_ = now;
    next_regular_ = now + next_interval();
  }
  if (last_report_ && now - *last_report_ < min_interval) return std::nullopt;
  const bool is_regular = now >= next_regular_;
  const bool is_notable = selector.last_notable_event() > last_report_.value_or(time_point{});
  if (!is_regular && !is_notable) return std::nullopt;
  if (is_regular) {
    const std::chrono::duration<double> elapsed = now - *last_regular_;
    for (auto& [key, count] : opened_)
      count = static_cast<std::uint32_t>(std::lround(count / elapsed.count()));
    opened_per_s_ = std::exchange(opened_, {});
    last_regular_ = now;
    next_regular_ = now + next_interval();
  }
  const auto previous = std::exchange(last_report_, now);
  wire::flow_load out;
  out.set_format(load_report_format);
  out.set_host(self_.host);
  out.set_zone(self_.zone);
  out.set_process(process_);
  out.set_sequence(++sequence_);
  out.set_is_partial(!is_regular);
  add_upstreams(
      now, is_regular ? now - load_report_lifetime : previous.value_or(now - load_report_lifetime),
      selector, out);
  if (is_regular) add_flows(upstreams, flows, out);
  return out;
}

void load_reporter::add_upstreams(time_point now, time_point since,
                                  const upstream_selector& selector, wire::flow_load& out) {
  using observation = upstream_selector::health_observation;
  std::vector<std::pair<time_point, std::uint64_t>> latest;
  for (const auto& [incarnation, seen] : selector.health_observations()) {
    const auto last = std::max(seen.last_answer, seen.last_timeout);
    if (last >= since) latest.emplace_back(last, incarnation);
  }
  const auto count = std::min<std::size_t>(latest.size(), max_reported_upstreams);
  std::partial_sort(latest.begin(), latest.begin() + static_cast<std::ptrdiff_t>(count),
                    latest.end(), std::greater<>());
  for (std::size_t n = 0; n < count; ++n) {
    const observation& seen = selector.health_observations().at(latest[n].second);
    auto& added = *out.add_upstreams();
    added.set_incarnation(latest[n].second);
    if (seen.timeouts > 0 && now - seen.last_timeout <= load_report_lifetime) {
      added.set_unanswered(seen.timeouts);
      added.set_unanswered_age_ms(age_ms(now, seen.last_timeout));
      added.set_opening_age_ms(age_ms(now, seen.last_forwarded));
    }
    if (now - seen.last_answer > load_report_lifetime) continue;
    added.set_has_answer(true);
    added.set_answer_age_ms(age_ms(now, seen.last_answer));
  }
}

// Leaves out the entries with the fewest flows when not all fit.
void load_reporter::add_flows(const upstream_directory& upstreams, const flow_table& flows,
                              wire::flow_load& out) const {
  std::map<zone_key, wire::zone_flows> active;
  for (const auto& [incarnation, count] : flows.open_flows()) {
    const auto* upstream = upstreams.find(incarnation);
    if (upstream == nullptr) continue;
    auto& sum = active[{upstream->report.service, upstream->report.zone}];
    sum.set_open_flows(sum.open_flows() + count);
  }
  for (const auto& [key, rate] : opened_per_s_)
    active[key].set_opened_per_s(rate);
  std::vector<wire::zone_flows> ordered;
  for (auto& [key, it] : active) {
    it.set_service(key.first);
    it.set_upstream_zone(key.second);
    ordered.push_back(std::move(it));
  }
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto& lhs, const auto& rhs) {
    return lhs.open_flows() + lhs.opened_per_s() > rhs.open_flows() + rhs.opened_per_s();
  });
  auto size = out.ByteSizeLong();
  for (const auto& it : ordered) {
    size += it.ByteSizeLong() + element_overhead_bytes;
    if (out.flows_size() >= max_reported_flows || size > max_report_bytes) return;
    *out.add_flows() = it;
  }
}

} // namespace zinnia
