#include "zinniarelay/operate/operator_client.h"

#include <glog/logging.h>

namespace zinnia {

operator_client::operator_client(operator_transport& transport, std::vector<endpoint> hosts,
                                 attempt_limits limits, client_clock clock)
    : transport_(transport), hosts_(std::move(hosts)), limits_(limits), clock_(std::move(clock)) {
  CHECK(!hosts_.empty()) << "operator_client needs at least one control host";
}

template <class Reply, class Call, class Classify>
result<Reply> operator_client::repeat_until_final(Call call, Classify classify) {
  std::string last_cause;
  endpoint target = hosts_.front();
  std::size_t next = 1;
  bool is_redirected = false;
  const auto end = clock_.now() + limits_.timeout;
  do {
    result<Reply> reply = call(target);
    if (!reply && reply.error().kind != error_kind::unavailable) return reply.error();
    const auto step = reply ? classify(reply.value(), target) : next_step::retry;
    if (step == next_step::finish) return reply;
    last_cause =
        target.to_string() + ": " + (reply ? "has no confirmed leader" : reply.error().cause);
    if (step == next_step::follow_leader) {
      target = endpoint::parse(reply.value().leader_address()).value();
      // During an election two hosts can name each other as the leader, so only the first
      // redirection is followed without a delay.
      if (is_redirected) clock_.sleep(limits_.retry_delay);
      is_redirected = true;
      continue;
    }
    target = hosts_[next++ % hosts_.size()];
    is_redirected = false;
    clock_.sleep(limits_.retry_delay);
  } while (clock_.now() < end);
  return failure(error_kind::unavailable, "control hosts",
                 "no final reply within " + std::to_string(limits_.timeout.count()) +
                     " ms; last attempt: " + last_cause);
}

namespace {

bool names_another_leader(const std::string& leader_address, const endpoint& sender) {
  const auto leader = endpoint::parse(leader_address);
  return leader && leader.value() != sender;
}

} // namespace

operator_client::next_step operator_client::classify_apply(const wire::apply_reply& reply,
                                                           const endpoint& sender) {
  switch (reply.result()) {
  case wire::apply_reply::accepted:
  case wire::apply_reply::stale_base:
  case wire::apply_reply::invalid:
    return next_step::finish;
  case wire::apply_reply::not_leader:
    return names_another_leader(reply.leader_address(), sender) ? next_step::follow_leader
                                                                : next_step::retry;
  default:
    return next_step::retry; // not confirmed, or a status unknown to this version
  }
}

result<wire::apply_reply> operator_client::apply(const wire::apply_request& request) {
  return repeat_until_final<wire::apply_reply>(
      [&](const endpoint& host) { return transport_.apply(host, request); }, classify_apply);
}

result<wire::apply_reply> operator_client::drain(const wire::drain_request& request) {
  return repeat_until_final<wire::apply_reply>(
      [&](const endpoint& host) { return transport_.drain(host, request); }, classify_apply);
}

result<wire::apply_reply> operator_client::evacuate(const wire::evacuation_request& request) {
  return repeat_until_final<wire::apply_reply>(
      [&](const endpoint& host) { return transport_.evacuate(host, request); }, classify_apply);
}

result<wire::members_reply> operator_client::change_members(const wire::members_request& request) {
  return repeat_until_final<wire::members_reply>(
      [&](const endpoint& host) { return transport_.change_members(host, request); },
      [](const wire::members_reply& reply, const endpoint& sender) {
        if (reply.accepted()) return next_step::finish;
        if (names_another_leader(reply.leader_address(), sender)) return next_step::follow_leader;
        // A refusal from the leader contains the leader's own address. A host without a
        // known leader cannot refuse on behalf of the cluster.
        return reply.leader_address().empty() ? next_step::retry : next_step::finish;
      });
}

result<wire::diff_reply> operator_client::diff(const wire::apply_request& request) {
  return repeat_until_final<wire::diff_reply>(
      [&](const endpoint& host) { return transport_.diff(host, request); },
      [](const wire::diff_reply& reply, const endpoint& sender) {
        return names_another_leader(reply.leader_address(), sender) ? next_step::follow_leader
                                                                    : next_step::finish;
      });
}

} // namespace zinnia
