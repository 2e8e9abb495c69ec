#include "../utilities/zinniactl/host_selection.h"

#include <boost/test/unit_test.hpp>

using namespace zinnia;

namespace {

wire::host_status host_of(std::uint32_t id) {
  wire::host_status out;
  out.set_host(id);
  out.set_zone(id % 3);
  out.set_state("serving");
  out.set_revision(7);
  out.set_age_ms(400);
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_selection_test)

// Guards against a status in which the hosts that need attention are lost among hundreds of others.
BOOST_AUTO_TEST_CASE(differing_hosts_are_listed) {
  wire::status_overview status;
  for (std::uint32_t id = 1; id <= 194; ++id)
    *status.add_hosts() = host_of(id);
  status.mutable_hosts(10)->set_state("draining");
  status.mutable_hosts(20)->set_revision(6);
  status.mutable_hosts(30)->set_age_ms(3'500);
  const auto listed = listed_hosts(status, host_selection::differing);
  BOOST_REQUIRE_EQUAL(listed.size(), 3U);
  for (std::size_t n = 1; n < listed.size(); ++n)
    BOOST_TEST(listed[n - 1].zone() <= listed[n].zone());
  BOOST_TEST(listed_hosts(status, host_selection::all).size() == 194U);
}

BOOST_AUTO_TEST_SUITE_END()
