#include "zinniarelay/core/encoded_contents.h"

#include "zinniarelay/core/compression.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {
namespace {

// A receiver that has begun to receive a version completes it and then gets the change to the
// newest one. Otherwise it would get none while versions follow each other faster than it receives
// one.
constexpr milliseconds superseded_lifetime{4'000};
constexpr std::size_t max_contents = 12;

} // namespace

wire::content_part encoded_contents::content::part(std::size_t offset,
                                                   std::size_t max_bytes) const {
  wire::content_part out;
  out.set_digest(digest);
  out.set_total_bytes(static_cast<std::uint32_t>(bytes.size()));
  out.set_offset(static_cast<std::uint32_t>(offset));
  out.set_bytes(bytes.substr(offset, max_bytes));
  return out;
}

std::optional<wire::content_part> encoded_contents::continued(const content_progress& receiver,
                                                              std::size_t max_bytes) const {
  if (receiver.bytes == 0) return std::nullopt;
  const auto it = std::find_if(contents_.begin(), contents_.end(), [&](const auto& each) {
    return each.digest == receiver.digest && each.bytes.size() > receiver.bytes &&
           (each.base == 0 || each.base == receiver.version);
  });
  if (it == contents_.end()) return std::nullopt;
  return it->part(receiver.bytes, max_bytes);
}

const encoded_contents::content&
encoded_contents::find_or_add(std::uint64_t base, std::uint64_t version, const encode& encoded) {
  const auto it = std::find_if(contents_.begin(), contents_.end(), [&](const auto& each) {
    return each.base == base && each.version == version;
  });
  if (it != contents_.end()) return *it;
  if (contents_.size() >= max_contents) contents_.pop_front();
  auto& added = contents_.emplace_back();
  added.base = base;
  added.version = version;
  added.bytes = deflated(encoded());
  added.digest = XXH64(added.bytes.data(), added.bytes.size(), 0);
  return added;
}

void encoded_contents::remove_superseded(time_point now, std::uint64_t newest) {
  for (auto& it : contents_)
    if (it.version != newest && !it.superseded) it.superseded = now;
  std::erase_if(contents_, [&](const auto& it) {
    return it.superseded && now - *it.superseded > superseded_lifetime;
  });
}

wire::content_part encoded_contents::part_of(time_point now, std::uint64_t base,
                                             std::uint64_t newest, const content_progress& receiver,
                                             std::size_t max_bytes, const encode& encoded) {
  remove_superseded(now, newest);
  if (auto begun = continued(receiver, max_bytes)) return *begun;
  const auto& content = find_or_add(base, newest, encoded);
  // The receiver may have begun at another control host, before this one encoded the content.
  const bool is_begun = content.digest == receiver.digest && receiver.bytes < content.bytes.size();
  return content.part(is_begun ? receiver.bytes : 0, max_bytes);
}

} // namespace zinnia
