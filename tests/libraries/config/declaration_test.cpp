#include "format_findings.h"
#include "temporary_folder.h"
#include "zinniarelay/config/declaration.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

const std::string digest(64, '7');

const std::string valid_declaration = R"(services:
  - name: registry
    address: 10.20.0.1:7000
    methods:
      - {name: look-up, kind: idempotent, deadline: 2 s}
      - {name: certify, kind: non-idempotent, deadline: 500 ms}
    retry_percent: 5
    join: {slow_start_requests: 40}
    drain: {grace: 1 min}
    announce: {credential_file: registry.credential}
    queue_per_slot: 6
  - name: catalogue
    address: 10.20.0.2:7000
    methods: [{name: page, kind: idempotent, deadline: 10 min}]
    announce: {credential_digest: ")" +
                                      digest + "\"}\n";

struct declaration_folder : temporary_folder {
  declaration_folder() { write("registry.credential", "correct horse battery\n"); }

  checked<declaration> load(const std::string& text) const {
    return declaration::load(write("services.yaml", text));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(declaration_test, declaration_folder)

BOOST_AUTO_TEST_CASE(maps_every_key_to_the_message) {
  const auto loaded = load(valid_declaration).value();
  BOOST_TEST(loaded.warnings().empty());
  BOOST_REQUIRE_EQUAL(loaded.services().size(), 2U);
  const auto& registry = loaded.services()[0];
  BOOST_TEST(registry.name() == "registry");
  BOOST_TEST(registry.address() == "10.20.0.1:7000");
  BOOST_TEST(registry.methods(0).kind() == wire::idempotent);
  BOOST_TEST(registry.methods(0).deadline_ms() == 2000U);
  BOOST_TEST(registry.methods(1).name() == "certify");
  BOOST_TEST(registry.methods(1).kind() == wire::non_idempotent);
  BOOST_TEST(registry.retry_percent() == 5U);
  BOOST_TEST(registry.join_requests() == 40U);
  BOOST_TEST(registry.drain_grace_ms() == 60'000U);
  BOOST_TEST(registry.queue_per_slot() == 6U);
  BOOST_TEST(registry.credential_digest() == credential_digest("correct horse battery"));
  BOOST_TEST(loaded.services()[1].credential_digest() == std::string(32, 'w')); // 0x77
  BOOST_TEST(loaded.services()[1].retry_percent() == 10U);
  BOOST_TEST(service_errors(loaded.services()).empty());
}

// Guards against reporting only the first fault of a declaration, and against two
// services on one address (docs/design.md P2).
BOOST_AUTO_TEST_CASE(reports_all_faults_with_their_places) {
  const std::vector<std::string> expected{
      "2:11 service name is 'Registry'",
      "4:14 0 methods",
      "5:20 retry_percent is '101'",
      "6:12 unknown key 'slow' in join",
      "6:42 slow_start_requests is 'many'",
      "7:20 grace is '5'",
      "8:15 announce does not name one credential",
      "8:33 credential_file '" + (path() / "none").string() + "' does not exist",
      "8:58 credential_digest is '12'",
      "9:5 key 'address' is missing in a service",
      "11:31 kind is 'maybe'",
      "11:48 deadline is '2'",
      "12:16 method 'look-up' is declared twice",
      "12:53 deadline is '11 min'",
      "12:61 unknown key 'retries' in a method",
      "13:9 a method is not a map",
      "14:15 announce does not name one credential",
      "15:5 key 'methods' is missing in a service",
      "15:11 service registry is already declared on line 9",
      "16:14 address of registry 10.20.0.1:7000 is already used as address of Registry",
      "17:5 unknown key 'method' in a service",
      "18:35 credential_digest is '12'",
      "19:1 unknown key 'versoin' in the declaration",
  };
  const auto loaded = load(R"(services:
  - name: Registry
    address: 10.20.0.1:7000
    methods: []
    retry_percent: 101
    join: {slow: 1, slow_start_requests: many}
    drain: {grace: 5}
    announce: {credential_file: none, credential_digest: 12}
  - name: registry
    methods:
      - {name: look-up, kind: maybe, deadline: 2}
      - {name: look-up, kind: idempotent, deadline: 11 min, retries: 3}
      - certify
    announce: {}
  - name: registry
    address: 10.20.0.1:7000
    method: []
    announce: {credential_digest: 12}
versoin: 2
)");
  BOOST_TEST(format_findings(loaded.error()) == expected, boost::test_tools::per_element());
}

// Guards against a default kind: a non-idempotent method that is treated as idempotent
// could be executed twice (docs/design.md R5).
BOOST_AUTO_TEST_CASE(method_without_kind_is_reported) {
  const auto loaded = load("services:\n  - name: a\n    address: 10.0.0.1:1\n"
                           "    methods: [{name: certify, deadline: 1 s}]\n"
                           "    announce: {credential_digest: \"" +
                           digest + "\"}\n");
  BOOST_TEST(format_findings(loaded.error()).front() == "4:15 key 'kind' is missing in a method");
}

BOOST_AUTO_TEST_CASE(warns_about_valid_but_unlikely_values) {
  const auto text = "services:\n  - name: a\n    address: 10.0.0.1:1\n"
                    "    methods: [{name: m, kind: idempotent, deadline: 1 s}]\n"
                    "    retry_percent: 50\n    announce: {credential_digest: \"" +
                    digest + "\"}\n";
  auto second = text.substr(text.find("  - name"));
  second.replace(second.find("name: a"), 7, "name: b").replace(second.find(".1:1"), 4, ".1:2");
  const auto warnings = load(text + second).value().warnings();
  BOOST_REQUIRE_EQUAL(warnings.size(), 3U);
  BOOST_TEST(!has_errors(warnings));
  BOOST_TEST(warnings[0].line == 5);
  BOOST_TEST(warnings[2].line == 11);
  BOOST_TEST(load("services: []\n").value().warnings().size() == 1U);
}

// Guards against a control host that accepts services in a message that the file
// check rejects.
BOOST_AUTO_TEST_CASE(messages_are_checked_by_the_same_rules) {
  auto services = load(valid_declaration).value().services();
  services[0].set_address("10.20.0.2:7000");
  services[0].set_retry_percent(101);
  services[0].mutable_methods(1)->set_name("look-up");
  services[0].mutable_methods(1)->set_kind(wire::method_kind_unset);
  services[1].set_name("registry");
  services[1].clear_credential_digest();
  services[1].clear_methods();
  std::vector<std::string> places;
  for (const auto& it : service_errors(services))
    places.push_back(it.place);
  const std::vector<std::string> expected{
      "services[0].methods[1].name",  "services[0].methods[1].kind",
      "services[0].retry_percent",    "services[1].name",
      "services[1].address",          "services[1].methods",
      "services[1].credential_digest"};
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
