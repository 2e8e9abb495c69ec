#include "platform/operator_api.h"

#include "platform/bodies.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using state = upstream_report::state;

const std::string declaration =
    R"({"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/8080/",)"
    R"("routeType":"unsafe","timeoutMs":3000,"aimMs":250,"priority":1,"service":"core",)"
    R"("maxAttempts":2},{"name":"r-2","hostname":"198.18.0.1","pathPrefix":"/8443/",)"
    R"("routeType":"safe","timeoutMs":2500,"aimMs":200,"priority":2,"trafficSplit":[)"
    R"({"service":"core","weight":90},{"service":"history","weight":10}],"maxAttempts":2}],)"
    R"("services":[{"name":"core","healthPath":"/health","maxFlows":2000},)"
    R"({"name":"history","healthPath":"/health","maxFlows":2000}],)"
    R"("limits":{"idleTimeoutMs":15000}})";

const std::string report =
    R"({"service":"core","address":"10.128.0.9:8080","zone":"b","version":"v1",)"
    R"("maxConcurrency":2,"state":"ready","warmupLeftMs":400,"sequence":4,"born":1700000000000})";

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

struct operations_stub final : flow_operations {
  answer apply_version(const wire::versioned_declaration& value) override {
    proposed = value;
    return next_answer;
  }
  answer order_zone(const std::string& zone, zone_order order) override {
    zone_orders.emplace_back(zone, order);
    return next_answer;
  }
  std::optional<std::string> read_document() override { return document; }
  answer report(const upstream_report& value) override {
    reported = value;
    return next_answer;
  }
  std::optional<upstream_report> find_upstream(const std::string& /*id*/) override {
    return existing;
  }

  answer next_answer{outcome::done, ""};
  wire::versioned_declaration proposed;
  std::vector<std::pair<std::string, zone_order>> zone_orders;
  std::optional<std::string> document;
  std::optional<upstream_report> reported;
  std::optional<upstream_report> existing;
};

struct api_fixture {
  int post(const std::string& path, const std::string& body) {
    return api.handle({"POST", path, body}).status;
  }
  operations_stub operations;
  platform::operator_api api{operations};
};

BOOST_FIXTURE_TEST_SUITE(operator_api_test, api_fixture)

// Guards against simulated operators whose declarations lose or change fields in encoding.
BOOST_AUTO_TEST_CASE(encoded_declaration_is_decoded_unchanged) {
  wire::flow_declaration sent;
  sent.set_version(9);
  sent.set_idle_timeout_ms(15'000);
  sent.add_services()->set_name("core");
  auto& route = *sent.add_routes();
  route.set_name("r-1");
  route.set_address(0xC612'0001);
  route.set_port(8080);
  route.set_kind(wire::unsafe);
  route.set_timeout_ms(3'000);
  auto& share = *route.add_services();
  share.set_service("core");
  share.set_weight(1);
  const auto read = platform::decode_declaration(platform::encode_declaration(sent));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().SerializeAsString() == sent.SerializeAsString());
}

// Guards against fields of a declaration that are lost or decoded wrongly.
BOOST_AUTO_TEST_CASE(declaration_is_decoded_and_stored_as_sent) {
  BOOST_TEST(post("/api/config/replace", declaration) == 200);
  BOOST_TEST(operations.proposed.document() == declaration);
  const auto& decoded = operations.proposed.declaration();
  BOOST_TEST(decoded.version() == 7U);
  BOOST_TEST(decoded.idle_timeout_ms() == 15'000U);
  BOOST_REQUIRE(decoded.routes_size() == 2);
  BOOST_TEST(decoded.routes(0).address() == 0xC612'0001U);
  BOOST_TEST(decoded.routes(0).port() == 8080U);
  BOOST_TEST((decoded.routes(0).kind() == wire::unsafe));
  BOOST_TEST(decoded.routes(0).services(0).service() == "core");
  BOOST_TEST(decoded.routes(1).services(1).weight() == 10U);
}

// Guards against warm-up limits that are lost in decoding, or rounded down to a shorter time.
BOOST_AUTO_TEST_CASE(warmup_limits_are_decoded) {
  const auto decode = [](const std::string& fields) {
    return platform::decode_declaration(
        R"({"version": 1, "routes": [], "services": [{"name": "s")" + fields + "}]}");
  };
  const auto read = decode(R"(, "warmupS": 2.5004, "warmupPerS": 1.25)");
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().services(0).warmup_ms() == 2'501U);
  BOOST_TEST(read.value().services(0).warmup_rate() == 1.25);
  BOOST_TEST(decode(R"(, "warmupS": 8, "warmupPerS": 3)").value().services(0).warmup_rate() == 3);
  BOOST_TEST(decode("").value().services(0).warmup_rate() == 0);
  const auto& sent = read.value();
  const auto again = platform::decode_declaration(platform::encode_declaration(sent));
  BOOST_TEST(again.value().services(0).SerializeAsString() == sent.services(0).SerializeAsString());
  for (const auto* refused :
       {"-1", "-0.5", "\"5\"", "true", "null", "[1]", "{}", "1e400", "1e12"}) {
    BOOST_TEST(!decode(std::string(", \"warmupS\": ") + refused).has_value(), refused);
    BOOST_TEST(!decode(std::string(", \"warmupPerS\": ") + refused).has_value(), refused);
  }
}

// Guards against the acceptance of a declaration that cannot be decoded completely.
BOOST_AUTO_TEST_CASE(malformed_declaration_is_refused) {
  BOOST_TEST(post("/api/config/replace", declaration.substr(0, 300)) == 400);
  BOOST_TEST(post("/api/config/replace", "") == 400);
  BOOST_TEST(post("/api/config/replace", "[]") == 400);
  BOOST_TEST(post("/api/config/replace", replace_first(declaration, "\"version\":7,", "")) == 400);
  BOOST_TEST(post("/api/config/replace", replace_first(declaration, "/8080/", "/port/")) == 400);
  BOOST_TEST(post("/api/config/replace", replace_first(declaration, "\"weight\":90", "\"w\":90")) ==
             400);
  BOOST_TEST(post("/api/config/replace", replace_first(declaration, "3000", "\"3000\"")) == 400);
  BOOST_TEST(operations.proposed.document().empty());
}

// Guards against an unknown outcome that is reported as a refusal or as a success.
BOOST_AUTO_TEST_CASE(outcome_determines_http_status) {
  operations.next_answer = {flow_operations::outcome::unconfirmed, "no quorum"};
  BOOST_TEST(post("/api/config/replace", declaration) == 503);
  operations.next_answer = {flow_operations::outcome::invalid, "two routes"};
  BOOST_TEST(post("/api/config/replace", declaration) == 400);
}

// Guards against a read that returns a declaration which may be outdated.
BOOST_AUTO_TEST_CASE(unconfirmed_read_is_unavailable) {
  BOOST_TEST(api.handle({"GET", "/api/config/describe", ""}).status == 503);
  operations.document = declaration;
  BOOST_TEST(api.handle({"GET", "/api/config/describe", ""}).body == declaration);
}

// Guards against reports that are decoded wrongly, and against malformed reports that are
// accepted.
BOOST_AUTO_TEST_CASE(reports_are_decoded_and_validated) {
  const std::string path = "/api/instances/i-7f3a91c2/heartbeat";
  BOOST_TEST(post(path, report) == 200);
  const upstream_report expected{
      "i-7f3a91c2", 1'700'000'000'000, 4, "core", {0x0A80'0009, 8080}, "b", "v1", 2,
      state::ready, milliseconds(400)};
  BOOST_TEST((operations.reported == expected));
  operations.reported.reset();
  BOOST_TEST(post(path, replace_first(report, "\"ready\"", "\"asleep\"")) == 400);
  BOOST_TEST(
      post(path, replace_first(report, "\"maxConcurrency\":2", "\"maxConcurrency\":\"2\"")) == 400);
  BOOST_TEST(post(path, replace_first(report, "10.128.0.9:8080", "10.128.0.9")) == 400);
  BOOST_TEST(post(path, report.substr(0, 50)) == 400);
  BOOST_TEST(post("/api/instances/nobody/heartbeat", report) == 400);
  BOOST_TEST(!operations.reported.has_value());
}

// Guards against a report that names no incarnation: it would replace another report without a
// start time at its address.
BOOST_AUTO_TEST_CASE(report_without_a_start_time_is_refused) {
  const auto body = replace_first(report, R"(,"born":1700000000000)", "");
  BOOST_TEST(post(platform::report_path("i-7f"), body) == 400);
  BOOST_TEST(!operations.reported.has_value());
}

// Guards against an operator who believes that new flows go to a service which does not exist.
BOOST_AUTO_TEST_CASE(unknown_service_beside_a_list_of_shares_is_refused) {
  const auto with_service = [](const std::string& name) {
    return replace_first(declaration, R"("trafficSplit")",
                         R"("service":")" + name + R"(","trafficSplit")");
  };
  BOOST_TEST(post(platform::replace_declaration_path(), with_service("elsewhere")) == 400);
  BOOST_TEST(operations.proposed.declaration().routes_size() == 0);
  BOOST_TEST(post(platform::replace_declaration_path(), with_service("history")) == 200);
}

// Guards against simulated upstreams whose reports differ from the decoded format.
BOOST_AUTO_TEST_CASE(encoded_reports_are_decoded_unchanged) {
  const auto written = platform::decode_report("i-7f", report).value();
  BOOST_TEST(post(platform::report_path("i-7f"), platform::encode_report(written)) == 200);
  BOOST_TEST((operations.reported == written));
  BOOST_TEST(post(platform::leave_path("i-7f"), platform::encode_leave(written)) == 200);
  BOOST_TEST(operations.reported->incarnation() == written.incarnation());
}

// Guards against a leave message that ends another incarnation than its sender.
BOOST_AUTO_TEST_CASE(leave_ends_the_named_incarnation) {
  operations.existing = platform::decode_report("i-7f", report).value();
  BOOST_TEST(post("/api/instances/i-7f/deregister", "") == 200);
  BOOST_TEST((operations.reported->condition == state::gone));
  BOOST_TEST(operations.reported->incarnation() == operations.existing->incarnation());
  BOOST_TEST(post("/api/instances/i-7f/deregister", R"({"born":5})") == 200);
  BOOST_TEST(operations.reported->started_ms == 5U);
  BOOST_TEST(operations.reported->incarnation() != operations.existing->incarnation());
}

// Guards against an order that is acknowledged for another zone or for none.
BOOST_AUTO_TEST_CASE(orders_of_zones_are_decoded_from_the_path) {
  using order = flow_operations::zone_order;
  BOOST_TEST(post("/api/evacuations/zone-1/start", "") == 200);
  BOOST_TEST(post(platform::restore_path("zone-2"), "") == 200);
  const std::vector<std::pair<std::string, order>> expected{{"zone-1", order::evacuate},
                                                            {"zone-2", order::restore}};
  BOOST_TEST((operations.zone_orders == expected));
  for (const auto* path : {"/api/evacuations//start", "/api/evacuations/a", "/api/evacuations/a/b",
                           "/api/evacuations/a/b/start", "/api/evacuations/start"})
    BOOST_TEST(post(path, "") == 404);
  BOOST_TEST(api.handle({"GET", "/api/evacuations/a/start", ""}).status == 404);
  BOOST_TEST(operations.zone_orders.size() == 2U);
}

// Guards against an operator who takes the refusal of an unknown zone for an outage, or an order
// that may not be in force for an acknowledged one.
BOOST_AUTO_TEST_CASE(outcome_of_an_order_determines_http_status) {
  operations.next_answer = {flow_operations::outcome::not_found, "zone x is not known"};
  BOOST_TEST(post(platform::evacuate_path("x"), "") == 404);
  operations.next_answer = {flow_operations::outcome::unconfirmed, "changed"};
  BOOST_TEST(post(platform::evacuate_path("x"), "") == 503);
}

// Guards against a success status for an unknown path.
BOOST_AUTO_TEST_CASE(unknown_path_is_not_found) {
  BOOST_TEST(post("/api/instances//heartbeat", report) == 404);
  BOOST_TEST(post("/elsewhere", report) == 404);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
