#pragma once

#include "zinniarelay/control/control_host.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace zinnia::controld {

/// The control host, the mutex that guards it, and the condition variable that is notified after
/// each change.
struct host_state {
  explicit host_state(control_host value) : host(std::move(value)) {}

  std::mutex mutex;
  std::condition_variable changed;
  control_host host;
};

/// Returns the Unix time in milliseconds.
inline std::uint64_t wall_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace zinnia::controld
