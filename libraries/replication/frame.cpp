#include "replication/frame.h"

#include <cstring>
#include <xxhash.h>

namespace zinnia {

std::string frame_of(const std::string& payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  const std::uint64_t sum = XXH64(payload.data(), payload.size(), length);
  std::string out(frame_header_size, '\0');
  std::memcpy(out.data(), &frame_mark, sizeof frame_mark);
  std::memcpy(out.data() + 4, &length, sizeof length);
  std::memcpy(out.data() + 8, &sum, sizeof sum);
  return out + payload;
}

// The payload of the frame that starts at a byte, if it is whole.
std::optional<std::string_view> payload_at(std::string_view content, std::size_t at) {
  if (content.size() - at < frame_header_size) return std::nullopt;
  std::uint32_t mark = 0;
  std::uint32_t length = 0;
  std::uint64_t sum = 0;
  std::memcpy(&mark, content.data() + at, sizeof mark);
  std::memcpy(&length, content.data() + at + 4, sizeof length);
  std::memcpy(&sum, content.data() + at + 8, sizeof sum);
  if (mark != frame_mark || content.size() - at - frame_header_size < length) return std::nullopt;
  const auto payload = content.substr(at + frame_header_size, length);
  if (XXH64(payload.data(), payload.size(), length) != sum) return std::nullopt;
  return payload;
}

} // namespace zinnia
