#include "zinniarelay/control/start_notices.h"

#include "support/control_group.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace zinnia {
namespace {

using support::control_group;

time_point time_at(milliseconds elapsed) {
  return time_point(std::chrono::hours(1) + elapsed);
}

endpoint entry_host(std::uint32_t n) {
  return {0x0A00'0000U + n, 7720};
}

BOOST_AUTO_TEST_SUITE(start_notices_test)

// Guards against entry hosts that search only at the seeds after a loss of all power: each one that
// was present before gets a notice within the second in which it starts.
BOOST_AUTO_TEST_CASE(entry_hosts_of_the_saved_view_get_notices) {
  control_group group(1, 3, {});
  auto& before = group.host(1);
  before.notices().record_presence(group.now, entry_host(1));
  before.notices().record_presence(group.now, entry_host(2));
  BOOST_TEST(before.notices().take_due(group.now).empty());
  const auto view = before.current_view(group.now, 0);
  auto& after = group.host(2);
  after.restore_view(group.now, view);
  for (const int started_ms : {0, 90, 350, 650}) {
    bool is_notified = false;
    control_host& host = after;
    start_notices notices = host.notices();
    for (int ms = started_ms; ms <= started_ms + 350; ++ms) {
      const auto due = notices.take_due(group.now + milliseconds(ms));
      is_notified |= std::find(due.begin(), due.end(), entry_host(2)) != due.end();
    }
    BOOST_TEST(is_notified, "an entry host that starts after " << started_ms << " ms");
  }
}

// Guards against notices that never end.
BOOST_AUTO_TEST_CASE(notices_end_after_a_second) {
  start_notices notices;
  notices.restore(time_at({}), {entry_host(1)});
  int sent = 0;
  for (int ms = 0; ms < 10'000; ms += 20)
    sent += static_cast<int>(notices.take_due(time_at(milliseconds(ms))).size());
  BOOST_TEST(sent == 6);
}

// Guards against a list that grows with each entry host that was ever started.
BOOST_AUTO_TEST_CASE(absent_entry_hosts_are_removed) {
  start_notices notices;
  for (std::uint32_t n = 0; n < 30'000; ++n)
    notices.record_presence(time_at(milliseconds(n)), entry_host(n));
  BOOST_TEST(notices.present(time_at(milliseconds(30'000))).size() <= 20'000U);
  BOOST_TEST(notices.present(time_at(milliseconds(60'000))).empty());
  notices.record_presence(time_at(milliseconds(60'000)), entry_host(40'000));
  BOOST_TEST(notices.present(time_at(milliseconds(60'000))).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
