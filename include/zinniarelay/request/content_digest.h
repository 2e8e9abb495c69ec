#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zinnia {

inline constexpr std::size_t content_digest_size = 16; // bytes

/// Returns the BLAKE2b-128 digest of an answer or of a complete content (docs/design.md R14, R15).
std::string content_digest(std::string_view content);

} // namespace zinnia
