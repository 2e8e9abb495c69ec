#include "zinniarelay/control/view_store.h"

#include "replication/frame.h"

namespace zinnia {
namespace {

constexpr const char* view_file = "recall";
// Other hosts remove an upstream 90 s after its end. A view older than that would add
// the upstream again as if it were new.
constexpr std::uint64_t max_view_age_ms = 60'000;
// The wall clock may have been set back since the view was saved.
constexpr std::uint64_t max_clock_setback_ms = 10'000;

} // namespace

result<std::optional<wire::recalled_view>> view_store::load(std::uint64_t wall_ms) const {
  ZINNIA_TRY(view, read_message<wire::recalled_view>(*files_, view_file));
  if (view && (view->saved_ms() + max_view_age_ms < wall_ms ||
               view->saved_ms() > wall_ms + max_clock_setback_ms))
    view.reset();
  return view;
}

result<void> view_store::save(const wire::recalled_view& view) {
  return files_->replace(view_file, encode_frame(view.SerializeAsString()));
}

} // namespace zinnia
