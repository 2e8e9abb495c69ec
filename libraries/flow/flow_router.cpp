#include "zinniarelay/flow/flow_router.h"

#include <algorithm>

namespace zinnia {
namespace {

using action = flow_decision::action;
using reason = flow_decision::reason;

// A caller gives an attempt up 1.4 s after its first opening packet.
constexpr milliseconds opening_timeout{1'500};
// A request that runs or waits for longer than this is rare; a flow without packets for
// so long has most likely ended, or is idle, and is no load.
constexpr milliseconds silence_of_ended_flows{1'000};
constexpr milliseconds expiry_period{100};
// One lost packet is no evidence that an upstream has failed.
constexpr std::uint32_t suspicious_misses = 2;

} // namespace

const char* name_of(flow_decision::reason reason) {
  constexpr std::array<const char*, flow_decision::reason_count> names{
      "opened",      "reopened",    "moved",        "routed",   "no_route",
      "no_upstream", "unknown_tag", "not_a_caller", "not_ready"};
  return names.at(static_cast<std::size_t>(reason));
}

flow_decision flow_router::route(time_point now, const packet_head& head) {
  flow_decision out;
  if (head.is_open && head.is_answer)
    out = {action::drop, reason::not_a_caller, {}, nullptr, 0, std::nullopt};
  else
    out = head.is_open ? open(now, head) : carry(now, head);
  ++counts_.at(static_cast<std::size_t>(out.why));
  return out;
}

// A caller may use a port again. What an earlier flow of the port left behind must
// not draw the new one to an upstream that is leaving by now.
bool flow_router::is_opening(time_point now, const flow_table::flow& it) {
  return !it.is_closed && !it.is_answered && now - it.opened <= opening_timeout;
}

flow_decision flow_router::open(time_point now, const packet_head& head) {
  if (routes_.version() == 0)
    return {action::drop, reason::not_ready, {}, nullptr, 0, std::nullopt};
  const auto* route = routes_.find(head.destination);
  // A newer declaration may have the route; the caller's next copy finds out.
  if (route == nullptr && !is_confirmed_)
    return {action::drop, reason::not_ready, {}, nullptr, 0, std::nullopt};
  if (route == nullptr) return {action::reset, reason::no_route, {}, nullptr, 0, std::nullopt};
  const auto key = head.key();
  std::uint64_t avoided = 0;
  auto why = reason::opened;
  if (const auto* known = flows_.find(key); known != nullptr && is_opening(now, *known)) {
    const auto* held = upstreams_.find(known->upstream);
    // A copy of the network's making goes where the first packet went.
    const bool is_ready =
        held != nullptr && held->report.condition == upstream_report::state::ready;
    if (head.acknowledged <= known->copies && is_ready) return forward(*held, reason::reopened);
    // The caller has waited in vain; the upstream is full, cut off or dead.
    if (head.acknowledged > known->copies) note_silence(now, known->upstream);
    avoided = known->upstream;
    why = reason::moved;
  }
  const auto& service = route->service_of(std::hash<flow_key>{}(key));
  const auto* chosen = choose(now, service, avoided);
  if (chosen == nullptr) return {action::reset, reason::no_upstream, {}, nullptr, 0, std::nullopt};
  auto& flow = flows_.open(now, key, chosen->report.incarnation());
  flow.copies = head.acknowledged;
  return forward(*chosen, why);
}

flow_decision flow_router::carry(time_point now, const packet_head& head) {
  const auto key = head.key();
  std::optional<milliseconds> answered_after;
  const auto* to = upstreams_.find_tag(head.route_tag);
  if (to == nullptr) {
    // Before the first answer the caller knows no tag.
    const auto* known = head.route_tag == 0 ? flows_.find(key) : nullptr;
    to = known == nullptr ? nullptr : upstreams_.find(known->upstream);
  } else {
    const auto upstream = to->report.incarnation();
    auto& flow = flows_.touch(now, key, upstream);
    if (!flow.is_answered) {
      flow.is_answered = true;
      answered_after = std::chrono::duration_cast<milliseconds>(now - flow.opened);
      note_answer(now, upstream);
    }
  }
  if (head.is_end || head.is_reset) flows_.close(key);
  if (to == nullptr) return {action::drop, reason::unknown_tag, {}, nullptr, 0, std::nullopt};
  auto out = forward(*to, reason::routed);
  out.answered_after = answered_after;
  return out;
}

flow_decision flow_router::forward(const upstream_directory::entry& to,
                                   flow_decision::reason why) const {
  return {action::forward, why, to.report.address, &to.report.id, to.route_tag, std::nullopt};
}

const upstream_directory::entry* flow_router::choose(time_point now, const std::string& service,
                                                     std::uint64_t avoided) {
  const auto listed = ready_.find(service);
  if (listed == ready_.end()) return nullptr;
  std::vector<upstream_candidate> candidates;
  candidates.reserve(listed->second.size());
  for (const auto incarnation : listed->second) {
    const auto* it = upstreams_.find(incarnation);
    if (it == nullptr || (incarnation == avoided && listed->second.size() > 1)) continue;
    upstream_candidate made;
    made.incarnation = incarnation;
    made.slots = it->report.slots;
    made.is_own_zone = it->report.zone == settings_.zone;
    made.open_flows = flows_.open_of(incarnation);
    made.is_warming = now < it->warm_at;
    made.is_suspect = is_suspect(now, *it);
    candidates.push_back(made);
  }
  const auto chosen = choose_upstream(candidates, settings_.choice, engine_);
  return chosen ? upstreams_.find(*chosen) : nullptr;
}

bool flow_router::is_suspect(time_point now, const upstream_directory::entry& it) const {
  const auto known = evidence_.find(it.report.incarnation());
  const auto answered = known == evidence_.end() ? time_point{} : known->second.answered;
  // Without news every upstream falls silent alike, which says nothing about them.
  const bool has_news = last_news_ && now - *last_news_ < settings_.report_silence / 2;
  if (has_news && now - std::max(it.heard, answered) > settings_.report_silence) return true;
  return known != evidence_.end() && known->second.missed >= suspicious_misses &&
         now - known->second.unanswered < settings_.suspicion;
}

void flow_router::note_answer(time_point now, std::uint64_t upstream) {
  auto& it = evidence_[upstream];
  it.answered = now;
  it.missed = 0;
}

void flow_router::note_silence(time_point now, std::uint64_t upstream) {
  auto& it = evidence_[upstream];
  it.unanswered = now;
  ++it.missed;
}

bool flow_router::apply(const wire::flow_declaration& declaration) {
  if (declaration.version() <= routes_.version()) return false;
  routes_ = route_table(declaration);
  return true;
}

bool flow_router::learn(time_point now, const wire::upstream_news& news) {
  last_news_ = now;
  if (!upstreams_.merge(now, news)) return false;
  index_services();
  return true;
}

void flow_router::index_services() {
  ready_.clear();
  upstreams_.for_each([this](const auto& it) {
    if (it.report.condition == upstream_report::state::ready)
      ready_[it.report.service].push_back(it.report.incarnation());
  });
}

void flow_router::tick(time_point now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + expiry_period;
  flows_.expire(now, silence_of_ended_flows);
  const auto before = upstreams_.size();
  upstreams_.forget_old(now);
  if (upstreams_.size() == before) return;
  index_services();
  for (auto it = evidence_.begin(); it != evidence_.end();)
    it = upstreams_.find(it->first) == nullptr ? evidence_.erase(it) : std::next(it);
}

std::uint64_t flow_router::count_of(flow_decision::reason reason) const {
  return counts_.at(static_cast<std::size_t>(reason));
}

} // namespace zinnia
