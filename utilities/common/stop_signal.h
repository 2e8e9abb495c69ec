#pragma once

#include <atomic>
#include <csignal>

namespace zinnia::utilities {

namespace detail {
inline std::atomic<bool> stop_flag{false};
static_assert(std::atomic<bool>::is_always_lock_free, "the flag is set in a signal handler");
} // namespace detail

/// Installs handlers of SIGTERM and SIGINT that set the flag read by is_stop_requested().
inline void watch_stop_signals() {
  struct sigaction action {};
  action.sa_handler = [](int) { detail::stop_flag.store(true); };
  sigemptyset(&action.sa_mask);
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
}

inline bool is_stop_requested() {
  return detail::stop_flag.load();
}

} // namespace zinnia::utilities
