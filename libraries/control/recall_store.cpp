#include "zinniarelay/control/recall_store.h"

#include "replication/frame.h"

namespace zinnia {
namespace {

constexpr const char* recall_file = "recall";
// Other hosts forget an upstream 90 s after it has gone. A view as old as that would bring
// it back as if it were new.
constexpr std::uint64_t longest_age_ms = 60'000;
// The time of day may have been set back since the view was saved.
constexpr std::uint64_t clock_slack_ms = 10'000;

} // namespace

result<std::optional<wire::recalled_view>> recall_store::load(std::uint64_t wall_ms) const {
  ZINNIA_TRY(view, read_message<wire::recalled_view>(*files_, recall_file));
  if (view &&
      (view->saved_ms() + longest_age_ms < wall_ms || view->saved_ms() > wall_ms + clock_slack_ms))
    view.reset();
  return view;
}

result<void> recall_store::save(const wire::recalled_view& view) {
  return files_->replace(recall_file, encode_frame(view.SerializeAsString()));
}

} // namespace zinnia
