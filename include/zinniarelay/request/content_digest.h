#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zinnia {

inline constexpr std::size_t content_digest_size = 16; // bytes

/// BLAKE2b-128 of an answer or of a whole content (docs/design.md R14, R15).
std::string content_digest(std::string_view content);

} // namespace zinnia
