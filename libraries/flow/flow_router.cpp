#include "zinniarelay/flow/flow_router.h"

#include <algorithm>

namespace zinnia {
namespace {

using action = flow_decision::action_type;
using reason = flow_decision::reason_type;

// A caller abandons an attempt 1.4 s after its first opening packet.
constexpr milliseconds opening_timeout{1'500};
// A request rarely runs or waits for longer than this. A flow without packets for so long
// has most likely ended or is idle, and does not count as load.
constexpr milliseconds idle_flow_timeout{1'000};
constexpr milliseconds expiry_period{100};
// After a start from a restored view, upstreams have reported to a control host and control hosts
// have replicated this within this time of the first reply that is not restored.
constexpr milliseconds restored_uncertainty{1'000};

/// Returns a decision that forwards nothing.
flow_decision decision_of(action action, reason reason) {
  flow_decision out;
  out.action = action;
  out.reason = reason;
  return out;
}

} // namespace

const char* name_of(flow_decision::reason_type reason) {
  constexpr std::array<const char*, flow_decision::reason_count> names{
      "opened",      "reopened",     "moved",     "routed",   "no_route", "no_upstream",
      "unknown_tag", "not_a_caller", "not_ready", "outdated", "cold"};
  return names.at(static_cast<std::size_t>(reason));
}

flow_decision flow_router::route(time_point now, const packet_head& head) {
  flow_decision out;
  if (head.is_open && head.is_answer)
    out = decision_of(action::drop, reason::not_a_caller);
  else
    out = head.is_open ? open_flow(now, head) : route_open_flow(now, head);
  ++counts_.at(static_cast<std::size_t>(out.reason));
  return out;
}

// Returns true while an opening packet can be a repetition for this flow. Otherwise the
// caller has reused the port, and the entry of the earlier flow must not route the new flow
// to its upstream, which may be draining by now.
bool flow_router::is_opening(time_point now, const flow_table::flow& flow) {
  return !flow.is_closed && !flow.is_answered && now - flow.opened <= opening_timeout;
}

// A suspended process may hold opening packets whose callers have given up, and it would place
// them on upstreams that have left in the meantime. The callers repeat their opening packets.
// A host that reaches no control host serves with the upstreams that it has (P9).
bool flow_router::is_outdated(time_point now) const {
  return resumed_ && now - *resumed_ < settings_.outdated_view_timeout;
}

// An update that leaves out upstreams may leave out one that has left.
void flow_router::record_update_request(time_point requested) {
  if (!is_last_update_complete_ || !resumed_ || requested < *resumed_) return;
  resumed_.reset();
  if (!is_view_restored_)
    selector_.end_uncertainty(std::max(selector_.tokens().clock(), restored_view_ended_));
}

bool flow_router::accepts_flows(const upstream_directory::entry& upstream) const {
  return upstream.report.condition == upstream_report::state::ready &&
         !evacuations_.contains(upstream.report.zone);
}

flow_decision flow_router::open_flow(time_point now, const packet_head& head) {
  if (routes_.version() == 0) return decision_of(action::hold, reason::not_ready);
  if (is_outdated(now)) return decision_of(action::drop, reason::outdated);
  const auto* route = routes_.find(head.destination);
  // A newer declaration may have the route.
  if (route == nullptr && !is_confirmed()) return decision_of(action::hold, reason::not_ready);
  if (route == nullptr) return decision_of(action::reset, reason::no_route);
  const auto key = head.key();
  const auto& service = route->service_of(std::hash<flow_key>{}(key));
  if (upstreams_.limit_of(service) != nullptr) selector_.record_demand(now);
  std::uint64_t excluded = 0;
  auto why = reason::opened;
  if (auto* existing = flows_.find(key); existing != nullptr && is_opening(now, *existing)) {
    const auto* current = upstreams_.find(existing->upstream);
    // A duplicate that the network created has the same copy number as its original. Both go
    // to the same upstream.
    if (head.acknowledged <= existing->opening_copies && current != nullptr &&
        accepts_flows(*current)) {
      if (!selector_.permit_copy(now, {upstreams_, flows_}, *current))
        return decision_of(action::drop, reason::cold);
      return forward(*current, reason::reopened);
    }
    // The caller sent another copy because it got no answer: the upstream is full, unreachable or
    // has crashed. A copy that is held is decided several times, but counts as one timeout.
    if (head.acknowledged > std::max(existing->opening_copies, existing->last_timeout_copy)) {
      existing->last_timeout_copy = head.acknowledged;
      selector_.record_timeout(now, upstreams_, existing->upstream, existing->opened);
    }
    excluded = existing->upstream;
    why = reason::moved;
  }
  const auto* chosen = selector_.select(now, {upstreams_, flows_}, service, excluded);
  if (chosen == nullptr && !is_list_complete_) return decision_of(action::hold, reason::not_ready);
  if (chosen == nullptr && selector_.lacks_token())
    return decision_of(selector_.may_get_token(now) ? action::hold : action::reset, reason::cold);
  if (chosen == nullptr) return decision_of(action::reset, reason::no_upstream);
  auto& flow = flows_.open(now, key, chosen->incarnation);
  flow.opening_copies = head.acknowledged;
  // Later copies of the packet reach other hosts too, where the flow would count again.
  if (load_reporter_ && why == reason::opened && head.acknowledged == 0)
    load_reporter_->record_opening(*chosen);
  return forward(*chosen, why);
}

flow_decision flow_router::route_open_flow(time_point now, const packet_head& head) {
  if (upstreams_.size() == 0) return decision_of(action::hold, reason::not_ready);
  const auto key = head.key();
  std::optional<milliseconds> answered_after;
  const auto* to = upstreams_.find_tag(head.route_tag);
  if (to == nullptr) {
    // The caller has no tag before the first answer.
    const auto* existing = head.route_tag == 0 ? flows_.find(key) : nullptr;
    to = existing == nullptr ? nullptr : upstreams_.find(existing->upstream);
  } else {
    auto& flow = flows_.record_packet(now, key, to->incarnation);
    if (!flow.is_answered) {
      flow.is_answered = true;
      answered_after = std::chrono::duration_cast<milliseconds>(now - flow.opened);
      selector_.record_answer(now, *to, now - flow.opened);
    }
  }
  if (head.is_end || head.is_reset) flows_.close(key);
  if (to == nullptr) return decision_of(action::drop, reason::unknown_tag);
  auto out = forward(*to, reason::routed);
  out.answered_after = answered_after;
  return out;
}

flow_decision flow_router::forward(const upstream_directory::entry& to,
                                   flow_decision::reason_type why) const {
  const auto is_other_zone = to.report.zone != settings_.selection.zone;
  return {action::forward,
          why,
          to.report.address,
          &to.report.id,
          to.route_tag,
          std::nullopt,
          is_other_zone ? &to.report.zone : nullptr};
}

bool flow_router::apply(const wire::flow_declaration& declaration) {
  if (declaration.version() <= routes_.version()) return false;
  routes_ = route_table(declaration);
  upstreams_.set_limits(routes_.limits());
  return true;
}

std::vector<evacuated_zones::change> flow_router::apply(time_point now,
                                                        const wire::zone_evacuations& evacuations) {
  auto out = evacuations_.apply(now, evacuations);
  // The upstreams may have become cold shortly before, and their reports say so later.
  for (const auto& it : evacuations.zones())
    if (evacuations_.restored_at(it.zone()) == now) count_zone_as_cold(now, it.zone());
  if (!out.empty() || evacuations.unconfirmed_size() > 0)
    selector_.index_services(upstreams_, evacuations_);
  return out;
}

void flow_router::confirm(std::uint64_t version) {
  confirmed_version_ = version;
  if (evacuations_.drop_unconfirmed()) selector_.index_services(upstreams_, evacuations_);
}

result<void> flow_router::apply(const wire::flow_declaration_change& change) {
  ZINNIA_TRY(routes_.apply(change));
  upstreams_.set_limits(routes_.limits());
  return success();
}

void flow_router::record_origin(time_point now, const wire::news_reply& reply) {
  if (reply.recalled()) {
    if (confirmed_version_) return;
    is_view_restored_ = true;
    selector_.begin_uncertainty();
  } else if (is_view_restored_) {
    is_view_restored_ = false;
    restored_view_ended_ = now + restored_uncertainty;
    if (!resumed_) selector_.end_uncertainty(restored_view_ended_);
  }
}

void flow_router::record_grants(time_point requested, const wire::news_reply& reply) {
  for (const auto& it : reply.warmup_grants())
    selector_.tokens().record_grant(requested, it);
}

bool flow_router::merge_update(time_point now, const wire::upstream_news& update,
                               update_extent extent) {
  selector_.record_update(now);
  is_last_update_complete_ = extent == update_extent::complete;
  is_list_complete_ |= is_last_update_complete_;
  const bool is_changed = upstreams_.merge(now, update);
  for (const auto& it : update.reports())
    if (const auto report = upstream_report::from_wire(it); report.has_value())
      selector_.record_report(now, upstreams_, report.value().incarnation());
  for (const auto& it : update.refreshed())
    selector_.record_report(now, upstreams_, it.incarnation());
  if (is_changed) selector_.index_services(upstreams_, evacuations_);
  return is_changed;
}

void flow_router::begin_list(std::uint64_t source) {
  list_source_ = source;
  upstreams_.begin_list();
}

void flow_router::record_liveness(time_point now, std::uint64_t source,
                                  const wire::upstream_liveness& liveness) {
  if (source != list_source_) return;
  upstreams_.record_liveness(now, liveness, settings_.selection.report_timeout);
  for (const auto& it : liveness.zones())
    selector_.record_zone_contact(it.zone(), now - milliseconds(it.age_ms()));
}

void flow_router::apply_loads(time_point now, const wire::news_reply& reply) {
  if (load_reporter_ && reply.has_suspects())
    selector_.set_suspects(now, upstreams_, reply.suspects());
  selector_.set_zone_loads(now, {reply.loads().begin(), reply.loads().end()});
}

std::optional<wire::flow_load> flow_router::take_due_load(time_point now) {
  if (!load_reporter_) return std::nullopt;
  return load_reporter_->take_due(now, upstreams_, flows_, selector_);
}

void flow_router::tick(time_point now) {
  selector_.tokens().advance(now);
  if (now < next_expiry_) return;
  next_expiry_ = now + expiry_period;
  flows_.expire(now, idle_flow_timeout);
  upstreams_.refresh_warmups(now);
  const auto previous_size = upstreams_.size();
  upstreams_.remove_expired(now);
  selector_.update_spillover(now, {upstreams_, flows_});
  if (upstreams_.size() == previous_size) return;
  selector_.index_services(upstreams_, evacuations_);
  selector_.remove_expired(upstreams_);
}

std::uint64_t flow_router::count_of(flow_decision::reason_type reason) const {
  return counts_.at(static_cast<std::size_t>(reason));
}

} // namespace zinnia
