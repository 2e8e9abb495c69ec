#pragma once

#include "caller.pb.h"
#include "zinniarelay/request/request_key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// Bytes of the answer in one part. With token, digests and content version the
/// datagram stays below 1,400 bytes.
inline constexpr std::size_t part_data_size = 1'100;

/// Longest content version, in bytes; a longer one would not fit into a part.
inline constexpr std::size_t longest_content_version = 64;

/// Splits an answer from `offset` on into at most `most` parts (docs/design.md
/// R14). An empty answer is one empty part.
std::vector<wire::answer_part> split_answer(const request_key& key, std::string_view answer,
                                            const std::string& digest, std::size_t offset,
                                            std::uint32_t most);

} // namespace zinnia
