#include "zinniarelay/operate/operator_client.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace {

using namespace zinnia;

endpoint host(std::uint16_t n) {
  return {0x7F000001U, static_cast<std::uint16_t>(9000 + n)};
}

/// Returns scripted replies and records the host and the operation id of each call.
class scripted_transport : public operator_transport {
public:
  struct recorded_call {
    endpoint host;
    std::string operation_id;
  };

  result<wire::apply_reply> apply(const endpoint& to, const wire::apply_request& request) override {
    return next(to, request.operation_id(), replies);
  }
  result<wire::apply_reply> drain(const endpoint& to, const wire::drain_request& request) override {
    return next(to, request.operation_id(), replies);
  }
  result<wire::apply_reply> evacuate(const endpoint& to,
                                     const wire::evacuation_request& request) override {
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
  void add_lost_reply() {
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
  std::vector<recorded_call> calls;

private:
  template <class Reply>
  Reply next(const endpoint& to, const std::string& id, std::deque<Reply>& queue) {
    calls.push_back({to, id});
    BOOST_REQUIRE(!queue.empty());
    auto reply = queue.front();
    queue.pop_front();
    return reply;
  }
};

struct client_fixture {
  scripted_transport transport;
  unsigned delays = 0;
  operator_client client{transport,
                         {host(1), host(2), host(3)},
                         {milliseconds(45), milliseconds(10)},
                         {[this] { return time_point(delays * milliseconds(10)); },
                          [this](milliseconds) { ++delays; }}};
  wire::apply_request request = [] {
    wire::apply_request out;
    out.set_operation_id("op-1");
    return out;
  }();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_client_test, client_fixture)

// Guards against starting a second operation when the reply to the first is lost (R27).
BOOST_AUTO_TEST_CASE(lost_reply_is_retried_with_same_operation_id) {
  transport.add_lost_reply();
  transport.add(wire::apply_reply::not_confirmed);
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_REQUIRE_EQUAL(transport.calls.size(), 3U);
  for (std::uint16_t i = 0; i < 3; ++i) {
    BOOST_TEST((transport.calls[i].host == host(static_cast<std::uint16_t>(i + 1))));
    BOOST_TEST(transport.calls[i].operation_id == "op-1");
  }
  BOOST_TEST(delays == 2U);
}

BOOST_AUTO_TEST_CASE(follows_redirection_to_unlisted_leader) {
  transport.add(wire::apply_reply::not_leader, "127.0.0.1:9007");
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_TEST((transport.calls.back().host == host(7)));
  BOOST_TEST(delays == 0U);
}

// Guards against following redirections without end while two hosts name each other as
// the leader during an election.
BOOST_AUTO_TEST_CASE(fails_as_unavailable_after_timeout) {
  for (int i = 0; i < 3; ++i) {
    transport.add(wire::apply_reply::not_leader, "127.0.0.1:9002");
    transport.add(wire::apply_reply::not_leader, "127.0.0.1:9001");
  }
  const auto reply = client.apply(request);
  BOOST_TEST((reply.error().kind == error_kind::unavailable));
  BOOST_TEST(transport.calls.size() == 6U);
  BOOST_TEST(delays == 5U);
}

// Guards against following a leader address that is empty, malformed or that of the
// replying host itself.
BOOST_AUTO_TEST_CASE(ignores_unusable_leader_addresses) {
  transport.add(wire::apply_reply::not_leader, "");
  transport.add(wire::apply_reply::not_leader, "leader");
  transport.add(wire::apply_reply::not_leader, "127.0.0.1:9003");
  transport.add(wire::apply_reply::accepted);
  BOOST_TEST(client.apply(request).has_value());
  BOOST_TEST((transport.calls.back().host == host(1)));
}

// Guards against an operator's change that overwrites another operator's change: a
// refusal is final and is not retried.
BOOST_AUTO_TEST_CASE(refusals_are_not_retried) {
  transport.add(wire::apply_reply::stale_base);
  BOOST_TEST((client.apply(request).value().result() == wire::apply_reply::stale_base));
  transport.add(wire::apply_reply::invalid);
  BOOST_TEST((client.drain({}).value().result() == wire::apply_reply::invalid));
  BOOST_TEST(transport.calls.size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_leader_refuses_change_of_members) {
  transport.add_members(false, "");
  transport.add_members(false, "127.0.0.1:9003");
  transport.add_members(false, "127.0.0.1:9003");
  BOOST_TEST(!client.change_members({}).value().accepted());
  BOOST_TEST((transport.calls.back().host == host(3)));
}

BOOST_AUTO_TEST_CASE(other_errors_are_not_retried) {
  transport.replies.emplace_back(failure(error_kind::malformed, "host", "unimplemented"));
  BOOST_TEST((client.apply(request).error().kind == error_kind::malformed));
  BOOST_TEST(transport.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
