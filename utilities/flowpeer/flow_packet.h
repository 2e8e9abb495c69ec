#pragma once

#include "platform/packet_codec.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace zinnia::flowpeer {

/// Sequence of a reset that an upstream sends. Distinguishes it from resets of the system.
constexpr std::uint32_t upstream_reset_sequence = 0xFFFF'FFFF;

/// Returns the bytes of a packet: its head and its data.
inline std::string encode_packet(packet_head head, std::string_view data) {
  head.data_bytes = data.size();
  std::string out(platform::head_size, '\0');
  out += data;
  platform::encode_head(std::as_writable_bytes(std::span(out)), head);
  return out;
}

/// Returns the answer to a request: a pattern in which lost parts, reordered parts and parts of
/// other answers are detected.
inline std::string expected_answer(std::string_view request, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes)
    out += std::string(request) + '/' + std::to_string(out.size()) + ' ';
  out.resize(bytes);
  return out;
}

} // namespace zinnia::flowpeer
