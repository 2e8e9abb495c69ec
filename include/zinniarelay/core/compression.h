#pragma once

#include "zinniarelay/core/result.h"

#include <cstddef>
#include <string>

namespace zinnia {

/// Returns the content in zlib's format.
std::string deflated(const std::string& content);
/// Returns the content that deflated() was called with. Fails with error_kind::corrupted when the
/// argument is damaged or its content exceeds `max_size` bytes.
result<std::string> inflated(const std::string& content,
                             std::size_t max_size = std::size_t{64} << 20U);

} // namespace zinnia
