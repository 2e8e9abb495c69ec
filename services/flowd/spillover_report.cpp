#include "spillover_report.h"

#include "zinniarelay/observe/log_line.h"

#include <iomanip>
#include <sstream>

namespace zinnia::flowd {
namespace {

/// Returns the target and figures of each other zone, such as "b=0.21(utilization=0.34,cost_ms=8)".
std::string zones_text(const spillover_policy::change& it, const std::string& own) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  for (const auto& [zone, figures] : it.figures) {
    if (zone == own) continue;
    const auto target = it.target.find(zone);
    out << (out.tellp() > 0 ? ";" : "") << zone << '='
        << (target == it.target.end() ? 0 : target->second)
        << "(utilization=" << figures.utilization << ",cost_ms=" << figures.cost_ms << ')';
  }
  return out.str();
}

} // namespace

void spillover_report::record(const flow_decision& decision, std::size_t bytes) {
  if (decision.other_zone == nullptr) return;
  auto& sent = sent_[*decision.other_zone];
  sent.bytes += bytes;
  if (decision.reason == flow_decision::reason_type::opened ||
      decision.reason == flow_decision::reason_type::moved)
    ++sent.flows;
}

void spillover_report::log_changes(flow_host& host) const {
  const auto& own_zone = host.router().selector().zone();
  for (const auto& it : host.take_spillover_changes()) {
    log_line line(log_level::info, it.is_start ? "spillover_started" : "spillover_stopped");
    line.with("service", it.service);
    const auto own = it.figures.find(own_zone);
    if (own == it.figures.end()) {
      line.with("cause", "no recent figures");
      continue;
    }
    line.with("utilization", own->second.utilization)
        .with("demand_per_s", own->second.demand_per_s)
        .with("slots", own->second.slots)
        .with("service_ms", own->second.service_ms)
        .with("zones", zones_text(it, own_zone));
  }
}

// A zone that no longer gets a share keeps its metric, at 0.
void spillover_report::publish(metric_registry& metrics, const flow_host& host) {
  const auto& selector = host.router().selector();
  std::map<std::string, double> shares;
  for (const auto& it : published_shares_)
    shares[it] = 0;
  for (const auto& [service, by_zone] : selector.spillover().shares())
    for (const auto& [zone, share] : by_zone)
      shares[std::string("service=").append(service).append(",zone=").append(zone)] = share;
  for (const auto& [labels, share] : shares) {
    metrics.gauge_of("spillover_share", labels).set(share);
    published_shares_.insert(labels);
  }
  for (const auto& [zone, sent] : sent_) {
    metrics.gauge_of("flows_to_other_zones", "zone=" + zone).set(static_cast<double>(sent.flows));
    metrics.gauge_of("bytes_to_other_zones", "zone=" + zone).set(static_cast<double>(sent.bytes));
  }
}

} // namespace zinnia::flowd
