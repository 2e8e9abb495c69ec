#pragma once

#include <csignal>
#include <initializer_list>

namespace zinnia {

/// Returns the signals that stop a daemon or make it read its settings again.
inline sigset_t daemon_signals() {
  sigset_t out;
  sigemptyset(&out);
  for (const int it : {SIGINT, SIGTERM, SIGHUP})
    sigaddset(&out, it);
  return out;
}

// Blocks the signals before the static objects of the libraries are constructed, which takes some
// milliseconds. Without handlers SIGHUP would end the process, and SIGTERM would not be orderly.
// The daemon receives them when it is ready for them. 101 is the first priority that is not
// reserved for the implementation.
[[gnu::constructor(101)]] inline void block_daemon_signals() {
  const auto signals = daemon_signals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace zinnia
