#pragma once

#include "platform/packet_codec.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace zinnia::flowpeer {

/// Sequence of a reset that an upstream sends, to tell it from those of the system.
constexpr std::uint32_t upstream_reset_mark = 0xFFFF'FFFF;

/// A packet as it is sent: its head and its data.
inline std::string encode_packet(packet_head head, std::string_view data) {
  head.data_bytes = data.size();
  std::string out(platform::head_size, '\0');
  out += data;
  platform::encode_head(std::as_writable_bytes(std::span(out)), head);
  return out;
}

/// The answer to a request: a pattern that shows lost, mixed and foreign parts.
inline std::string answer_of(std::string_view request, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes)
    out += std::string(request) + '/' + std::to_string(out.size()) + ' ';
  out.resize(bytes);
  return out;
}

} // namespace zinnia::flowpeer
