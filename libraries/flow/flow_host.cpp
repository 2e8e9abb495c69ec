#include "zinniarelay/flow/flow_host.h"

#include "zinniarelay/flow/load_report.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

constexpr std::uint32_t max_confirmed_quorum_age_ms = 1'500;
// The owner's loop runs at least every 50 ms. After a longer gap the process was suspended or
// stopped, and its view of upstreams may be outdated.
constexpr milliseconds min_suspension{1'000};
// Packets that may wait for tokens: as many as the leases of this host permit within the time for
// which a packet is held, or this many without a lease.
constexpr double max_token_wait_s = 0.8;
constexpr std::size_t max_waiting_without_lease = 32;
// Each release decides all held packets again, also those for services without a token. Limits this
// work to 50 times a second.
constexpr milliseconds min_release_interval{20};

} // namespace

declaration_trust trust_of(const wire::news_reply& reply) {
  if (reply.quorum_age_ms() <= max_confirmed_quorum_age_ms) return declaration_trust::confirmed;
  return reply.recalled() ? declaration_trust::restored : declaration_trust::unconfirmed;
}

const char* name_of(declaration_trust value) {
  switch (value) {
  case declaration_trust::confirmed:
    return "confirmed";
  case declaration_trust::restored:
    return "recalled";
  case declaration_trust::unconfirmed:
    return "unconfirmed";
  }
  return "unknown";
}

flow_decision flow_host::handle(time_point now, const packet_head& head,
                                std::span<const std::byte> bytes) {
  last_packet_ = std::max(last_packet_, now);
  auto out = router_.route(now, head);
  if (out.action == flow_decision::action_type::hold &&
      out.reason == flow_decision::reason_type::cold && is_token_queue_full())
    out.action = flow_decision::action_type::reset;
  if (out.action == flow_decision::action_type::hold) held_.add(now, head, bytes);
  return out;
}

bool flow_host::is_token_queue_full() const {
  const auto rate = router_.selector().tokens().granted_rate();
  if (rate <= 0) return held_.size() >= max_waiting_without_lease;
  return static_cast<double>(held_.size()) >= 1 + rate * max_token_wait_s;
}

bool flow_host::may_release_held(time_point now) const {
  return held_.size() > 0 && now - last_release_ >= min_release_interval &&
         router_.selector().tokens().has_any_token();
}

bool flow_host::wants_grants(time_point now) const {
  return !readiness_.is_stopping() && router_.upstreams().has_limits() &&
         router_.selector().has_demand(now);
}

flow_host::update_result flow_host::apply(time_point now, const wire::news_reply& reply,
                                          time_point requested) {
  update_result out;
  // Before the upstreams of the reply become known: no flow may be opened at one of an evacuated
  // zone. Evacuations that are not known to be committed apply until confirm().
  out.zones = router_.apply(now, reply.evacuations());
  if (reply.from_position() == 0) router_.begin_list(reply.source());
  router_.merge_update(now, reply.upstreams(),
                       reply.has_more_upstreams() ? flow_router::update_extent::partial
                                                  : flow_router::update_extent::complete);
  if (reply.has_liveness()) router_.record_liveness(now, reply.source(), reply.liveness());
  apply_declaration(now, reply, out);
  router_.record_origin(now, reply);
  router_.record_grants(requested, reply);
  if (trust_of(reply) == declaration_trust::confirmed) router_.confirm(reply.declaration_version());
  // The ages in a reply count from when it was sent, which may be as early as its request.
  if (now - requested <= load_report_lifetime) router_.apply_loads(now, reply);
  router_.record_update_request(requested);
  last_update_ = now;
  readiness_.set_serving(router_.routes().version() > 0, router_.has_upstreams());
  return out;
}

void flow_host::apply_declaration(time_point now, const wire::news_reply& reply,
                                  update_result& out) {
  const auto previous = router_.routes().version();
  if (!readiness_.is_acceptable(now, trust_of(reply), previous > 0)) return;
  if (reply.has_change())
    apply_change(reply.change(), out);
  else if (reply.has_declaration() && router_.apply(reply.declaration()))
    needs_complete_declaration_ = false;
  if (router_.routes().version() == previous) return;
  in_force_since_ = now;
  out.is_declaration_new = true;
}

// A change for another version answers a request that was sent before the last reply arrived.
void flow_host::apply_change(const wire::flow_declaration_change& change, update_result& out) {
  if (change.base_version() != router_.routes().version()) return;
  const auto applied = router_.apply(change);
  if (applied.has_value()) return;
  out.refusal = applied.error();
  needs_complete_declaration_ = true;
}

std::optional<milliseconds> flow_host::record_iteration(time_point now) {
  const auto last = std::exchange(last_iteration_, now);
  if (!last || now - *last < min_suspension) return std::nullopt;
  router_.record_suspension(now);
  return std::chrono::duration_cast<milliseconds>(now - *last);
}

} // namespace zinnia
