#include "zinniarelay/flow/declaration_history.h"

#include "flow_fixture.h"
#include "zinniarelay/flow/route_table.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::declaration_of;

wire::flow_declaration declaration_with_routes(std::uint64_t version, std::uint32_t count) {
  auto out = declaration_of(version);
  const auto first = out.routes(0);
  for (std::uint32_t n = 1; n < count; ++n) {
    auto& added = *out.add_routes();
    added = first;
    added.set_name("idle-" + std::to_string(n));
    added.set_port(443 + n);
  }
  return out;
}

/// Returns a later version with up to three routes removed, added or changed.
wire::flow_declaration changed_at_random(const wire::flow_declaration& base,
                                         random_engine& engine) {
  auto out = base;
  out.set_version(base.version() + 1 + engine() % 5);
  for (int n = 0; n < 3; ++n) {
    auto& routes = *out.mutable_routes();
    const auto index = static_cast<int>(engine() % static_cast<std::uint64_t>(routes.size()));
    switch (engine() % 4) {
    case 0:
      if (routes.size() > 1) routes.DeleteSubrange(index, 1);
      break;
    case 1:
      *routes.Add() = routes.Get(index);
      routes.Mutable(routes.size() - 1)
          ->set_address(0x0A00'0000 + static_cast<std::uint32_t>(engine() % 0xFFFF));
      break;
    case 2:
      routes.Mutable(index)->set_timeout_ms(1 + static_cast<std::uint32_t>(engine() % 9'000));
      break;
    default:
      out.set_idle_timeout_ms(1'000 + static_cast<std::uint32_t>(engine() % 9'000));
    }
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(declaration_history_test)

// Guards against links of 2 Mbit/s that carry 1,600 routes to each entry host for a change of one.
BOOST_AUTO_TEST_CASE(change_of_one_route_costs_one_route) {
  const auto base = declaration_with_routes(1, 1'600);
  auto next = base;
  next.set_version(2);
  next.mutable_routes(700)->set_timeout_ms(9);
  declaration_history history;
  history.record(base);
  history.record(next);
  const auto* change = history.change_since(1);
  BOOST_REQUIRE(change != nullptr);
  BOOST_TEST(change->routes_size() == 1);
  BOOST_TEST(change->removed_size() == 0);
  BOOST_TEST(change->ByteSizeLong() < 200U);
}

// Guards against an entry host that serves by other routes than those that are in force.
BOOST_AUTO_TEST_CASE(changes_lead_to_the_declaration) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    random_engine engine(seed);
    auto current = declaration_with_routes(1, 20);
    declaration_history history;
    history.record(current);
    route_table table(current);
    for (int n = 0; n < 10; ++n) {
      current = changed_at_random(current, engine);
      history.record(current);
      // A host may miss some versions.
      if (engine() % 3 == 0) continue;
      const auto* change = history.change_since(table.version());
      if (change == nullptr)
        table = route_table(current);
      else
        BOOST_TEST_REQUIRE(table.apply(*change).has_value());
      BOOST_TEST(table.version() == current.version());
      BOOST_TEST(table.size() == static_cast<std::size_t>(current.routes_size()));
      for (const auto& it : current.routes()) {
        const auto* found = table.find({it.address(), static_cast<std::uint16_t>(it.port())});
        BOOST_TEST_REQUIRE(found != nullptr);
        BOOST_TEST(found->timeout.count() == it.timeout_ms());
      }
    }
  }
}

// Guards against a change that is applied to another version, or whose result differs from what
// the sender has.
BOOST_AUTO_TEST_CASE(change_that_does_not_fit_is_refused) {
  const auto base = declaration_with_routes(1, 3);
  auto next = base;
  next.set_version(2);
  next.mutable_routes(1)->set_timeout_ms(9);
  const auto change = change_between(base, next);
  route_table later(declaration_with_routes(3, 3));
  BOOST_TEST(!later.apply(change).has_value());
  route_table other(declaration_with_routes(1, 4));
  BOOST_TEST(!other.apply(change).has_value());
  BOOST_TEST(other.version() == 1U);
  BOOST_TEST(other.size() == 4U);
}

// Guards against memory that grows with the number of versions.
BOOST_AUTO_TEST_CASE(only_the_latest_versions_are_kept) {
  declaration_history history;
  for (std::uint64_t version = 1; version <= 100; ++version)
    history.record(declaration_with_routes(version, 3));
  BOOST_TEST(history.change_since(50) == nullptr);
  BOOST_TEST(history.change_since(98) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
