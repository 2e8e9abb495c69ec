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
  milliseconds lost_host_patience{2'000};  ///< before reports of a lost host end a call
  std::uint32_t believed_refusals = 3;     ///< of an open as an unknown service
  std::uint32_t restarts = 8;              ///< of one download
  std::uint32_t range_length = 64U * 1024; ///< bytes
  std::uint32_t ranges_in_flight = 4;      ///< of one download
  std::size_t longest_payload = 1'000;     ///< bytes, so that a request fits into a datagram
  std::size_t longest_method = 64;         ///< bytes
  std::size_t longest_answer = std::size_t{64} * 1024;  ///< bytes
  std::uint64_t longest_content = 256ULL * 1024 * 1024; ///< bytes

  friend auto operator<=>(const caller_settings&, const caller_settings&) = default;
};

} // namespace zinnia
