#include "recall_writer.h"

#include "zinniarelay/observe/log_line.h"

namespace zinnia::controld {
namespace {

// Changes in quick succession share one write.
constexpr milliseconds shortest_interval{50};
// A view without changes is saved again, because view_store takes an old one for useless.
constexpr milliseconds longest_interval{10'000};
constexpr milliseconds retry_interval{500};

} // namespace

recall_writer::recall_writer(host_state& shared, file_storage files)
    : shared_(shared), files_(std::move(files)), worker_([this] { run(); }) {}

recall_writer::~recall_writer() {
  {
    const std::lock_guard lock(shared_.mutex);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

void recall_writer::run() {
  view_store store(files_);
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    changed_.wait_for(lock, longest_interval, [this] {
      return is_stopping_ || !(shared_.host.current_view_position() == saved_);
    });
    if (is_stopping_) return;
    const auto position = shared_.host.current_view_position();
    const auto view = shared_.host.current_view(monotonic_now(), wall_ms());
    lock.unlock();
    const auto written = store.save(view);
    lock.lock();
    note_result(written);
    if (written.has_value()) saved_ = position;
    shared_.changed.notify_all();
    const auto pause = is_failing_ ? retry_interval : shortest_interval;
    changed_.wait_for(lock, pause, [this] { return is_stopping_; });
  }
}

void recall_writer::note_result(const result<void>& written) {
  const bool has_failed = !written.has_value();
  if (has_failed == is_failing_) return;
  is_failing_ = has_failed;
  if (has_failed)
    log_warning("recall_not_saved").with(written.error());
  else
    log_info("recall_saved_again");
}

} // namespace zinnia::controld
