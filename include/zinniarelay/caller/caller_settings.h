#pragma once

#include "zinniarelay/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace zinnia {

struct caller_settings {
  std::string service;
  milliseconds first_resend{100}; ///< doubled with every resend
  milliseconds longest_resend{1'000};
  milliseconds reopen_margin{5'000};       ///< new requests avoid a token this near its end
  std::uint32_t silent_attempts = 3;       ///< without a sign of the host before a new flow
  std::uint32_t reissues = 3;              ///< of one call, after it was not run or is idempotent
  std::uint32_t restarts = 8;              ///< of one download
  std::uint32_t range_length = 64U * 1024; ///< bytes
  std::uint32_t ranges_in_flight = 4;      ///< of one download
  std::size_t longest_payload = 1'000;     ///< bytes, so that a request fits into a datagram
  std::size_t longest_method = 64;         ///< bytes
  std::size_t longest_answer = 64U * 1024; ///< bytes
  std::uint64_t longest_content = 256ULL * 1024 * 1024; ///< bytes

  friend auto operator<=>(const caller_settings&, const caller_settings&) = default;
};

} // namespace zinnia
