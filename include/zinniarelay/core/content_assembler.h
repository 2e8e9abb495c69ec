#pragma once

#include "control.pb.h"
#include "zinniarelay/core/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace zinnia {

/// Collects the parts of a content that an entry host receives in several replies.
class content_assembler {
public:
  /// Larger contents are refused.
  static constexpr std::size_t max_bytes = std::size_t{16} << 20U;

  /// Adds a part, and returns the content when it is complete. A part of another content begins
  /// that one. Fails with error_kind::corrupted when the part is not the next one or the complete
  /// content does not have its digest; the next request then begins from the start.
  result<std::optional<std::string>> add(const wire::content_part& part);
  /// Names the received bytes in a request; `Request` has the fields of a part.
  template <class Request>
  void describe(Request& request) const {
    request.set_part_digest(digest_);
    request.set_part_offset(static_cast<std::uint32_t>(bytes_.size()));
  }

private:
  result<void> check(const wire::content_part& part) const;

  std::uint64_t digest_ = 0;
  std::string bytes_;
};

} // namespace zinnia
