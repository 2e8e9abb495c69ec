#pragma once

#include "zinniarelay/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace zinnia {

struct caller_settings {
  std::string service;
  milliseconds initial_resend_delay{100}; ///< doubled after every resend
  milliseconds max_resend_delay{1'000};
  milliseconds token_expiry_margin{5'000};   ///< minimum remaining validity for new requests
  std::uint32_t max_unanswered_attempts = 3; ///< before new requests use another flow
  milliseconds lost_host_grace{2'000};       ///< time until reports of a lost host end a call
  std::uint32_t max_open_refusals = 3; ///< of one open for an unknown service, then its calls end
  std::uint32_t max_restarts = 8;      ///< of one download
  std::uint32_t range_length = 64U * 1024; ///< bytes
  std::uint32_t ranges_in_flight = 4;      ///< of one download
  std::size_t max_payload_size = 1'000;    ///< bytes; a larger request does not fit into a datagram
  std::size_t max_method_size = 64;        ///< bytes
  std::size_t max_answer_size = std::size_t{64} * 1024;  ///< bytes
  std::uint64_t max_content_size = 256ULL * 1024 * 1024; ///< bytes

  friend auto operator<=>(const caller_settings&, const caller_settings&) = default;
};

} // namespace zinnia
