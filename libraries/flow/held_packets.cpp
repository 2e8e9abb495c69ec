#include "zinniarelay/flow/held_packets.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

// A caller gives up its attempt 800 ms after the last copy of its opening packet. An upstream that
// gets the packet later would reserve a flow whose caller no longer waits.
constexpr milliseconds max_wait{800};

} // namespace

void held_packets::add(time_point arrived, const packet_head& head,
                       std::span<const std::byte> bytes) {
  if (head.is_open) {
    const auto is_copy = [&](const packet& it) {
      return it.head.is_open && it.head.key() == head.key();
    };
    packets_.erase(std::remove_if(packets_.begin(), packets_.end(), is_copy), packets_.end());
  }
  if (packets_.size() >= max_packets_) {
    packets_.pop_front();
    ++dropped_;
  }
  packets_.push_back({head, {bytes.begin(), bytes.end()}, arrived});
}

std::vector<held_packets::packet> held_packets::take(time_point now) {
  std::vector<packet> out;
  out.reserve(packets_.size());
  for (auto& it : std::exchange(packets_, {})) {
    if (now - it.arrived < max_wait)
      out.push_back(std::move(it));
    else
      ++dropped_;
  }
  return out;
}

} // namespace zinnia
