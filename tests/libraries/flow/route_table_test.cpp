#include "zinniarelay/flow/route_table.h"

#include "flow_fixture.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::declaration_of;

BOOST_AUTO_TEST_SUITE(route_table_test)

// Guards against putting an invalid declaration in force.
BOOST_AUTO_TEST_CASE(each_defect_is_reported) {
  BOOST_TEST(flow_declaration_errors(declaration_of(1)).empty());
  auto unknown_service = declaration_of(1);
  unknown_service.mutable_routes(0)->mutable_services(0)->set_service("nowhere");
  BOOST_TEST(flow_declaration_errors(unknown_service).size() == 1U);
  auto repeated_address = declaration_of(1);
  *repeated_address.add_routes() = repeated_address.routes(0);
  BOOST_TEST(flow_declaration_errors(repeated_address).size() == 1U);
  auto without_timeout = declaration_of(1);
  without_timeout.mutable_routes(0)->set_timeout_ms(0);
  BOOST_TEST(flow_declaration_errors(without_timeout).size() == 1U);
  auto without_weight = declaration_of(1);
  without_weight.mutable_routes(0)->mutable_services(0)->set_weight(0);
  BOOST_TEST(flow_declaration_errors(without_weight).size() == 1U);
  auto two_defects = declaration_of(1);
  two_defects.mutable_routes(0)->set_timeout_ms(0);
  two_defects.mutable_routes(0)->mutable_services(0)->set_service("nowhere");
  BOOST_TEST(flow_declaration_errors(two_defects).size() == 2U);
}

// Guards against a distribution of flows that differs from the weights or between hosts.
BOOST_AUTO_TEST_CASE(flows_are_distributed_by_weight) {
  route weighted;
  weighted.services = {{"registry", 90}, {"catalogue", 10}, {"closed", 0}};
  int catalogue_flows = 0;
  for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
    const auto& chosen = weighted.service_of(hash);
    BOOST_REQUIRE(chosen != "closed");
    BOOST_REQUIRE(chosen == weighted.service_of(hash));
    if (chosen == "catalogue") ++catalogue_flows;
  }
  BOOST_TEST(catalogue_flows == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
