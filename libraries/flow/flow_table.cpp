#include "zinniarelay/flow/flow_table.h"

namespace zinnia {

flow_table::flow* flow_table::find(const flow_key& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

flow_table::flow& flow_table::open(time_point now, const flow_key& key, std::uint64_t upstream) {
  auto& entry = flows_[key];
  decrement_open_flows(entry);
  entry = {};
  entry.upstream = upstream;
  entry.opened = entry.last_packet = now;
  ++open_flows_[upstream];
  return entry;
}

flow_table::flow& flow_table::record_packet(time_point now, const flow_key& key,
                                            std::uint64_t upstream) {
  auto* existing = find(key);
  if (existing == nullptr || existing->upstream != upstream) return open(now, key, upstream);
  existing->last_packet = now;
  return *existing;
}

void flow_table::close(const flow_key& key) {
  auto* entry = find(key);
  if (entry == nullptr) return;
  decrement_open_flows(*entry);
  entry->is_closed = true;
}

void flow_table::expire(time_point now, milliseconds timeout) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    if (now - it->second.last_packet <= timeout) {
      ++it;
      continue;
    }
    decrement_open_flows(it->second);
    flows_.erase(it++);
  }
}

std::uint32_t flow_table::open_flows(std::uint64_t upstream) const {
  const auto it = open_flows_.find(upstream);
  return it == open_flows_.end() ? 0 : it->second;
}

void flow_table::decrement_open_flows(const flow& flow) {
  if (flow.upstream == 0 || flow.is_closed) return;
  const auto count = open_flows_.find(flow.upstream);
  if (--count->second == 0) open_flows_.erase(count);
}

} // namespace zinnia
