#pragma once

#include "zinniarelay/replication/storage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/// The format of messages in the files of a data folder. A frame consists of a magic
/// number, the length of the payload, its XXH64 and the payload. One append writes one
/// frame, so a crash during an append damages only the last frame.
constexpr std::uint32_t frame_magic = 0x31474C5A;
constexpr std::size_t frame_header_size = 16; // bytes

/// Returns the frame of a payload.
std::string encode_frame(const std::string& payload);
/// Returns the payload of the frame at an offset, or no value when the frame is incomplete
/// or damaged.
std::optional<std::string_view> decode_frame(std::string_view content, std::size_t offset);
/// Returns a failure of error_kind::corrupted whose place names the file and the byte.
inline auto corrupted(const std::string& file, std::size_t offset, const std::string& cause) {
  return failure(error_kind::corrupted, file + ": byte " + std::to_string(offset), cause);
}

/// Reads a file that consists of one frame. Returns no value when the file does not exist.
/// Fails with error_kind::corrupted when the file is damaged.
template <class Message>
result<std::optional<Message>> read_message(const storage& files, const std::string& name) {
  ZINNIA_TRY(content, files.read(name));
  if (!content) return std::optional<Message>();
  const auto payload = decode_frame(*content, 0);
  if (!payload || payload->size() + frame_header_size != content->size())
    return corrupted(name, 0, "wrong checksum or length");
  Message out;
  if (!out.ParseFromArray(payload->data(), static_cast<int>(payload->size())))
    return corrupted(name, frame_header_size, "the message cannot be parsed");
  return std::optional<Message>(std::move(out));
}

} // namespace zinnia
