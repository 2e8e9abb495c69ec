#include "view_writer.h"

#include "zinniarelay/observe/log_line.h"

namespace zinnia::controld {
namespace {

// Changes in quick succession share one write.
constexpr milliseconds min_interval{50};
// An unchanged view is saved again after this time, because view_store ignores a view that is
// too old.
constexpr milliseconds max_interval{10'000};
constexpr milliseconds retry_interval{500};

} // namespace

view_writer::view_writer(host_state& shared, file_storage files)
    : shared_(shared), files_(std::move(files)), worker_([this] { run(); }) {}

view_writer::~view_writer() {
  {
    const std::lock_guard lock(shared_.mutex);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

void view_writer::run() {
  view_store store(files_);
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    changed_.wait_for(lock, max_interval, [this] {
      return is_stopping_ || !(shared_.host.current_view_position() == saved_);
    });
    if (is_stopping_) return;
    const auto position = shared_.host.current_view_position();
    const auto view = shared_.host.current_view(monotonic_now(), wall_ms());
    lock.unlock();
    const auto written = store.save(view);
    lock.lock();
    record_result(written);
    if (written.has_value()) saved_ = position;
    shared_.changed.notify_all();
    const auto pause = is_failing_ ? retry_interval : min_interval;
    changed_.wait_for(lock, pause, [this] { return is_stopping_; });
  }
}

void view_writer::record_result(const result<void>& written) {
  const bool has_failed = !written.has_value();
  if (has_failed == is_failing_) return;
  is_failing_ = has_failed;
  if (has_failed)
    log_warning("recall_not_saved").with(written.error());
  else
    log_info("recall_saved_again");
}

} // namespace zinnia::controld
