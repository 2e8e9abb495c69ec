#include "zinniarelay/flow/held_packets.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

namespace zinnia {
namespace {

using support::declaration_of;
using support::flow_packet;
using support::opening_packet;
using support::report_of;
using support::time_at;
using support::update_of;

constexpr std::array<std::byte, 3> content{std::byte{1}, std::byte{2}, std::byte{3}};

BOOST_AUTO_TEST_SUITE(held_packets_test)

// Guards against callers that wait for their next copy, up to 400 ms later, or whose attempt fails
// because its last copy was dropped, when hosts return from a loss of all power: packets arrive for
// 400 ms before the first update. All flows are opened with the update.
BOOST_AUTO_TEST_CASE(flows_that_arrive_before_the_first_update_open_with_it) {
  flow_router router({}, random_engine(1));
  held_packets held;
  std::uint16_t port = 1;
  for (int ms = 0; ms < 400; ms += 4, ++port) {
    const auto head = opening_packet(port, static_cast<std::uint32_t>(port % 3));
    const auto decision = router.route(time_at(milliseconds(ms)), head);
    BOOST_REQUIRE((decision.action == flow_decision::action_type::hold));
    held.add(time_at(milliseconds(ms)), head, content);
  }
  const auto updated = time_at(milliseconds(400));
  router.apply(declaration_of(1));
  router.merge_update(updated, update_of({report_of("i-1", 81), report_of("i-2", 82)}));
  std::set<std::uint16_t> opened;
  for (const auto& it : held.take(updated))
    if (router.route(it.arrived, it.head).action == flow_decision::action_type::forward)
      opened.insert(it.head.source.port);
  BOOST_TEST(opened.size() == 100U);
}

// Guards against two upstreams that open the same flow, and against a copy that is not recognized
// as the latest one.
BOOST_AUTO_TEST_CASE(later_copy_replaces_an_opening_packet) {
  held_packets held;
  held.add(time_at({}), opening_packet(1, 0), content);
  held.add(time_at(milliseconds(100)), flow_packet(2, 7), content);
  held.add(time_at(milliseconds(200)), opening_packet(1, 1), content);
  const auto taken = held.take(time_at(milliseconds(300)));
  BOOST_REQUIRE_EQUAL(taken.size(), 2U);
  BOOST_TEST(taken[0].head.route_tag == 7U);
  BOOST_TEST(taken[1].head.acknowledged == 1U);
  BOOST_TEST((taken[1].bytes == std::vector<std::byte>(content.begin(), content.end())));
  BOOST_TEST(held.size() == 0U);
}

// Guards against upstreams that reserve a flow for a caller that has given up.
BOOST_AUTO_TEST_CASE(packet_expires_with_the_attempt_of_its_caller) {
  held_packets held;
  held.add(time_at({}), opening_packet(1), content);
  held.add(time_at(milliseconds(500)), opening_packet(2), content);
  const auto taken = held.take(time_at(milliseconds(900)));
  BOOST_REQUIRE_EQUAL(taken.size(), 1U);
  BOOST_TEST(taken[0].head.source.port == 2);
  BOOST_TEST(held.dropped() == 1U);
}

// Guards against memory that grows with the callers' packets while no control host replies.
BOOST_AUTO_TEST_CASE(number_of_held_packets_is_bounded) {
  held_packets held(10);
  for (std::uint16_t port = 1; port <= 25; ++port)
    held.add(time_at({}), opening_packet(port), content);
  BOOST_TEST(held.size() == 10U);
  BOOST_TEST(held.dropped() == 15U);
  BOOST_TEST(held.take(time_at({})).front().head.source.port == 16);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
