#include "replication/frame.h"

#include <cstring>
#include <xxhash.h>

namespace zinnia {

std::string encode_frame(const std::string& payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  const std::uint64_t checksum = XXH64(payload.data(), payload.size(), length);
  std::string out(frame_header_size, '\0');
  std::memcpy(out.data(), &frame_magic, sizeof frame_magic);
  std::memcpy(out.data() + 4, &length, sizeof length);
  std::memcpy(out.data() + 8, &checksum, sizeof checksum);
  return out + payload;
}

std::optional<std::string_view> decode_frame(std::string_view content, std::size_t offset) {
  if (content.size() - offset < frame_header_size) return std::nullopt;
  std::uint32_t magic = 0;
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
  std::memcpy(&magic, content.data() + offset, sizeof magic);
  std::memcpy(&length, content.data() + offset + 4, sizeof length);
  std::memcpy(&checksum, content.data() + offset + 8, sizeof checksum);
  if (magic != frame_magic || content.size() - offset - frame_header_size < length)
    return std::nullopt;
  const auto payload = content.substr(offset + frame_header_size, length);
  if (XXH64(payload.data(), payload.size(), length) != checksum) return std::nullopt;
  return payload;
}

} // namespace zinnia
