#pragma once

#include "config/yaml_map.h"

#include <array>
#include <string_view>

namespace zinnia::declaration_rules {

// Every open and announcement datagram of a service contains its name, and the size
// of a datagram is bounded.
constexpr std::size_t max_name_length = 63; // characters
constexpr std::string_view name_rule =
    "1 to 63 lower-case letters, digits and hyphens that start with a letter";

constexpr duration_range deadline{milliseconds(1), milliseconds(600'000)};
constexpr duration_range drain_grace{milliseconds(0), milliseconds(3'600'000)};
constexpr number_range retry_percent{0, 100};
// The targets of docs/design.md section 2 allow this share of requests to be retries.
constexpr std::uint64_t retry_percent_warning_threshold = 10;
constexpr number_range join_requests{0, 1'000'000};
constexpr number_range queue_per_slot{1, 1'000};
constexpr std::size_t max_methods = 256;
constexpr std::size_t digest_bytes = 32;
constexpr std::size_t min_credential_bytes = 16;
constexpr std::size_t max_credential_bytes = 1024;

constexpr std::uint32_t default_retry_percent = 10;
constexpr std::uint32_t default_join_requests = 100;
constexpr milliseconds default_drain_grace{5'000};
constexpr std::uint32_t default_queue_per_slot = 4;

inline bool is_name(std::string_view text) {
  constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz";
  constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !text.empty() && text.size() <= max_name_length &&
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
