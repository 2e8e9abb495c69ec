#include "zinniarelay/flow/upstream_directory.h"

#include <algorithm>
#include <unordered_set>

namespace zinnia {

using state = upstream_report::state;

namespace {

// Tolerance for the differing delays of the reports of one warm-up. Only a longer extension is a
// change of content. An upstream counts as cold for this much longer, because other hosts may not
// know of a shorter extension.
constexpr milliseconds warmup_tolerance{250};
// The clocks of an upstream and of the host that gets its first report differ by up to this much.
constexpr milliseconds max_clock_difference{2'000};
// Hosts that got a list of upstreams that was compressed earlier count them as cold for longer, and
// need leases for as long.
constexpr milliseconds cold_retention{10'000};

bool is_included(const upstream_directory::entry& it, upstream_directory::refreshes included) {
  using refreshes = upstream_directory::refreshes;
  return included == refreshes::all || (included == refreshes::direct && it.is_direct);
}

} // namespace

upstream_directory::merge_result upstream_directory::merge(time_point now,
                                                           const upstream_report& report,
                                                           origin from,
                                                           std::optional<milliseconds> age) {
  const auto it = entries_.find(report.incarnation());
  if (it == entries_.end()) return add(now, report, from, age);
  auto& existing = it->second;
  const auto& previous = existing.report;
  const bool is_newer = report.sequence > previous.sequence;
  // The state only advances from ready to draining to gone, in whatever order reports arrive.
  const auto condition = std::max(previous.condition, report.condition);
  const bool is_cold_again = condition != state::gone && extends_warmup(now, existing, report);
  if (!is_newer && condition == previous.condition && !is_cold_again) return merge_result::ignored;
  // The report of an upstream that is gone contains only its identity.
  auto next = is_newer && report.condition != state::gone ? report : previous;
  next.condition = condition;
  next.sequence = std::max(previous.sequence, report.sequence);
  const bool is_changed = is_cold_again || !next.has_same_content(previous);
  const auto previous_address = previous.address;
  const bool is_moved = next.address != previous_address;
  const auto stated_warmup = is_newer || is_cold_again ? report.warmup : milliseconds(0);
  if (next.condition != previous.condition) existing.last_state_change = now;
  existing.report = std::move(next);
  existing.last_report = now;
  record_warmup(now, existing, stated_warmup);
  existing.is_direct = from == origin::upstream;
  if (is_changed)
    record_change(existing);
  else
    record_refresh(existing);
  if (is_moved) {
    if (const auto former = by_address_.find(previous_address);
        former != by_address_.end() && former->second == existing.incarnation)
      by_address_.erase(former);
    by_address_[existing.report.address] = existing.incarnation;
    by_tag_.erase(existing.route_tag);
    existing.route_tag = existing.report.route_tag();
    index_tag(existing);
  }
  return is_changed ? merge_result::changed : merge_result::refreshed;
}

upstream_directory::merge_result
upstream_directory::merge(time_point now, std::uint64_t incarnation, std::uint64_t sequence) {
  const auto it = entries_.find(incarnation);
  if (it == entries_.end()) return merge_result::ignored;
  auto& existing = it->second;
  if (sequence <= existing.report.sequence) return merge_result::ignored;
  existing.report.sequence = sequence;
  existing.last_report = now;
  existing.is_direct = false;
  record_refresh(existing);
  return merge_result::refreshed;
}

bool upstream_directory::merge(time_point now, const wire::upstream_news& update) {
  bool is_changed = false;
  for (const auto& it : update.reports()) {
    const auto report = upstream_report::from_wire(it);
    if (!report.has_value()) continue;
    is_changed |= merge(now, report.value(), origin::host) == merge_result::changed;
    entries_.at(report.value().incarnation()).list = list_;
  }
  for (const auto& it : update.refreshed())
    merge(now, it.incarnation(), it.sequence());
  return is_changed;
}

upstream_directory::merge_result upstream_directory::add(time_point now,
                                                         const upstream_report& report, origin from,
                                                         std::optional<milliseconds> age) {
  const auto key = report.incarnation();
  forgotten_.erase(key);
  entry added;
  added.report = report;
  added.incarnation = key;
  added.route_tag = report.route_tag();
  added.last_report = added.last_state_change = added.first_report = now;
  if (report.warmup == milliseconds(0)) added.unstated_age = age;
  record_warmup(now, added, report.warmup);
  added.is_direct = from == origin::upstream;
  const auto same_id = by_id_.find(report.id);
  resolve_conflict(now, added, same_id == by_id_.end() ? nullptr : &same_id->second);
  if (added.report.address != endpoint{}) {
    const auto same_address = by_address_.find(report.address);
    resolve_conflict(now, added,
                     same_address == by_address_.end() ? nullptr : &same_address->second);
  }
  const bool is_current = added.report.condition != state::gone;
  if (is_current || same_id == by_id_.end()) by_id_[report.id] = key;
  if (is_current) by_address_[report.address] = key;
  auto& stored = entries_.emplace(key, std::move(added)).first->second;
  record_change(stored);
  index_tag(stored);
  return merge_result::changed;
}

// A warm-up of a service with a limit never ends earlier because of a later report: reports may be
// delayed, and an upstream that does not state its warm-up states 0 in each of them.
void upstream_directory::record_warmup(time_point now, entry& reported, milliseconds stated) {
  reported.has_warmup |= stated > milliseconds(0);
  if (limit_of(reported.report.service) == nullptr) {
    reported.warmup_end = now + reported.report.warmup;
    return;
  }
  if (stated > milliseconds(0)) reported.warmup_end = std::max(reported.warmup_end, now + stated);
  if (const auto end = unstated_warmup_end(reported)) {
    reported.warmup_end = std::max(reported.warmup_end, *end);
    reported.has_warmup = true;
  }
  if (!reported.has_warmup) return;
  const auto remaining = std::chrono::ceil<milliseconds>(reported.warmup_end - now);
  reported.report.warmup = std::max(milliseconds(0), remaining);
  if (remaining > milliseconds(0)) cold_.insert(reported.incarnation);
}

// Hosts send each other the remaining warm-up, which grows by the delay of the message. With the
// same sequence it must not extend a known warm-up, because two hosts would extend it for ever.
bool upstream_directory::extends_warmup(time_point now, const entry& known,
                                        const upstream_report& report) const {
  if (limit_of(known.report.service) == nullptr || report.warmup == milliseconds(0)) return false;
  if (!known.has_warmup) return report.sequence >= known.report.sequence;
  return report.sequence > known.report.sequence &&
         now + report.warmup > known.warmup_end + warmup_tolerance;
}

std::optional<time_point> upstream_directory::unstated_warmup_end(const entry& reported) const {
  const auto* limit = limit_of(reported.report.service);
  if (limit == nullptr || !reported.unstated_age) return std::nullopt;
  if (*reported.unstated_age >= limit->duration + max_clock_difference) return std::nullopt;
  return reported.first_report + limit->duration;
}

const warmup_limit* upstream_directory::limit_of(const std::string& service) const {
  if (limits_.empty()) return nullptr;
  const auto it = limits_.find(service);
  return it == limits_.end() ? nullptr : &it->second;
}

void upstream_directory::set_limits(const warmup_limits& limits) {
  if (limits == limits_) return;
  limits_ = limits;
  cold_.clear();
  for (auto& [incarnation, it] : entries_) {
    if (limit_of(it.report.service) == nullptr || it.report.condition == state::gone) continue;
    cold_.insert(incarnation);
    const auto end = unstated_warmup_end(it);
    if (!end || *end <= it.warmup_end) continue;
    it.warmup_end = *end;
    it.has_warmup = true;
    it.report.warmup = std::chrono::ceil<milliseconds>(*end - it.first_report);
    record_change(it);
  }
}

bool upstream_directory::is_cold(time_point now, const entry& upstream) const {
  return upstream.has_warmup && now < upstream.warmup_end + warmup_tolerance &&
         limit_of(upstream.report.service) != nullptr;
}

std::size_t upstream_directory::cold_count(time_point now) const {
  return static_cast<std::size_t>(std::count_if(cold_.begin(), cold_.end(), [&](auto incarnation) {
    const auto* known = find(incarnation);
    return known != nullptr && is_cold(now, *known);
  }));
}

void upstream_directory::count_zone_as_cold(time_point now, const std::string& zone) {
  if (limits_.empty()) return;
  for (auto& [incarnation, it] : entries_) {
    const auto* limit = limit_of(it.report.service);
    if (limit == nullptr || it.report.zone != zone || it.report.condition == state::gone) continue;
    record_warmup(now, it, limit->duration);
  }
}

void upstream_directory::refresh_warmups(time_point now) {
  for (auto it = cold_.begin(); it != cold_.end();) {
    const auto found = entries_.find(*it);
    const bool is_over = found == entries_.end() || !found->second.has_warmup ||
                         found->second.report.condition == state::gone ||
                         now >= found->second.warmup_end + cold_retention;
    if (found != entries_.end() && found->second.has_warmup)
      found->second.report.warmup = std::max(
          milliseconds(0), std::chrono::ceil<milliseconds>(found->second.warmup_end - now));
    it = is_over ? cold_.erase(it) : std::next(it);
  }
}

void upstream_directory::record_refresh(entry& refreshed) {
  by_refresh_position_.erase(refreshed.refresh_position);
  refreshed.refresh_position = ++position_;
  by_refresh_position_.emplace(position_, refreshed.incarnation);
}

void upstream_directory::record_change(entry& changed) {
  record_refresh(changed);
  by_content_position_.erase(changed.content_position);
  changed.content_position = content_position_ = position_;
  by_content_position_.emplace(position_, changed.incarnation);
}

// Marks the earlier of two incarnations with the same id or address as gone, because only the
// later one is running. Reports of the earlier one may still arrive after a partition.
void upstream_directory::resolve_conflict(time_point now, entry& added,
                                          const std::uint64_t* existing) {
  if (existing == nullptr) return;
  auto& other = entries_.at(*existing);
  if (other.report.started_ms > added.report.started_ms)
    added.report.condition = state::gone;
  else if (added.report.condition != state::gone)
    mark_gone(now, other);
}

void upstream_directory::mark_gone(time_point now, entry& ended) {
  if (ended.report.condition == state::gone) return;
  ended.report.condition = state::gone;
  ended.last_state_change = now;
  record_change(ended);
}

void upstream_directory::index_tag(const entry& added) {
  const auto key = added.incarnation;
  const auto [existing, is_new] = by_tag_.try_emplace(added.route_tag, key);
  if (!is_new) existing->second = std::min(existing->second, key);
}

const upstream_directory::entry* upstream_directory::find_id(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : &entries_.at(it->second);
}

const upstream_directory::entry* upstream_directory::find(std::uint64_t incarnation) const {
  const auto it = entries_.find(incarnation);
  return it == entries_.end() ? nullptr : &it->second;
}

const upstream_directory::entry* upstream_directory::find_tag(std::uint32_t route_tag) const {
  const auto it = by_tag_.find(route_tag);
  return it == by_tag_.end() ? nullptr : &entries_.at(it->second);
}

wire::upstream_news upstream_directory::updates_since(std::uint64_t position) const {
  return updates_after(position, SIZE_MAX).updates;
}

wire::upstream_news upstream_directory::local_updates_since(std::uint64_t position) const {
  return updates_after(position, SIZE_MAX, refreshes::direct).updates;
}

// An entry whose content has changed after the position is sent as a report, at the position of the
// change. Its last refresh has the same or a later position and adds nothing, because the report
// contains the latest sequence.
upstream_directory::page upstream_directory::updates_after(std::uint64_t position,
                                                           std::size_t max_bytes,
                                                           refreshes included) const {
  page out;
  out.position = position;
  std::size_t size = 0;
  auto change = by_content_position_.upper_bound(position);
  auto refresh = by_refresh_position_.upper_bound(position);
  while (change != by_content_position_.end() || refresh != by_refresh_position_.end()) {
    if (size >= max_bytes) {
      out.is_last = false;
      return out;
    }
    const bool is_change =
        change != by_content_position_.end() &&
        (refresh == by_refresh_position_.end() || change->first <= refresh->first);
    const auto& [reached, incarnation] = is_change ? *change++ : *refresh++;
    out.position = reached;
    const auto& it = entries_.at(incarnation);
    if (is_change) {
      auto& added = *out.updates.add_reports();
      added = it.report.to_wire();
      size += added.ByteSizeLong();
    } else if (it.content_position <= position && is_included(it, included)) {
      auto& added = *out.updates.add_refreshed();
      added.set_incarnation(incarnation);
      added.set_sequence(it.report.sequence);
      size += added.ByteSizeLong();
    }
  }
  out.position = position_;
  return out;
}

void upstream_directory::record_liveness(time_point now, const wire::upstream_liveness& liveness,
                                         milliseconds overdue_after) {
  const std::unordered_set<std::uint64_t> overdue(liveness.overdue().begin(),
                                                  liveness.overdue().end());
  const auto latest_if_overdue = now - overdue_after - milliseconds(1);
  for (auto& [incarnation, it] : entries_) {
    if (it.list != list_ || it.report.condition == state::gone) continue;
    it.last_report =
        overdue.contains(incarnation) ? std::min(it.last_report, latest_if_overdue) : now;
  }
}

std::optional<wire::upstream_liveness> upstream_directory::liveness(time_point now,
                                                                    milliseconds overdue_after,
                                                                    std::size_t max_overdue) const {
  wire::upstream_liveness out;
  std::map<std::string, time_point> zones;
  for (const auto& [incarnation, it] : entries_) {
    if (it.report.condition == state::gone) continue;
    auto& latest = zones[it.report.zone];
    latest = std::max(latest, it.last_report);
    if (now - it.last_report > overdue_after) out.add_overdue(incarnation);
    if (static_cast<std::size_t>(out.overdue_size()) > max_overdue) return std::nullopt;
  }
  // Hosts that still list a forgotten upstream would otherwise count it as reporting.
  for (const auto& [incarnation, removed] : forgotten_)
    out.add_overdue(incarnation);
  if (static_cast<std::size_t>(out.overdue_size()) > max_overdue) return std::nullopt;
  for (const auto& [zone, latest] : zones) {
    auto& contact = *out.add_zones();
    contact.set_zone(zone);
    contact.set_age_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - latest).count()));
  }
  return out;
}

std::size_t upstream_directory::changes_after(std::uint64_t position) const {
  const auto first = by_content_position_.upper_bound(position);
  return static_cast<std::size_t>(std::distance(first, by_content_position_.end()));
}

void upstream_directory::remove_expired(time_point now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [key, it] : entries_)
    if (now - std::max(it.last_report, it.last_state_change) > retention_) expired.push_back(key);
  for (const auto key : expired) {
    if (entries_.at(key).report.condition != state::gone) forgotten_[key] = now;
    erase(key);
  }
  std::erase_if(forgotten_, [&](const auto& it) { return now - it.second > retention_; });
}

void upstream_directory::erase(std::uint64_t incarnation) {
  const auto it = entries_.find(incarnation);
  if (const auto id = by_id_.find(it->second.report.id);
      id != by_id_.end() && id->second == incarnation)
    by_id_.erase(id);
  if (const auto address = by_address_.find(it->second.report.address);
      address != by_address_.end() && address->second == incarnation)
    by_address_.erase(address);
  if (const auto tag = by_tag_.find(it->second.route_tag);
      tag != by_tag_.end() && tag->second == incarnation)
    by_tag_.erase(tag);
  by_content_position_.erase(it->second.content_position);
  by_refresh_position_.erase(it->second.refresh_position);
  entries_.erase(it);
}

void upstream_directory::for_each(const std::function<void(const entry&)>& visit) const {
  for (const auto& [key, it] : entries_)
    visit(it);
}

} // namespace zinnia
