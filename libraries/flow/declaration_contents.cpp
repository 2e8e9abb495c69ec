#include "zinniarelay/flow/declaration_contents.h"

namespace zinnia {

wire::content_part declaration_contents::next_part(time_point now,
                                                   const wire::news_request& request,
                                                   const wire::flow_declaration& newest,
                                                   declaration_history& history,
                                                   std::size_t max_bytes) {
  const auto* change = history.change_since(request.version());
  if (change != nullptr && change->version() != newest.version()) change = nullptr;
  const auto encode = [&] {
    wire::declaration_content out;
    if (change != nullptr)
      *out.mutable_change() = *change;
    else
      *out.mutable_declaration() = newest;
    return out.SerializeAsString();
  };
  const auto base = change == nullptr ? 0 : request.version();
  const auto progress = content_progress::of(request.version(), request);
  return contents_.part_of(now, base, newest.version(), progress, max_bytes, encode);
}

} // namespace zinnia
