#pragma once

#include "zinniarelay/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace zinnia {

/// Limits of the request table (docs/design.md R8, R9).
struct table_limits {
  std::size_t records = 1'000'000;  ///< pending, answered and acknowledged requests
  std::size_t tombstones = 500'000; ///< requests that were refused and are never dispatched
  std::size_t live_bytes = std::size_t{96} * 1024 * 1024; ///< pending requests, stored answers

  friend auto operator<=>(const table_limits&, const table_limits&) = default;
};

struct request_settings {
  table_limits table;
  milliseconds epoch_length{10'000}; ///< length of a record epoch
  std::uint32_t epoch_window = 6;    ///< number of record epochs for which a token is valid
  std::size_t max_answer_size = std::size_t{64} * 1024; ///< bytes
  std::uint32_t parts_per_packet = 64; ///< maximum answer parts sent for one received packet
  std::uint32_t attempts = 4;          ///< maximum attempts to run one request on upstreams
  std::uint32_t retry_burst = 20;      ///< maximum unused retries that a service accumulates
  milliseconds cancel_grace{1'000};    ///< maximum wait for the result of a cancelled call
  milliseconds drain_resend{1'000};    ///< interval between resends of answers in a drain

  friend auto operator<=>(const request_settings&, const request_settings&) = default;
};

} // namespace zinnia
