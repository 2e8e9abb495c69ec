#include "support/control_group.h"
#include "support/message_mutator.h"

#include <boost/test/unit_test.hpp>

namespace zinnia {
namespace {

using support::control_group;
using support::message_mutator;

constexpr std::uint64_t seeds = 60;
constexpr int steps = 300;

BOOST_AUTO_TEST_SUITE(hostile_messages_test)

// Guards against a control host that ends, by an exception or a failed check, because another host
// sends a message whose fields contradict each other. Mutated copies accompany the messages of a
// group that replicates operations. What a host believes afterwards is not checked: a peer with the
// identity of a member is trusted.
BOOST_AUTO_TEST_CASE(mutated_messages_end_no_control_host) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    control_group group(seed, 3, {});
    random_engine engine(seed);
    message_mutator mutator(engine);
    group.run(milliseconds(1'000));
    for (int step = 0; step < steps; ++step) {
      group.now += control_group::step_time;
      for (std::uint64_t id = 1; id <= 3; ++id)
        group.tick(id);
      if (step % 20 == 0 && group.leader() != 0)
        group.submit(group.leader(),
                     control_group::request_of("o" + std::to_string(step), 0, {7'000}));
      for (auto& message : std::exchange(group.in_flight, {})) {
        auto mutated = message;
        mutator.mutate(mutated);
        group.deliver(std::move(message));
        if (mutator.below(3) == 0) group.deliver(std::move(mutated));
      }
    }
    for (std::uint64_t id = 1; id <= 3; ++id)
      BOOST_TEST(group.is_up(id), "seed " << seed << ", control host " << id);
  }
}

// Guards against a control host that ends because of a request of an entry host, of an operator or
// of another control host about packet flows.
BOOST_AUTO_TEST_CASE(mutated_requests_end_no_control_host) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    control_group group(seed, 1, {});
    random_engine engine(seed);
    message_mutator mutator(engine);
    group.run(milliseconds(2'000));
    auto& host = group.host(1);
    wire::spread_request spread;
    wire::version_request version;
    wire::recalled_view view;
    wire::news_request news;
    wire::sync_request sync;
    wire::apply_request apply = control_group::request_of("o", 0, {7'000});
    wire::drain_request drain;
    wire::members_request members;
    wire::audit_request audit;
    for (int step = 0; step < steps; ++step) {
      for (google::protobuf::Message* it : std::initializer_list<google::protobuf::Message*>{
               &spread, &version, &view, &news, &sync, &apply, &drain, &members, &audit})
        mutator.mutate(*it);
      const auto reply = host.merge_replicated(group.now, spread);
      BOOST_TEST(reply.source() == host.source());
      host.apply_version(group.now, 1, version);
      host.restore_view(group.now, view);
      host.updates(group.now, news);
      host.has_urgent_update(group.now, news);
      host.sync(group.now, sync);
      host.apply(group.now, 1, apply);
      host.drain(group.now, 1, drain);
      host.change_members(group.now, 1, members);
      host.audit(audit);
      host.current_view(group.now, 1);
      group.run(control_group::step_time);
    }
    BOOST_TEST(group.is_up(1), "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
