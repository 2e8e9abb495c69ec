#pragma once

#include <cstdint>

namespace zinnia {

/// Limits the retries of one service to a percentage of its first attempts
/// (docs/design.md R11, R23).
class retry_budget {
public:
  /// Starts with `burst` retries, which is also the maximum that the budget accumulates.
  explicit retry_budget(std::uint32_t burst)
      : credit_(burst * hundredths_per_retry), cap_(burst * hundredths_per_retry) {}

  /// Records a first attempt, which adds `percent` hundredths of a retry.
  void on_first_attempt(std::uint32_t percent);

  /// Deducts one retry from the budget. Returns false when less than one retry is left.
  [[nodiscard]] bool try_retry();

private:
  static constexpr std::uint64_t hundredths_per_retry = 100;

  std::uint64_t credit_; // hundredths of a retry
  std::uint64_t cap_;    // hundredths of a retry
};

} // namespace zinnia
