#pragma once

#include "operator.pb.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace zinnia {

/// A number of events since the process started.
class counter {
public:
  void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{0};
};

/// The current value of a quantity.
class gauge {
public:
  void set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> value_{0};
};

/// A summary of recorded values in constant memory.
class distribution {
public:
  struct summary {
    std::uint64_t count = 0;
    double mean = 0;
    double max = 0;
    /// Estimates; absent below min_samples, where they would be meaningless.
    std::map<double, double> quantiles;
  };

  static constexpr std::uint64_t min_samples = 20;

  distribution();
  ~distribution();
  distribution(const distribution&) = delete;
  distribution& operator=(const distribution&) = delete;

  /// `value` must be finite.
  void record(double value);
  summary read() const;

private:
  struct accumulators;
  std::unique_ptr<accumulators> accumulators_;
};

/// The metrics of one process. References to metrics stay valid as long as the registry
/// exists. Several threads may change and read metrics.
class metric_registry {
public:
  metric_registry();
  ~metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;

  /// Returns the metric with this name and these labels; the first call creates it.
  /// `labels` is a list such as service=registry,zone=2. All metrics of one name have the
  /// same kind.
  counter& counter_of(const std::string& name, const std::string& labels = {});
  gauge& gauge_of(const std::string& name, const std::string& labels = {});
  distribution& distribution_of(const std::string& name, const std::string& labels = {});

  /// Returns all metrics ordered by name. A distribution is reported as <name>_count,
  /// _mean, _max and one _quantile for each probability.
  wire::metrics_reply report() const;

private:
  struct contents;
  std::unique_ptr<contents> contents_;
};

} // namespace zinnia
