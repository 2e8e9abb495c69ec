#include "zinniarelay/observe/metric_registry.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <glog/logging.h>
#include <mutex>
#include <sstream>

namespace zinnia {
namespace {

namespace ba = boost::accumulators;

constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.99, 0.999};

using accumulator_set = ba::accumulator_set<
    double, ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max, ba::tag::extended_p_square>>;

using metric_key = std::pair<std::string, std::string>; // name, labels

template <class Metric>
using metric_table = std::map<metric_key, std::unique_ptr<Metric>>;

template <class Metric>
Metric& find_or_add(metric_table<Metric>& table, const std::string& name,
                    const std::string& labels) {
  auto& metric = table[{name, labels}];
  if (!metric) metric = std::make_unique<Metric>();
  return *metric;
}

void add(wire::metrics_reply& out, const std::string& name, const std::string& labels,
         double value) {
  auto& metric = *out.add_metrics();
  metric.set_name(name);
  metric.set_labels(labels);
  metric.set_value(value);
}

void add(wire::metrics_reply& out, const std::string& name, const std::string& labels,
         const distribution::summary& value) {
  add(out, name + "_count", labels, static_cast<double>(value.count));
  add(out, name + "_mean", labels, value.mean);
  add(out, name + "_max", labels, value.max);
  for (const auto& [probability, estimate] : value.quantiles) {
    std::ostringstream label;
    label << labels << (labels.empty() ? "" : ",") << "quantile=" << probability;
    add(out, name + "_quantile", label.str(), estimate);
  }
}

} // namespace

struct distribution::accumulators {
  std::mutex mutex;
  accumulator_set set{ba::extended_p_square_probabilities = probabilities};
};

distribution::distribution() : accumulators_(std::make_unique<accumulators>()) {}
distribution::~distribution() = default;

void distribution::record(double value) {
  const std::lock_guard lock(accumulators_->mutex);
  accumulators_->set(value);
}

distribution::summary distribution::read() const {
  const std::lock_guard lock(accumulators_->mutex);
  const auto& set = accumulators_->set;
  summary out;
  out.count = ba::count(set);
  if (out.count == 0) return out;
  out.mean = ba::mean(set);
  out.max = ba::max(set);
  if (out.count < min_samples) return out;
  const auto estimates = ba::extended_p_square(set);
  for (std::size_t i = 0; i < probabilities.size(); ++i)
    out.quantiles[probabilities[i]] = estimates[static_cast<std::ptrdiff_t>(i)];
  return out;
}

struct metric_registry::contents {
  mutable std::mutex mutex;
  std::map<std::string, char> kinds; // by metric name
  metric_table<counter> counters;
  metric_table<gauge> gauges;
  metric_table<distribution> distributions;

  void check_kind(const std::string& name, char kind) {
    const auto [it, is_new] = kinds.emplace(name, kind);
    CHECK(is_new || it->second == kind) << "metric " << name << " has two kinds";
  }
};

metric_registry::metric_registry() : contents_(std::make_unique<contents>()) {}
metric_registry::~metric_registry() = default;

counter& metric_registry::counter_of(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(contents_->mutex);
  contents_->check_kind(name, 'c');
  return find_or_add(contents_->counters, name, labels);
}

gauge& metric_registry::gauge_of(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(contents_->mutex);
  contents_->check_kind(name, 'g');
  return find_or_add(contents_->gauges, name, labels);
}

distribution& metric_registry::distribution_of(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(contents_->mutex);
  contents_->check_kind(name, 'd');
  return find_or_add(contents_->distributions, name, labels);
}

wire::metrics_reply metric_registry::report() const {
  const std::lock_guard lock(contents_->mutex);
  wire::metrics_reply out;
  for (const auto& [key, metric] : contents_->counters)
    add(out, key.first, key.second, static_cast<double>(metric->value()));
  for (const auto& [key, metric] : contents_->gauges)
    add(out, key.first, key.second, metric->value());
  for (const auto& [key, metric] : contents_->distributions)
    add(out, key.first, key.second, metric->read());
  // A stable sort keeps the quantiles of a distribution in order.
  std::stable_sort(out.mutable_metrics()->begin(), out.mutable_metrics()->end(),
                   [](const auto& a, const auto& b) { return a.name() < b.name(); });
  return out;
}

} // namespace zinnia
