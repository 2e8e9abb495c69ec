#include "libraries/membership/member_network.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;
using zinnia::testing::member_network;

constexpr unsigned hosts = 8;

void start_all(member_network& net, unsigned count = hosts) {
  for (unsigned n = 1; n <= count; ++n)
    net.start(host_id{n}, zone_id{static_cast<std::uint16_t>(n % 4)}, count, 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_table_test)

// Guards against a host that is never added to the member table of another host because packets
// are lost or duplicated.
BOOST_AUTO_TEST_CASE(members_converge_under_loss_and_duplicates) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    member_network net(seed);
    net.loss_percent = 20;
    net.duplicate_percent = 20;
    start_all(net);
    net.run(milliseconds(15'000));
    BOOST_TEST(net.has_converged(), "seed " << seed);
    BOOST_TEST(net.at(host_id{1}).live_hosts(zone_id{1}).size() == 2U);
  }
}

// Guards against dead hosts that stay live members and still get flows.
BOOST_AUTO_TEST_CASE(dead_host_is_detected_and_removed) {
  member_network net(3);
  start_all(net);
  net.run(milliseconds(10'000));
  net.stop(host_id{4});
  net.run(milliseconds(10'000));
  BOOST_TEST(net.has_converged());
  net.run(milliseconds(120'000));
  BOOST_TEST(net.at(host_id{1}).find(host_id{4}) == nullptr);
}

// Guards against running hosts that are declared dead because packets are lost.
BOOST_AUTO_TEST_CASE(suspects_refute_under_loss) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    member_network net(seed);
    start_all(net);
    net.run(milliseconds(10'000));
    net.loss_percent = 10;
    unsigned dead = 0;
    net.run(milliseconds(120'000), [&] {
      for (unsigned n = 1; n <= hosts; ++n)
        for (const auto& [id, entry] : net.at(host_id{n}).members())
          if (!entry.is_live()) ++dead;
    });
    BOOST_TEST(dead == 0U, "seed " << seed);
  }
}

// Guards against late packets of an old incarnation that replace the running incarnation.
BOOST_AUTO_TEST_CASE(restarted_host_replaces_its_old_incarnation) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    member_network net(seed);
    net.loss_percent = 5;
    net.duplicate_percent = 30;
    net.max_delay = milliseconds(300);
    start_all(net);
    net.run(milliseconds(15'000));
    for (int restart = 0; restart < 3; ++restart) {
      net.start(host_id{2}, zone_id{2}, hosts, 4);
      net.run(milliseconds(15'000));
      BOOST_TEST(net.has_converged(), "seed " << seed << " restart " << restart);
    }
  }
}

// Guards against hosts that keep each other as dead members after a partition has healed.
BOOST_AUTO_TEST_CASE(members_converge_after_partition) {
  member_network net(5);
  start_all(net);
  net.run(milliseconds(10'000));
  net.is_cut = [](host_id a, host_id b) { return (a.value % 4 == 1) != (b.value % 4 == 1); };
  net.run(milliseconds(30'000));
  BOOST_TEST(!net.at(host_id{2}).find(host_id{1})->is_live());
  net.is_cut = [](host_id, host_id) { return false; };
  net.run(milliseconds(30'000));
  BOOST_TEST(net.has_converged());
}

// Guards against a planned stop that is detected only by a suspicion timeout.
BOOST_AUTO_TEST_CASE(departure_is_disseminated_within_a_second) {
  member_network net(6);
  start_all(net);
  net.run(milliseconds(10'000));
  net.step(host_id{3}, departure_requested{});
  net.stop(host_id{3});
  net.run(milliseconds(1'000));
  BOOST_TEST((net.at(host_id{1}).find(host_id{3})->state == member_state::left));
}

// Guards against traffic per host that grows with the number of hosts.
BOOST_AUTO_TEST_CASE(packets_stay_bounded_with_many_hosts) {
  constexpr unsigned many_hosts = 60;
  member_network net(7);
  start_all(net, many_hosts);
  net.run(milliseconds(60'000));
  BOOST_TEST(net.has_converged());
  BOOST_TEST(net.largest_packet() < 600U);
  const auto before = net.packets();
  net.run(milliseconds(60'000));
  // Each host sends one probe and one acknowledgement in each of 120 periods, and a few other
  // packets.
  BOOST_TEST(net.packets() - before < many_hosts * 120U * 3U);
}

// Guards against old load summaries that overwrite newer ones.
BOOST_AUTO_TEST_CASE(newest_load_and_epoch_reach_every_host) {
  member_network net(8);
  net.duplicate_percent = 50;
  net.max_delay = milliseconds(200);
  start_all(net);
  net.run(milliseconds(10'000));
  for (std::uint32_t epoch = 1; epoch <= 20; ++epoch) {
    host_load load;
    load.record_epoch = epoch;
    load.services = {{service_id{1}, 4, epoch, 0, microseconds(100)}};
    net.step(host_id{1}, load_measured{load});
    net.run(milliseconds(150));
  }
  net.run(milliseconds(5'000));
  for (unsigned n = 2; n <= hosts; ++n) {
    const auto* entry = net.at(host_id{n}).find(host_id{1});
    BOOST_TEST(entry->load.record_epoch == 20U);
    BOOST_TEST(entry->load.services.at(0).outstanding == 20U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
