#pragma once

#include <cstdint>

namespace zinnia {

/// Bounds the retries of one service to a share of its first attempts
/// (docs/design.md R11, R23).
class retry_budget {
public:
  /// Starts with `burst` retries, which is also the most it accumulates.
  explicit retry_budget(std::uint32_t burst) : credit_(burst * unit), cap_(burst * unit) {}

  /// Counts a first attempt, which earns `percent` hundredths of a retry.
  void on_first_attempt(std::uint32_t percent);

  /// Takes one retry from the budget; false when less than one is left.
  [[nodiscard]] bool try_retry();

private:
  static constexpr std::uint64_t unit = 100; // hundredths of a retry

  std::uint64_t credit_;
  std::uint64_t cap_;
};

} // namespace zinnia
