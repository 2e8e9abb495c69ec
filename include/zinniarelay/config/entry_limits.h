#pragma once

#include <compare>
#include <cstdint>

namespace zinnia {

/// Bounds on the state that one entry host keeps in memory (docs/design.md R8, R9, R23).
struct entry_limits {
  std::uint32_t records = 300'000;                  ///< pending requests and stored answers
  std::uint32_t tombstones = 600'000;               ///< requests that will never be dispatched
  std::uint64_t stored_answer_bytes = 64ULL << 20U; ///< answers that are not yet acknowledged
  std::uint32_t queued_requests = 20'000;           ///< over all services
  std::uint64_t queued_bytes = 32ULL << 20U;        ///< payloads of queued requests

  friend auto operator<=>(const entry_limits&, const entry_limits&) = default;
};

} // namespace zinnia
