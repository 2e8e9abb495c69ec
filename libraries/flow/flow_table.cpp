#include "zinniarelay/flow/flow_table.h"

namespace zinnia {

flow_table::flow* flow_table::find(const flow_key& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

flow_table::flow& flow_table::open(time_point now, const flow_key& key, std::uint64_t upstream) {
  auto& it = flows_[key];
  drop_count(it);
  it = {};
  it.upstream = upstream;
  it.opened = it.seen = now;
  ++open_[upstream];
  return it;
}

flow_table::flow& flow_table::touch(time_point now, const flow_key& key, std::uint64_t upstream) {
  auto* known = find(key);
  if (known == nullptr || known->upstream != upstream) return open(now, key, upstream);
  known->seen = now;
  return *known;
}

void flow_table::close(const flow_key& key) {
  auto* it = find(key);
  if (it == nullptr) return;
  drop_count(*it);
  it->is_closed = true;
}

void flow_table::expire(time_point now, milliseconds silence) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (now - it->second.seen <= silence) {
      ++it;
      continue;
    }
    drop_count(it->second);
    flows_.erase(it++);
  }
}

std::uint32_t flow_table::open_of(std::uint64_t upstream) const {
  const auto it = open_.find(upstream);
  return it == open_.end() ? 0 : it->second;
}

void flow_table::drop_count(const flow& it) {
  if (it.upstream == 0 || it.is_closed) return;
  const auto held = open_.find(it.upstream);
  if (--held->second == 0) open_.erase(held);
}

} // namespace zinnia
