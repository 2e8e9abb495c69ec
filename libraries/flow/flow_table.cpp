#include "zinniarelay/flow/flow_table.h"

namespace zinnia {

flow_table::flow* flow_table::find(const flow_key& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

flow_table::flow& flow_table::assign(time_point now, const flow_key& key, std::uint64_t upstream) {
  auto& it = flows_[key];
  if (it.upstream != upstream) {
    if (it.upstream != 0) count(it.upstream, -1);
    count(upstream, 1);
    it = {};
    it.upstream = upstream;
    it.opened = now;
  }
  it.seen = now;
  return it;
}

void flow_table::close(const flow_key& key) {
  const auto it = flows_.find(key);
  if (it == flows_.end()) return;
  count(it->second.upstream, -1);
  flows_.erase(it);
}

void flow_table::expire(time_point now, milliseconds unanswered, milliseconds idle) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto limit = it->second.is_answered ? idle : unanswered;
    if (now - it->second.seen <= limit) {
      ++it;
      continue;
    }
    count(it->second.upstream, -1);
    flows_.erase(it++);
  }
}

std::uint32_t flow_table::open_of(std::uint64_t upstream) const {
  const auto it = open_.find(upstream);
  return it == open_.end() ? 0 : it->second;
}

void flow_table::count(std::uint64_t upstream, int change) {
  const auto it = open_.try_emplace(upstream, 0).first;
  it->second += static_cast<std::uint32_t>(change);
  if (it->second == 0) open_.erase(it);
}

} // namespace zinnia
