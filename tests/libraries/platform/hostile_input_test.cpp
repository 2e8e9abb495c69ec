#include "platform/bodies.h"
#include "platform/operator_api.h"
#include "platform/packet_codec.h"
#include "support/message_mutator.h"
#include "zinniarelay/flow/flow_router.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::message_mutator;

constexpr int packets = 200'000;
constexpr int bodies = 40'000;

const std::string declaration =
    R"({"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/443/",)"
    R"("routeType":"unsafe","timeoutMs":3000,"aimMs":250,"priority":1,"trafficSplit":[)"
    R"({"service":"core","weight":90}],"maxAttempts":2}],)"
    R"("services":[{"name":"core","healthPath":"/health","maxFlows":2000}],)"
    R"("limits":{"idleTimeoutMs":15000}})";

const std::string report =
    R"({"service":"core","address":"10.128.0.9:8080","zone":"b","version":"v1",)"
    R"("maxConcurrency":2,"state":"ready","warmupLeftMs":400,"sequence":4,"born":1700000000000})";

struct operations_stub final : flow_operations {
  answer apply_version(const wire::versioned_declaration& value) override {
    BOOST_TEST_REQUIRE(value.declaration().version() > 0U);
    return {outcome::done, ""};
  }
  answer order_zone(const std::string& /*zone*/, zone_order /*order*/) override {
    return {outcome::done, ""};
  }
  std::optional<std::string> read_document() override { return "{}"; }
  answer report(const upstream_report& value) override {
    const bool is_gone = value.condition == upstream_report::state::gone;
    BOOST_TEST_REQUIRE((is_gone || upstream_report::from_wire(value.to_wire()).has_value()));
    return {outcome::done, ""};
  }
  std::optional<upstream_report> find_upstream(const std::string& /*id*/) override {
    return std::nullopt;
  }
};

// Replaces, removes or inserts bytes, or repeats a part of the text.
std::string damaged(std::string text, message_mutator& mutator) {
  for (auto n = mutator.below(3) + 1; n > 0; --n) {
    const auto at = mutator.below(static_cast<std::uint64_t>(text.size()) + 1);
    const auto length = mutator.below(12);
    switch (mutator.below(4)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, mutator.text(6));
      break;
    case 2:
      text.insert(at, text.substr(at, length * 4));
      break;
    default: {
      static const std::vector<std::string> values{
          "null", "-1", "1e400", "[]", "{}", "\"\"", "99999999999999999999", "[[[[[[[[", "\\ud800"};
      text.replace(at, length, values[mutator.below(static_cast<std::uint64_t>(values.size()))]);
    }
    }
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(hostile_input_test)

// Guards against a body that ends a control host, or that is neither accepted nor refused.
BOOST_AUTO_TEST_CASE(damaged_bodies_are_accepted_or_refused) {
  random_engine engine(1);
  message_mutator mutator(engine);
  operations_stub operations;
  platform::operator_api api(operations);
  for (int n = 0; n < bodies; ++n) {
    const bool is_declaration = mutator.below(2) == 0;
    const auto path = is_declaration          ? platform::replace_declaration_path()
                      : mutator.below(2) == 0 ? platform::report_path("i-7f3a")
                                              : platform::leave_path("i-7f3a");
    const auto body = damaged(is_declaration ? declaration : report, mutator);
    const auto status = api.handle({"POST", path, body}).status;
    BOOST_TEST_REQUIRE((status == 200 || status == 400), "status " << status << " for " << body);
  }
}

// Guards against a datagram that ends an entry host, or that is forwarded although it is no packet
// of a caller.
BOOST_AUTO_TEST_CASE(damaged_packets_end_no_entry_host) {
  random_engine engine(2);
  message_mutator mutator(engine);
  flow_router router({}, random_engine(3));
  router.apply(platform::decode_declaration(declaration).value());
  router.confirm();
  wire::upstream_news update;
  *update.add_reports() = platform::decode_report("i-7f3a", report).value().to_wire();
  time_point now{std::chrono::hours(1)};
  router.merge_update(now, update);
  packet_head opening;
  opening.source = {0x6440'0007, 40'000};
  opening.destination = {0xC612'0001, 443};
  opening.is_open = true;
  std::string valid(platform::head_size, '\0');
  platform::encode_head(std::as_writable_bytes(std::span(valid)), opening);
  std::size_t forwarded = 0;
  for (int n = 0; n < packets; ++n) {
    now += milliseconds(1);
    router.tick(now);
    auto packet = mutator.below(4) == 0 ? mutator.text(80) : damaged(valid, mutator);
    const auto head = platform::decode_head(std::as_bytes(std::span(packet)));
    if (!head) continue;
    const auto decision = router.route(now, *head);
    if (decision.action != flow_decision::action_type::forward) continue;
    ++forwarded;
    BOOST_TEST_REQUIRE(decision.upstream_id != nullptr);
    BOOST_TEST_REQUIRE(!(head->is_open && head->is_answer));
  }
  BOOST_TEST(forwarded > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
