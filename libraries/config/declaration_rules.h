#pragma once

#include "config/yaml_map.h"

#include <array>
#include <string_view>

namespace zinnia::declaration_rules {

// A name travels in every open and announcement datagram of its service, whose
// size is bounded.
constexpr std::size_t longest_name = 63; // characters
constexpr std::string_view name_rule =
    "1 to 63 lower-case letters, digits and hyphens that start with a letter";

constexpr duration_range deadline{milliseconds(1), milliseconds(600'000)};
constexpr duration_range drain_grace{milliseconds(0), milliseconds(3'600'000)};
constexpr number_range retry_percent{0, 100};
// The share of requests that the targets of docs/design.md section 2 allow to be retries.
constexpr std::uint64_t intended_retry_percent = 10;
constexpr number_range join_requests{0, 1'000'000};
constexpr number_range queue_per_slot{1, 1'000};
constexpr std::size_t max_methods = 256;
constexpr std::size_t digest_size = 32;          // bytes
constexpr std::size_t shortest_credential = 16;  // bytes
constexpr std::size_t longest_credential = 1024; // bytes

constexpr std::uint32_t default_retry_percent = 10;
constexpr std::uint32_t default_join_requests = 100;
constexpr milliseconds default_drain_grace{5'000};
constexpr std::uint32_t default_queue_per_slot = 4;

inline bool is_name(std::string_view text) {
  constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz";
  constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !text.empty() && text.size() <= longest_name &&
         letters.find(text.front()) != std::string_view::npos &&
         text.find_first_not_of(allowed) == std::string_view::npos;
}

constexpr bool is_within(std::uint64_t value, number_range range) {
  return value >= range.low && value <= range.high;
}

constexpr bool is_within(std::uint64_t ms, duration_range range) {
  return ms >= static_cast<std::uint64_t>(range.low.count()) &&
         ms <= static_cast<std::uint64_t>(range.high.count());
}

} // namespace zinnia::declaration_rules
