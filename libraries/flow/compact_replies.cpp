#include "zinniarelay/flow/compact_replies.h"

#include "zinniarelay/core/compression.h"

#include <algorithm>

namespace zinnia {
namespace {

using refreshes = upstream_directory::refreshes;

// A shorter list is sent as it is.
constexpr std::size_t min_upstreams = 32;
// Reports compress to less than a quarter of their size.
constexpr std::size_t page_bytes = 4 * compact_replies::max_bytes; // before compression
// Later changes are sent after the compressed pages. With more of them, and at the latest after
// this time, the list is compressed again: a directory forgets an upstream 90 s after its end, and
// an older list would add it again.
constexpr std::size_t max_later_changes = 64;
constexpr milliseconds max_age{10'000};
constexpr milliseconds min_age{250};

template <class Message>
result<Message> expanded(const std::string& content) {
  ZINNIA_TRY(bytes, inflated(content));
  Message out;
  if (!out.ParseFromString(bytes))
    return failure(error_kind::corrupted, "reply of a control host", "cannot be decoded");
  return out;
}

} // namespace

bool compact_replies::is_usable(time_point now, const upstream_directory& upstreams) const {
  const auto age = now - built_;
  if (pages_.empty() || age >= max_age) return false;
  return age < min_age || upstreams.changes_after(pages_.back().to) <= max_later_changes;
}

void compact_replies::build(time_point now, const upstream_directory& upstreams) {
  pages_.clear();
  built_ = now;
  for (bool is_last = false; !is_last;) {
    auto& added = pages_.emplace_back();
    added.from = pages_.size() == 1 ? 0 : pages_[pages_.size() - 2].to;
    // Halves the page until it is small enough. One upstream is always sent.
    for (auto size = page_bytes; size > 0; size /= 2) {
      const auto page = upstreams.updates_after(added.from, size, refreshes::none);
      added.content = deflated(page.updates.SerializeAsString());
      added.to = page.position;
      is_last = page.is_last;
      if (added.content.size() <= max_bytes) break;
    }
  }
}

const compact_replies::compressed_page* compact_replies::find(time_point now,
                                                              std::uint64_t position) const {
  if (now - built_ >= max_age) return nullptr;
  const auto it = std::find_if(pages_.begin(), pages_.end(),
                               [&](const auto& page) { return page.from == position; });
  return it == pages_.end() ? nullptr : &*it;
}

void compact_replies::add_upstreams(time_point now, const upstream_directory& upstreams,
                                    std::uint64_t position, wire::news_reply& reply) {
  if (position == 0 && upstreams.size() >= min_upstreams && !is_usable(now, upstreams))
    build(now, upstreams);
  reply.set_from_position(position);
  std::size_t space = max_bytes;
  if (const auto* page = find(now, position); page != nullptr) {
    reply.set_compressed_upstreams(page->content);
    position = page->to;
    space -= std::min(space, page->content.size());
    if (page != &pages_.back() || space == 0) {
      reply.set_position(position);
      reply.set_has_more_upstreams(position < upstreams.position());
      return;
    }
  }
  auto rest = upstreams.updates_after(position, space, refreshes::none);
  *reply.mutable_upstreams() = std::move(rest.updates);
  reply.set_position(rest.position);
  reply.set_has_more_upstreams(!rest.is_last);
}

result<void> expand_declaration(const std::string& content, wire::news_reply& reply) {
  ZINNIA_TRY(decoded, expanded<wire::declaration_content>(content));
  if (decoded.has_declaration())
    *reply.mutable_declaration() = std::move(*decoded.mutable_declaration());
  if (decoded.has_change()) *reply.mutable_change() = std::move(*decoded.mutable_change());
  return success();
}

result<void> expand(wire::news_reply& reply) {
  if (!reply.compressed_declaration().empty()) {
    ZINNIA_TRY(declaration, expanded<wire::flow_declaration>(reply.compressed_declaration()));
    *reply.mutable_declaration() = std::move(declaration);
    reply.clear_compressed_declaration();
  }
  if (!reply.compressed_upstreams().empty()) {
    ZINNIA_TRY(upstreams, expanded<wire::upstream_news>(reply.compressed_upstreams()));
    // Later changes follow the list that they change.
    upstreams.MergeFrom(reply.upstreams());
    *reply.mutable_upstreams() = std::move(upstreams);
    reply.clear_compressed_upstreams();
  }
  return success();
}

} // namespace zinnia
