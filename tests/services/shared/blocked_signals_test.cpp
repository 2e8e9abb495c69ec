#include "shared/blocked_signals.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

bool is_blocked_at_start(int signal) {
  sigset_t blocked;
  sigprocmask(SIG_BLOCK, nullptr, &blocked);
  return sigismember(&blocked, signal) == 1;
}

// Static objects are constructed before main() and after the functions with a priority.
const bool is_reload_blocked = is_blocked_at_start(SIGHUP);
const bool is_stop_blocked = is_blocked_at_start(SIGTERM);

BOOST_AUTO_TEST_SUITE(blocked_signals_test)

// Guards against a SIGHUP or SIGTERM that ends a daemon in its first milliseconds, before it has
// installed its handlers.
BOOST_AUTO_TEST_CASE(signals_are_blocked_before_static_objects_are_constructed) {
  const auto signals = daemon_signals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
  BOOST_TEST(is_reload_blocked);
  BOOST_TEST(is_stop_blocked);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
