#include "zinniarelay/flow/compact_replies.h"

#include "zinniarelay/core/compression.h"

namespace zinnia {
namespace {

// Smaller content is sent as it is.
constexpr std::size_t min_declaration_bytes = 4'096;
constexpr std::size_t min_upstreams = 32;
// Later changes are sent beside the compressed upstreams. With more of them, and at the latest
// after this time, they are compressed again: a directory forgets an upstream 90 s after its end,
// and an older list would add it again.
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

bool compact_replies::is_usable(time_point now, std::size_t later_changes) const {
  const auto age = now - upstreams_.built;
  if (upstreams_.position == 0 || age >= max_age) return false;
  return age < min_age || later_changes <= max_later_changes;
}

void compact_replies::add_upstreams(time_point now, const upstream_directory& upstreams,
                                    wire::news_reply& reply) {
  if (upstreams.size() < min_upstreams) {
    *reply.mutable_upstreams() = upstreams.updates_since(0);
    return;
  }
  auto later = upstreams.updates_since(upstreams_.position);
  if (!is_usable(now, static_cast<std::size_t>(later.reports_size()))) {
    upstreams_ = {deflated(upstreams.updates_since(0).SerializeAsString()), upstreams.position(),
                  now};
    later.Clear();
  }
  reply.set_compressed_upstreams(upstreams_.content);
  *reply.mutable_upstreams() = std::move(later);
}

void compact_replies::add_declaration(const wire::flow_declaration& declaration,
                                      wire::news_reply& reply) {
  if (declaration_version_ != declaration.version()) {
    const auto content = declaration.SerializeAsString();
    declaration_ = content.size() < min_declaration_bytes ? "" : deflated(content);
    declaration_version_ = declaration.version();
  }
  if (declaration_.empty())
    *reply.mutable_declaration() = declaration;
  else
    reply.set_compressed_declaration(declaration_);
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
