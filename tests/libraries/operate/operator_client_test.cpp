#include "zinniarelay/operate/operator_client.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace {

using namespace zinnia;

endpoint host(std::uint16_t n) {
  return {0x7F000001U, static_cast<std::uint16_t>(9000 + n)};
}

/// Answers from a script and records who was asked under which operation id.
class scripted_transport : public operator_transport {
public:
  struct asked {
    endpoint host;
    std::string operation_id;
  };

  result<wire::apply_reply> apply(const endpoint& to, const wire::apply_request& request) override {
    return next(to, request.operation_id(), replies);
  }
  result<wire::apply_reply> drain(const endpoint& to, const wire::drain_request& request) override {
    return next(to, request.operation_id(), replies);
  }
  result<wire::diff_reply> diff(const endpoint& to, const wire::apply_request&) override {
    return next(to, "", diffs);
  }
  result<wire::members_reply> change_members(const endpoint& to,
                                             const wire::members_request& request) override {
    return next(to, request.operation_id(), member_replies);
  }

  void add(wire::apply_reply::status status, const std::string& leader = {}) {
    wire::apply_reply reply;
    reply.set_result(status);
    reply.set_leader_address(leader);
    replies.emplace_back(reply);
  }
  void add_lost_answer() {
    replies.emplace_back(failure(error_kind::unavailable, "host", "no answer"));
  }
  void add_members(bool is_accepted, const std::string& leader) {
    wire::members_reply reply;
    reply.set_accepted(is_accepted);
    reply.set_leader_address(leader);
    member_replies.emplace_back(reply);
  }

  std::deque<result<wire::apply_reply>> replies;
  std::deque<result<wire::diff_reply>> diffs;
  std::deque<result<wire::members_reply>> member_replies;
  std::vector<asked> calls;

private:
  template <class Reply>
  Reply next(const endpoint& to, const std::string& id, std::deque<Reply>& from) {
    calls.push_back({to, id});
    BOOST_REQUIRE(!from.empty());
    auto reply = from.front();
    from.pop_front();
    return reply;
  }
};

struct client_fixture {
  scripted_transport transport;
  unsigned pauses = 0;
  operator_client client{transport,
                         {host(1), host(2), host(3)},
                         {milliseconds(45), milliseconds(10)},
                         {[this] { return time_point(pauses * milliseconds(10)); },
                          [this](milliseconds) { ++pauses; }}};
  wire::apply_request request = [] {
    wire::apply_request out;
    out.set_operation_id("op-1");
    return out;
  }();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_client_test, client_fixture)

// Guards against a second operation where the answer of the first was lost (R27).
BOOST_AUTO_TEST_CASE(a_lost_answer_is_repeated_under_the_same_id) {
  transport.add_lost_answer();
  transport.add(wire::apply_reply::not_confirmed);
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_REQUIRE_EQUAL(transport.calls.size(), 3U);
  for (std::uint16_t i = 0; i < 3; ++i) {
    BOOST_TEST((transport.calls[i].host == host(static_cast<std::uint16_t>(i + 1))));
    BOOST_TEST(transport.calls[i].operation_id == "op-1");
  }
  BOOST_TEST(pauses == 2U);
}

BOOST_AUTO_TEST_CASE(follows_the_leader_even_when_it_was_not_listed) {
  transport.add(wire::apply_reply::not_leader, "127.0.0.1:9007");
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_TEST((transport.calls.back().host == host(7)));
  BOOST_TEST(pauses == 0U);
}

// Guards against an endless exchange while an election runs and two hosts name
// each other.
BOOST_AUTO_TEST_CASE(gives_up_with_unavailable_after_its_time) {
  for (int i = 0; i < 3; ++i) {
    transport.add(wire::apply_reply::not_leader, "127.0.0.1:9002");
    transport.add(wire::apply_reply::not_leader, "127.0.0.1:9001");
  }
  const auto reply = client.apply(request);
  BOOST_TEST((reply.error().kind == error_kind::unavailable));
  BOOST_TEST(transport.calls.size() == 6U);
  BOOST_TEST(pauses == 5U);
}

// Guards against a leader address that is empty, damaged or the asked host's own.
BOOST_AUTO_TEST_CASE(ignores_redirections_that_lead_nowhere) {
  transport.add(wire::apply_reply::not_leader, "");
  transport.add(wire::apply_reply::not_leader, "leader");
  transport.add(wire::apply_reply::not_leader, "127.0.0.1:9003");
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_TEST((transport.calls.back().host == host(1)));
}

// Guards against an operator's change that overwrites another's: a refusal is
// an answer and is not tried again.
BOOST_AUTO_TEST_CASE(a_stale_base_is_not_repeated) {
  transport.add(wire::apply_reply::stale_base);
  BOOST_TEST((client.apply(request).value().result() == wire::apply_reply::stale_base));
  transport.add(wire::apply_reply::invalid);
  BOOST_TEST((client.drain({}).value().result() == wire::apply_reply::invalid));
  BOOST_TEST(transport.calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_the_leader_refuses_a_change_of_members) {
  transport.add_members(false, "");
  transport.add_members(false, "127.0.0.1:9003");
  transport.add_members(false, "127.0.0.1:9003");
  BOOST_TEST(!client.change_members({}).value().accepted());
  BOOST_TEST((transport.calls.back().host == host(3)));
}

BOOST_AUTO_TEST_CASE(other_errors_end_the_attempts) {
  transport.replies.emplace_back(failure(error_kind::malformed, "host", "unimplemented"));
  BOOST_TEST((client.apply(request).error().kind == error_kind::malformed));
  BOOST_TEST(transport.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
