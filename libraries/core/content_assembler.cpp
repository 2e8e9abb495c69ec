#include "zinniarelay/core/content_assembler.h"

#include <utility>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr const char* place = "part of a content";

} // namespace

result<void> content_assembler::check(const wire::content_part& part) const {
  if (part.total_bytes() > max_bytes) return failure(error_kind::corrupted, place, "is too large");
  if (part.bytes().empty()) return failure(error_kind::corrupted, place, "is empty");
  if (part.offset() != bytes_.size())
    return failure(error_kind::corrupted, place, "does not follow the last part");
  if (bytes_.size() + part.bytes().size() > part.total_bytes())
    return failure(error_kind::corrupted, place, "exceeds the content");
  return success();
}

result<std::optional<std::string>> content_assembler::add(const wire::content_part& part) {
  if (part.digest() != digest_) bytes_.clear();
  digest_ = part.digest();
  // Several control hosts may send the same part to a host that searches.
  if (part.offset() < bytes_.size()) return std::optional<std::string>();
  if (const auto checked = check(part); !checked.has_value()) {
    bytes_.clear();
    return checked.error();
  }
  bytes_ += part.bytes();
  if (bytes_.size() < part.total_bytes()) return std::optional<std::string>();
  auto complete = std::exchange(bytes_, {});
  if (XXH64(complete.data(), complete.size(), 0) != digest_)
    return failure(error_kind::corrupted, place, "completes a content with another digest");
  return std::optional<std::string>(std::move(complete));
}

} // namespace zinnia
