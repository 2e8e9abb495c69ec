#include "zinniarelay/flow/route_table.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::declaration_of;

BOOST_AUTO_TEST_SUITE(route_table_test)

// Guards against a declaration that is put in force though it cannot be obeyed.
BOOST_AUTO_TEST_CASE(each_defect_is_reported) {
  BOOST_TEST(flow_declaration_errors(declaration_of(1)).empty());
  auto unknown = declaration_of(1);
  unknown.mutable_routes(0)->mutable_services(0)->set_service("nowhere");
  BOOST_TEST(flow_declaration_errors(unknown).size() == 1U);
  auto repeated = declaration_of(1);
  *repeated.add_routes() = repeated.routes(0);
  BOOST_TEST(flow_declaration_errors(repeated).size() == 1U);
  auto timeless = declaration_of(1);
  timeless.mutable_routes(0)->set_timeout_ms(0);
  BOOST_TEST(flow_declaration_errors(timeless).size() == 1U);
  auto weightless = declaration_of(1);
  weightless.mutable_routes(0)->mutable_services(0)->set_weight(0);
  BOOST_TEST(flow_declaration_errors(weightless).size() == 1U);
  auto all = declaration_of(1);
  all.mutable_routes(0)->set_timeout_ms(0);
  all.mutable_routes(0)->mutable_services(0)->set_service("nowhere");
  BOOST_TEST(flow_declaration_errors(all).size() == 2U);
}

// Guards against shares of a route that differ from its weights or between hosts.
BOOST_AUTO_TEST_CASE(shares_follow_weights) {
  route it;
  it.services = {{"registry", 90}, {"catalogue", 10}, {"closed", 0}};
  int small = 0;
  for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
    const auto& chosen = it.service_of(hash);
    BOOST_REQUIRE(chosen != "closed");
    BOOST_REQUIRE(chosen == it.service_of(hash));
    if (chosen == "catalogue") ++small;
  }
  BOOST_TEST(small == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
