#include "zinniarelay/flow/upstream_directory.h"

#include <algorithm>

namespace zinnia {

using state = upstream_report::state;

upstream_directory::merge_result
upstream_directory::merge(time_point now, const upstream_report& report, origin from) {
  const auto known = entries_.find(report.incarnation());
  if (known == entries_.end()) return add(now, report, from);
  auto& it = known->second;
  const auto& held = it.report;
  const bool is_newer = report.sequence > held.sequence;
  // A leaving upstream never returns to service, whatever order its reports arrive in.
  const auto condition = std::max(held.condition, report.condition);
  if (!is_newer && condition == held.condition) return merge_result::ignored;
  // The message of an upstream that has left names nothing but its identity.
  auto next = is_newer && report.condition != state::gone ? report : held;
  next.condition = condition;
  next.sequence = std::max(held.sequence, report.sequence);
  const bool is_changed = !next.has_same_content(held);
  const bool is_moved = next.address != held.address;
  if (next.condition != held.condition) it.left = now;
  it.report = std::move(next);
  it.heard = now;
  it.warm_at = now + it.report.warmup;
  it.refresh_position = ++position_;
  it.is_own = from == origin::upstream;
  if (is_changed) it.content_position = content_position_ = position_;
  if (is_moved) {
    by_address_[it.report.address] = it.report.incarnation();
    by_tag_.erase(it.route_tag);
    it.route_tag = it.report.route_tag();
    index(it);
  }
  return is_changed ? merge_result::changed : merge_result::refreshed;
}

upstream_directory::merge_result
upstream_directory::merge(time_point now, std::uint64_t incarnation, std::uint64_t sequence) {
  const auto known = entries_.find(incarnation);
  if (known == entries_.end()) return merge_result::ignored;
  auto& it = known->second;
  if (sequence <= it.report.sequence) return merge_result::ignored;
  it.report.sequence = sequence;
  it.heard = now;
  it.refresh_position = ++position_;
  it.is_own = false;
  return merge_result::refreshed;
}

bool upstream_directory::merge(time_point now, const wire::upstream_news& news) {
  bool is_changed = false;
  for (const auto& it : news.reports()) {
    const auto report = upstream_report::from_wire(it);
    if (!report.has_value()) continue;
    is_changed |= merge(now, report.value(), origin::host) == merge_result::changed;
  }
  for (const auto& it : news.refreshed())
    merge(now, it.incarnation(), it.sequence());
  return is_changed;
}

upstream_directory::merge_result
upstream_directory::add(time_point now, const upstream_report& report, origin from) {
  const auto key = report.incarnation();
  entry made;
  made.report = report;
  made.route_tag = report.route_tag();
  made.heard = made.left = now;
  made.warm_at = now + report.warmup;
  made.content_position = made.refresh_position = content_position_ = ++position_;
  made.is_own = from == origin::upstream;
  const auto known = by_id_.find(report.id);
  supersede(now, made, known == by_id_.end() ? nullptr : &known->second);
  if (made.report.address != endpoint{}) {
    const auto holder = by_address_.find(report.address);
    supersede(now, made, holder == by_address_.end() ? nullptr : &holder->second);
  }
  const bool is_current = made.report.condition != state::gone;
  if (is_current || known == by_id_.end()) by_id_[report.id] = key;
  if (is_current) by_address_[report.address] = key;
  const auto& stored = entries_.emplace(key, std::move(made)).first->second;
  index(stored);
  return merge_result::changed;
}

// Of two incarnations of one id, or at one address, the one that started last is
// alive. A report of the other may still arrive late, after a partition.
void upstream_directory::supersede(time_point now, entry& made, const std::uint64_t* holder) {
  if (holder == nullptr) return;
  auto& other = entries_.at(*holder);
  if (other.report.started_ms > made.report.started_ms)
    made.report.condition = state::gone;
  else if (made.report.condition != state::gone)
    end(now, other);
}

void upstream_directory::end(time_point now, entry& it) {
  if (it.report.condition == state::gone) return;
  it.report.condition = state::gone;
  it.left = now;
  it.content_position = it.refresh_position = content_position_ = ++position_;
}

void upstream_directory::index(const entry& it) {
  const auto key = it.report.incarnation();
  const auto [slot, is_new] = by_tag_.try_emplace(it.route_tag, key);
  if (!is_new) slot->second = std::min(slot->second, key);
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

wire::upstream_news upstream_directory::news_since(std::uint64_t position) const {
  return news(position, false);
}

wire::upstream_news upstream_directory::own_news_since(std::uint64_t position) const {
  return news(position, true);
}

wire::upstream_news upstream_directory::news(std::uint64_t position, bool is_own_only) const {
  wire::upstream_news out;
  for (const auto& [key, it] : entries_) {
    if (it.content_position > position) {
      *out.add_reports() = it.report.to_wire();
      continue;
    }
    if (it.refresh_position <= position || (is_own_only && !it.is_own)) continue;
    auto& refreshed = *out.add_refreshed();
    refreshed.set_incarnation(key);
    refreshed.set_sequence(it.report.sequence);
  }
  return out;
}

void upstream_directory::forget_old(time_point now) {
  std::vector<std::uint64_t> old;
  for (const auto& [key, it] : entries_)
    if (now - std::max(it.heard, it.left) > retention_) old.push_back(key);
  for (const auto key : old)
    erase(key);
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
  entries_.erase(it);
}

void upstream_directory::for_each(const std::function<void(const entry&)>& visit) const {
  for (const auto& [key, it] : entries_)
    visit(it);
}

} // namespace zinnia
