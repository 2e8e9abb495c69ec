#include "zinniarelay/operate/operator_client.h"

#include <glog/logging.h>

namespace zinnia {

operator_client::operator_client(operator_transport& transport, std::vector<endpoint> hosts,
                                 attempt_limits limits, client_clock clock)
    : transport_(transport), hosts_(std::move(hosts)), limits_(limits), clock_(std::move(clock)) {
  CHECK(!hosts_.empty()) << "an operator's client needs a control host";
}

template <class Reply, class Call, class Judge>
result<Reply> operator_client::until_settled(Call call, Judge judge) {
  std::string last_cause;
  endpoint target = hosts_.front();
  std::size_t next = 1;
  bool has_followed = false;
  const auto end = clock_.now() + limits_.budget;
  do {
    result<Reply> reply = call(target);
    if (!reply && reply.error().kind != error_kind::unavailable) return reply.error();
    const auto seen = reply ? judge(reply.value(), target) : verdict::ask_again;
    if (seen == verdict::settled) return reply;
    last_cause =
        target.to_string() + ": " + (reply ? "has no confirmed leader" : reply.error().cause);
    if (seen == verdict::ask_leader) {
      target = endpoint::parse(reply.value().leader_address()).value();
      // During an election two hosts can name each other; only the first
      // redirection is followed without a pause.
      if (has_followed) clock_.pause(limits_.pause);
      has_followed = true;
      continue;
    }
    target = hosts_[next++ % hosts_.size()];
    has_followed = false;
    clock_.pause(limits_.pause);
  } while (clock_.now() < end);
  return failure(error_kind::unavailable, "control hosts",
                 "no settled answer in " + std::to_string(limits_.budget.count()) +
                     " ms; the last one, from " + last_cause);
}

namespace {

bool names_another_leader(const std::string& leader_address, const endpoint& asked) {
  const auto leader = endpoint::parse(leader_address);
  return leader && leader.value() != asked;
}

} // namespace

operator_client::verdict operator_client::judge_apply(const wire::apply_reply& reply,
                                                      const endpoint& asked) {
  switch (reply.result()) {
  case wire::apply_reply::accepted:
  case wire::apply_reply::stale_base:
  case wire::apply_reply::invalid:
    return verdict::settled;
  case wire::apply_reply::not_leader:
    return names_another_leader(reply.leader_address(), asked) ? verdict::ask_leader
                                                               : verdict::ask_again;
  default:
    return verdict::ask_again; // not confirmed, or a status this version does not know
  }
}

result<wire::apply_reply> operator_client::apply(const wire::apply_request& request) {
  return until_settled<wire::apply_reply>(
      [&](const endpoint& host) { return transport_.apply(host, request); }, judge_apply);
}

result<wire::apply_reply> operator_client::drain(const wire::drain_request& request) {
  return until_settled<wire::apply_reply>(
      [&](const endpoint& host) { return transport_.drain(host, request); }, judge_apply);
}

result<wire::members_reply> operator_client::change_members(const wire::members_request& request) {
  return until_settled<wire::members_reply>(
      [&](const endpoint& host) { return transport_.change_members(host, request); },
      [](const wire::members_reply& reply, const endpoint& asked) {
        if (reply.accepted()) return verdict::settled;
        if (names_another_leader(reply.leader_address(), asked)) return verdict::ask_leader;
        // The leader refuses under its own address; a host that knows no
        // leader cannot refuse for the cluster.
        return reply.leader_address().empty() ? verdict::ask_again : verdict::settled;
      });
}

result<wire::diff_reply> operator_client::diff(const wire::apply_request& request) {
  return until_settled<wire::diff_reply>(
      [&](const endpoint& host) { return transport_.diff(host, request); },
      [](const wire::diff_reply& reply, const endpoint& asked) {
        return names_another_leader(reply.leader_address(), asked) ? verdict::ask_leader
                                                                   : verdict::settled;
      });
}

} // namespace zinnia
