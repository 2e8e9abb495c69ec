#include "zinniarelay/balance/rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace {
using namespace zinnia;
}

BOOST_AUTO_TEST_SUITE(rendezvous_test)

// Guards against a membership change that reassigns upstreams of the remaining hosts.
BOOST_AUTO_TEST_CASE(removing_a_host_moves_only_its_keys) {
  const std::vector<host_id> all{host_id{1}, host_id{2}, host_id{3}, host_id{4}};
  const std::vector<host_id> fewer{host_id{1}, host_id{2}, host_id{4}};
  for (std::uint64_t key = 0; key < 1'000; ++key) {
    const auto before = rendezvous(key, all);
    if (*before != host_id{3}) BOOST_TEST((rendezvous(key, fewer) == before));
  }
}

// Guards against weights that have no effect and against choosing a host of weight 0.
BOOST_AUTO_TEST_CASE(keys_are_proportional_to_weights) {
  const std::vector<weighted_host> hosts{{host_id{1}, 1}, {host_id{2}, 3}, {host_id{3}, 0}};
  unsigned heavy = 0;
  for (std::uint64_t key = 0; key < 10'000; ++key) {
    const auto chosen = rendezvous(key, hosts);
    BOOST_REQUIRE((*chosen != host_id{3}));
    if (*chosen == host_id{2}) ++heavy;
  }
  BOOST_TEST(heavy > 7'200U);
  BOOST_TEST(heavy < 7'800U);
  BOOST_TEST(!rendezvous(1, std::vector<host_id>{}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
