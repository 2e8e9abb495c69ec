#include "zinniarelay/request/request_table.h"

#include <algorithm>
#include <glog/logging.h>

namespace zinnia {

result<request_table> request_table::create(const table_limits& limits) {
  if (limits.records == 0 || limits.tombstones == 0 || limits.live_bytes == 0)
    return failure(error_kind::malformed, "request table", "a limit is 0, expected at least 1");
  return request_table(limits);
}

live_record* request_table::find_live(const request_key& key) {
  const auto it = live_.find(key);
  return it == live_.end() ? nullptr : it->second.get();
}

const settled_record* request_table::find_settled(const request_key& key) const {
  const auto& shard = settled_[shard_of(key)];
  const auto it = shard.find(key);
  return it == shard.end() ? nullptr : &it->second;
}

live_record* request_table::admit(const request_key& key, std::uint64_t bytes) {
  if (records() >= limits_.records || live_bytes_ + bytes > limits_.live_bytes) return nullptr;
  auto [it, is_new] = live_.try_emplace(key, std::make_unique<live_record>());
  CHECK(is_new) << "request " << key.number << " admitted twice";
  it->second->charged_bytes = bytes;
  live_bytes_ += bytes;
  return it->second.get();
}

bool request_table::add_tombstone(const request_key& key, wire::outcome_reason reason,
                                  std::uint32_t expiry_epoch) {
  if (tombstones_ >= limits_.tombstones) return false;
  const settled_record record{expiry_epoch, settled_state::not_run,
                              static_cast<std::uint8_t>(reason), true};
  CHECK(settled_[shard_of(key)].try_emplace(key, record).second)
      << "request " << key.number << " refused twice";
  ++settled_count_;
  ++tombstones_;
  return true;
}

void request_table::set_charged_bytes(live_record& record, std::uint64_t bytes) {
  live_bytes_ = live_bytes_ - record.charged_bytes + bytes;
  record.charged_bytes = bytes;
}

void request_table::mark_answered(live_record& record) {
  CHECK(record.state != live_state::answered);
  record.state = live_state::answered;
  ++answered_;
}

void request_table::erase_live(live_map::iterator it) {
  live_bytes_ -= it->second->charged_bytes;
  if (it->second->state == live_state::answered) --answered_;
  live_.erase(it);
}

void request_table::settle(const request_key& key, settled_state state, wire::outcome_reason reason,
                           std::uint32_t expiry_epoch) {
  const auto it = live_.find(key);
  CHECK(it != live_.end()) << "request " << key.number << " settled without a record";
  erase_live(it);
  const settled_record record =
      settled_record{expiry_epoch, state, static_cast<std::uint8_t>(reason), false};
  CHECK(settled_[shard_of(key)].try_emplace(key, record).second)
      << "request " << key.number << " settled twice";
  ++settled_count_;
}

void request_table::remove(const request_key& key) {
  const auto it = live_.find(key);
  if (it != live_.end()) erase_live(it);
}

std::size_t request_table::shard_of(const request_key& key) {
  // The high bits select the shard, because the maps use the low bits of the same hash.
  return std::hash<request_key>()(key) >> 60U;
}

void request_table::expire_next_shard(std::uint32_t epoch) {
  if (next_shard_ == 0) expire_live(epoch);
  auto& shard = settled_[next_shard_];
  next_shard_ = (next_shard_ + 1) % shard_count;
  for (auto it = shard.begin(); it != shard.end();) {
    const auto current = it++;
    if (current->second.expiry_epoch > epoch) continue;
    if (current->second.is_tombstone) --tombstones_;
    --settled_count_;
    shard.erase(current);
  }
}

void request_table::expire_live(std::uint32_t epoch) {
  for (auto it = live_.begin(); it != live_.end();) {
    const auto current = it++;
    if (current->second->state == live_state::answered && current->second->expiry_epoch <= epoch)
      erase_live(current);
  }
}

std::vector<request_key> request_table::answered_keys(std::size_t max_keys) const {
  std::vector<request_key> keys;
  for (const auto& [key, record] : live_)
    if (record->state == live_state::answered) keys.push_back(key);
  // The iteration order of the map differs between runs; sorting makes the result
  // deterministic.
  std::sort(keys.begin(), keys.end());
  if (keys.size() > max_keys) keys.resize(max_keys);
  return keys;
}

} // namespace zinnia
