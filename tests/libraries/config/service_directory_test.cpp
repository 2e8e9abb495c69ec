#include "zinniarelay/config/service_directory.h"

#include "zinniarelay/config/configuration_difference.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

wire::service_entry service(std::uint32_t id, const std::string& name, int port) {
  wire::service_entry out;
  out.set_id(id);
  out.set_generation(id);
  out.mutable_declaration()->set_name(name);
  out.mutable_declaration()->set_address("10.0.0.1:" + std::to_string(port));
  return out;
}

// `sum` is the sum of the item digests after the update.
wire::configuration update_of(std::uint64_t revision, std::uint64_t base, std::uint64_t sum,
                              const std::vector<wire::service_entry>& services) {
  wire::configuration out;
  out.set_revision(revision);
  out.set_base_revision(base);
  out.set_digest(digest_of(revision, sum));
  out.mutable_services()->Assign(services.begin(), services.end());
  return out;
}

struct directory_fixture {
  directory_fixture() {
    BOOST_TEST_REQUIRE(directory.apply(update_of(1, 0, sum, {x, y})).has_value());
  }

  wire::service_entry x = service(1, "x", 80);
  wire::service_entry y = service(2, "y", 81);
  std::uint64_t sum = digest_of(x) + digest_of(y);
  service_directory directory;
};

BOOST_FIXTURE_TEST_SUITE(service_directory_test, directory_fixture)

BOOST_AUTO_TEST_CASE(finds_by_id_name_and_address) {
  BOOST_TEST(directory.find(service_id{2})->declaration().name() == "y");
  BOOST_TEST(directory.find("y")->id() == 2U);
  BOOST_TEST(directory.find(endpoint::parse("10.0.0.1:81").value())->id() == 2U);
  BOOST_TEST(directory.find("z") == nullptr);
}

// Guards against a delayed or outdated reply that reverts a host (P8).
BOOST_AUTO_TEST_CASE(earlier_or_same_revision_changes_nothing) {
  BOOST_TEST(directory.apply(update_of(3, 0, sum, {x, y})).has_value());
  for (const std::uint64_t revision : {0U, 1U, 2U, 3U}) {
    const auto outcome = directory.apply(update_of(revision, 0, digest_of(x), {x}));
    BOOST_TEST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome.value() == service_directory::outcome::not_newer));
  }
  BOOST_TEST(directory.revision() == 3U);
  BOOST_TEST(directory.size() == 2U);
}

// Guards against a host that serves a configuration that differs from every revision.
BOOST_AUTO_TEST_CASE(digest_mismatch_requests_complete_configuration) {
  const auto rejected = directory.apply(update_of(2, 1, sum, {service(3, "z", 82)}));
  BOOST_TEST((rejected.error().kind == error_kind::corrupted));
  BOOST_TEST(directory.revision() == 1U);
  BOOST_TEST(directory.find("z") == nullptr);
  BOOST_TEST(directory.request().revision() == 0U);
  BOOST_TEST(directory.apply(update_of(2, 0, digest_of(x), {x})).has_value());
  BOOST_TEST(directory.request().revision() == 2U);
  BOOST_TEST(directory.find("y") == nullptr);
}

// Guards against applying changes on top of a revision other than their base.
BOOST_AUTO_TEST_CASE(changes_from_another_base_revision_are_rejected) {
  const auto rejected = directory.apply(update_of(5, 4, sum, {}));
  BOOST_TEST((rejected.error().kind == error_kind::conflict));
  BOOST_TEST(directory.is_complete_update_needed());
}

// Guards against losing a service that takes over the name and the address of a
// removed service in the same update.
BOOST_AUTO_TEST_CASE(new_service_takes_over_name_and_address_of_removed_service) {
  auto z = service(3, "x", 80);
  auto update = update_of(2, 1, digest_of(y) + digest_of(z), {z});
  update.add_removed()->set_id(1);
  BOOST_TEST(directory.apply(update).has_value());
  BOOST_TEST(directory.find("x")->id() == 3U);
  BOOST_TEST(directory.find(endpoint::parse("10.0.0.1:80").value())->id() == 3U);
  BOOST_TEST(directory.find(service_id{1}) == nullptr);
}

BOOST_AUTO_TEST_CASE(drains_start_and_end) {
  wire::drain_entry drain;
  drain.set_target(9);
  drain.set_active(true);
  auto update = update_of(2, 1, sum + digest_of(drain), {});
  *update.add_drains() = drain;
  BOOST_TEST(directory.apply(update).has_value());
  BOOST_TEST(directory.is_draining(host_id{9}));
  BOOST_TEST(!directory.is_draining(incarnation_id{9}));
  drain.set_active(false);
  update = update_of(3, 2, sum, {});
  *update.add_drains() = drain;
  BOOST_TEST(directory.apply(update).has_value());
  BOOST_TEST(!directory.is_draining(host_id{9}));
}

BOOST_AUTO_TEST_CASE(differences_name_service_and_field) {
  google::protobuf::RepeatedPtrField<wire::service_declaration> declared;
  *declared.Add() = x.declaration();
  declared[0].set_retry_percent(5);
  *declared.Add() = service(3, "z", 82).declaration();
  const auto found = differences(directory.complete(), declared);
  BOOST_TEST_REQUIRE(found.size() == 3);
  BOOST_TEST(found[0].field() == "retry_percent");
  BOOST_TEST(found[0].before() == "0");
  BOOST_TEST(found[0].after() == "5");
  BOOST_TEST(found[1].change() == wire::difference::removed);
  BOOST_TEST(found[2].change() == wire::difference::added);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
