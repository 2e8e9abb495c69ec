#include "zinniarelay/flow/load_summary.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinnia {
namespace {

// As long as an entry host avoids an upstream by its own observations.
constexpr milliseconds suspect_period{1'000};
constexpr std::size_t min_observers = 2;
constexpr std::uint32_t min_unanswered_alone = 3;
// Further observers do not change whether an upstream is suspect; the latest ones are kept.
constexpr std::size_t max_observers = 8;
// The owner calls tick() every 20 ms. Reports that arrive after a longer gap, before the next
// tick(), have waited in the socket while the process did not run.
constexpr milliseconds min_suspension{1'000};
// Longer than a datagram can be delayed, so that no report of an earlier time counts as new.
constexpr milliseconds host_lifetime{60'000};

constexpr std::size_t max_hosts = 20'000;
constexpr std::size_t max_upstreams = 200'000;
constexpr std::size_t max_name_bytes = 128;
// An entry host has at most 99 MB for its flows, and a link of 3.6 Mbit/s.
constexpr std::uint32_t max_open_flows = 200'000;
constexpr std::uint32_t max_opened_per_s = 50'000;

// One reply each 500 ms at least, with 336 bytes for 24 suspects: 1,000 bytes a second for suspects
// and 900 for sums stay below the 2 KB a second of an entry host.
constexpr int max_listed_suspects = 24;
constexpr double suspect_bytes_per_second = 1'000;
constexpr double max_suspect_burst = 500; // bytes
constexpr double max_suspects_bytes = 350;
constexpr std::size_t max_new_suspects = 1'000;
constexpr std::size_t max_listed_loads = 64;
// Sums that an entry host does not get again within load_report_lifetime are lost to it, so that a
// full cycle of replies takes less than that for the listed sums of a few services.
constexpr std::size_t max_loads_bytes = 450;
constexpr milliseconds loads_interval{500};
constexpr milliseconds ranking_lifetime{100};
constexpr milliseconds list_lifetime{20};
constexpr milliseconds receiver_lifetime{10'000};
constexpr milliseconds expiry_period{500};

bool is_name(const std::string& text) {
  return !text.empty() && text.size() <= max_name_bytes;
}

bool is_well_formed(const wire::flow_load& report) {
  return is_name(report.host()) && is_name(report.zone()) && report.process() != 0 &&
         report.sequence() != 0 && report.flows_size() <= max_reported_flows &&
         report.upstreams_size() <= max_reported_upstreams &&
         std::all_of(report.flows().begin(), report.flows().end(), [](const auto& it) {
           return is_name(it.service()) && is_name(it.upstream_zone());
         });
}

bool is_plausible(const wire::flow_load& report) {
  return std::all_of(report.flows().begin(), report.flows().end(), [](const auto& it) {
    return it.open_flows() <= max_open_flows && it.opened_per_s() <= max_opened_per_s;
  });
}

} // namespace

const char* name_of(load_summary::outcome value) {
  constexpr std::array<const char*, load_summary::outcome_count> names{
      "accepted", "malformed",   "other_format",   "unknown_sender",
      "replayed", "implausible", "too_many_hosts", "outdated"};
  return names.at(static_cast<std::size_t>(value));
}

load_summary::outcome load_summary::check(time_point now, const endpoint& from, sender presence,
                                          const wire::flow_load& report) const {
  if (report.format() != load_report_format) return outcome::other_format;
  if (!is_well_formed(report)) return outcome::malformed;
  if (presence == sender::unknown) return outcome::unknown_sender;
  if (!is_plausible(report)) return outcome::implausible;
  if (last_tick_ && now - *last_tick_ > min_suspension) return outcome::outdated;
  const auto known = hosts_.find(from);
  if (known == hosts_.end())
    return hosts_.size() < max_hosts ? outcome::accepted : outcome::too_many_hosts;
  const auto& last = known->second;
  const bool is_repeated = report.process() == last.process && report.sequence() <= last.sequence;
  return is_repeated || report.process() == last.previous_process ? outcome::replayed
                                                                  : outcome::accepted;
}

load_summary::outcome load_summary::record(time_point now, const endpoint& from, sender presence,
                                           const wire::flow_load& report) {
  const auto out = check(now, from, presence, report);
  ++counts_.at(static_cast<std::size_t>(out));
  if (out != outcome::accepted) return out;
  received_bytes_ += report.ByteSizeLong();
  auto& host = hosts_[from];
  if (host.process != report.process()) {
    host.previous_process = host.process;
    host.flows.clear();
  }
  host.process = report.process();
  host.sequence = report.sequence();
  host.received = now;
  host.zone = report.zone();
  if (!report.is_partial()) {
    host.flows_received = now;
    host.flows.assign(report.flows().begin(), report.flows().end());
  }
  for (const auto& it : report.upstreams())
    merge(now, from, it);
  return out;
}

// Only packets that were forwarded after the last answer of the upstream to any host count: a full
// upstream answers some opening packets and leaves others unanswered.
void load_summary::merge(time_point now, const endpoint& from,
                         const wire::upstream_observation& seen) {
  if (!upstreams_.contains(seen.incarnation()) && upstreams_.size() >= max_upstreams) return;
  const milliseconds answer_age(seen.answer_age_ms());
  const milliseconds unanswered_age(seen.unanswered_age_ms());
  const bool has_answer = seen.has_answer() && answer_age <= load_report_lifetime;
  const bool has_unanswered = seen.unanswered() > 0 && unanswered_age <= load_report_lifetime;
  if (!has_answer && !has_unanswered) return;
  auto& view = upstreams_[seen.incarnation()];
  const bool was_suspect = view.suspect_since(now).has_value();
  if (view.last_observer != from) {
    view.other_observer = std::exchange(view.last_observer, from);
    view.other_event = view.last_event;
  }
  view.last_event = now;
  if (has_answer)
    view.last_answer = std::max(view.last_answer.value_or(time_point{}), now - answer_age);
  std::erase_if(view.unanswered, [&](const auto& it) {
    return it.host == from || now - it.found > load_report_lifetime ||
           (view.last_answer && it.forwarded <= *view.last_answer);
  });
  const auto forwarded = now - milliseconds(seen.opening_age_ms());
  if (has_unanswered && (!view.last_answer || forwarded > *view.last_answer)) {
    if (view.unanswered.size() >= max_observers)
      view.unanswered.erase(
          std::min_element(view.unanswered.begin(), view.unanswered.end(),
                           [](const auto& lhs, const auto& rhs) { return lhs.found < rhs.found; }));
    view.unanswered.push_back({from, seen.unanswered(), forwarded, now - unanswered_age});
  }
  view.is_suspect = view.suspect_since(now).has_value();
  if (!view.is_suspect || was_suspect) return;
  ++position_;
  if (new_suspects_.size() < max_new_suspects) new_suspects_.push_back(seen.incarnation());
}

// Returns when the last unanswered packet was found; no value when the upstream is not suspect.
std::optional<time_point> load_summary::upstream_view::suspect_since(time_point now) const {
  std::optional<time_point> latest;
  std::size_t observers = 0;
  std::uint32_t count = 0;
  for (const auto& it : unanswered) {
    if (now - it.found > load_report_lifetime) continue;
    ++observers;
    count = std::max(count, it.count);
    latest = std::max(latest.value_or(it.found), it.found);
  }
  const bool has_other = other_observer != endpoint{} && now - other_event <= load_report_lifetime;
  const bool is_unresponsive =
      observers >= min_observers || (observers == 1 && !has_other && count >= min_unanswered_alone);
  if (!is_unresponsive || now - *latest > suspect_period) return std::nullopt;
  return latest;
}

wire::suspect_upstreams load_summary::suspects(time_point now) const {
  std::vector<std::pair<time_point, std::uint64_t>> found;
  for (const auto& [incarnation, view] : upstreams_) {
    if (!view.is_suspect) continue;
    if (const auto since = view.suspect_since(now)) found.emplace_back(*since, incarnation);
  }
  std::sort(found.rbegin(), found.rend());
  wire::suspect_upstreams out;
  out.set_position(position_);
  for (const auto& [since, incarnation] : found) {
    if (out.upstreams_size() >= max_listed_suspects) break;
    auto& added = *out.add_upstreams();
    added.set_incarnation(incarnation);
    added.set_age_ms(age_ms(now, since));
  }
  return out;
}

std::vector<wire::zone_load> load_summary::loads(time_point now) const {
  std::map<std::tuple<std::string, std::string, std::string>, wire::zone_load> sums;
  for (const auto& [from, host] : hosts_) {
    if (now - host.flows_received > load_report_lifetime) continue;
    for (const auto& it : host.flows) {
      auto& sum = sums[{it.service(), host.zone, it.upstream_zone()}];
      sum.set_open_flows(sum.open_flows() + it.open_flows());
      sum.set_opened_per_s(sum.opened_per_s() + it.opened_per_s());
      sum.set_hosts(sum.hosts() + 1);
      sum.set_age_ms(std::max(sum.age_ms(), age_ms(now, host.flows_received)));
    }
  }
  std::vector<wire::zone_load> out;
  out.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    std::tie(*sum.mutable_service(), *sum.mutable_caller_zone(), *sum.mutable_upstream_zone()) =
        key;
    out.push_back(std::move(sum));
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& lhs, const auto& rhs) {
    return lhs.open_flows() + lhs.opened_per_s() > rhs.open_flows() + rhs.opened_per_s();
  });
  return out;
}

double load_summary::permitted_bytes(time_point now, const receiver_state& to) {
  const std::chrono::duration<double> elapsed = now - to.refilled;
  return std::min(max_suspect_burst,
                  to.permitted_bytes + elapsed.count() * suspect_bytes_per_second);
}

bool load_summary::has_new_suspects(time_point now, const wire::news_request& receiver) const {
  if (!receiver.accepts_loads() || receiver.suspects_position() >= position_) return false;
  const auto it = receivers_.find(receiver.host());
  return it == receivers_.end() || permitted_bytes(now, it->second) >= max_suspects_bytes;
}

void load_summary::add_to(time_point now, const wire::news_request& receiver,
                          wire::news_reply& reply) {
  if (!receiver.accepts_loads() || !is_name(receiver.host())) return;
  if (!receivers_.contains(receiver.host()) && receivers_.size() >= max_hosts) return;
  auto& to = receivers_[receiver.host()];
  to.permitted_bytes = permitted_bytes(now, to);
  to.refilled = now;
  if (to.permitted_bytes >= max_suspects_bytes) {
    *reply.mutable_suspects() = listed_suspects(now);
    const auto size = reply.suspects().ByteSizeLong();
    to.permitted_bytes -= static_cast<double>(size);
    reply_bytes_ += size;
  }
  if (now - to.last_loads >= loads_interval) add_loads(now, to, reply);
}

// The replies of a tick share one list.
const wire::suspect_upstreams& load_summary::listed_suspects(time_point now) {
  if (listed_at_ && now - *listed_at_ < list_lifetime && listed_.position() == position_)
    return listed_;
  listed_ = suspects(now);
  listed_at_ = now;
  return listed_;
}

// The sums of a large system do not fit one reply. Each reply continues after the last one.
void load_summary::add_loads(time_point now, receiver_state& to, wire::news_reply& reply) {
  to.last_loads = now;
  const auto& list = ranked_loads(now);
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < list.size(); ++n) {
    const auto& next = list[to.next_load % list.size()];
    bytes += next.ByteSizeLong();
    if (bytes > max_loads_bytes) return;
    *reply.add_loads() = next;
    reply_bytes_ += next.ByteSizeLong();
    to.next_load = (to.next_load + 1) % list.size();
  }
}

// All replies of a short time share one ranking. With 59 entry hosts that poll, computing it for
// each reply would take most of the processor time of the summary.
const std::vector<wire::zone_load>& load_summary::ranked_loads(time_point now) {
  if (ranked_at_ && now - *ranked_at_ < ranking_lifetime) return ranked_;
  ranked_ = loads(now);
  if (ranked_.size() > max_listed_loads) ranked_.resize(max_listed_loads);
  // Replies continue at a position, so that the order must not follow the load.
  std::sort(ranked_.begin(), ranked_.end(), [](const auto& a, const auto& b) {
    return std::tuple(a.service(), a.caller_zone(), a.upstream_zone()) <
           std::tuple(b.service(), b.caller_zone(), b.upstream_zone());
  });
  ranked_at_ = now;
  return ranked_;
}

void load_summary::tick(time_point now) {
  last_tick_ = now;
  if (now < next_expiry_) return;
  next_expiry_ = now + expiry_period;
  std::erase_if(hosts_, [&](const auto& it) { return now - it.second.received > host_lifetime; });
  std::erase_if(upstreams_,
                [&](const auto& it) { return now - it.second.last_event > load_report_lifetime; });
  for (auto& [incarnation, view] : upstreams_)
    view.is_suspect = view.is_suspect && view.suspect_since(now).has_value();
  std::erase_if(receivers_,
                [&](const auto& it) { return now - it.second.refilled > receiver_lifetime; });
}

} // namespace zinnia
