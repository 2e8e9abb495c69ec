#pragma once

#include "caller.pb.h"
#include "zinniarelay/request/request_key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// Maximum number of answer bytes in one part. With the token, the digests and the
/// content version, the datagram stays below 1,400 bytes.
inline constexpr std::size_t max_part_data_size = 1'100;

/// Maximum size of a content version in bytes. A longer version does not fit into a part.
inline constexpr std::size_t max_content_version_size = 64;

/// Splits an answer, starting at byte `offset`, into at most `max_parts` parts
/// (docs/design.md R14). An empty answer yields one empty part.
std::vector<wire::answer_part> split_answer(const request_key& key, std::string_view answer,
                                            const std::string& digest, std::size_t offset,
                                            std::uint32_t max_parts);

} // namespace zinnia
