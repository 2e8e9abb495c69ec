#pragma once

#include "zinniarelay/control/control_host.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace zinnia::controld {

/// The control host and what guards it.
struct host_state {
  explicit host_state(control_host value) : host(std::move(value)) {}

  std::mutex mutex;
  std::condition_variable changed;
  control_host host;
};

/// Unix time.
inline std::uint64_t wall_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace zinnia::controld
