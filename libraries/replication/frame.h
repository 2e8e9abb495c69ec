#pragma once

#include "zinniarelay/replication/storage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/// Frames are how files of a data folder hold messages: a mark, the length of the
/// payload, its XXH64 and the payload. One append is one frame, so that a crash during
/// an append damages only the last frame.
constexpr std::uint32_t frame_mark = 0x31474C5A;
constexpr std::size_t frame_header_size = 16; // bytes

std::string frame_of(const std::string& payload);
/// The payload of the frame that starts at a byte, if it is whole.
std::optional<std::string_view> payload_at(std::string_view content, std::size_t at);
/// An error_kind::corrupted that names file and byte.
inline auto corrupted(const std::string& file, std::size_t at, const std::string& cause) {
  return failure(error_kind::corrupted, file + ": byte " + std::to_string(at), cause);
}

/// Reads a file that is replaced as a whole, which is one frame. No value when there
/// is no such file; fails with error_kind::corrupted when it is damaged.
template <class Message>
result<std::optional<Message>> read_message(const storage& files, const std::string& name) {
  ZINNIA_TRY(content, files.read(name));
  if (!content) return std::optional<Message>();
  const auto payload = payload_at(*content, 0);
  if (!payload || payload->size() + frame_header_size != content->size())
    return corrupted(name, 0, "wrong checksum or length");
  Message out;
  if (!out.ParseFromArray(payload->data(), static_cast<int>(payload->size())))
    return corrupted(name, frame_header_size, "not a readable message");
  return std::optional<Message>(std::move(out));
}

} // namespace zinnia
