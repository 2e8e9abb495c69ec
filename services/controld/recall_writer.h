#pragma once

#include "host_state.h"
#include "zinniarelay/control/view_store.h"
#include "zinniarelay/replication/file_storage.h"

#include <condition_variable>
#include <thread>

namespace zinnia::controld {

/// Saves what the control host would want to recall after a restart. Writes on a thread
/// of its own, so that a slow disk delays only what waits for the write.
class recall_writer {
public:
  recall_writer(host_state& shared, file_storage files);
  recall_writer(const recall_writer&) = delete;
  recall_writer& operator=(const recall_writer&) = delete;
  ~recall_writer();

  /// Called with the shared mutex held, after a change.
  void wake() { changed_.notify_all(); }
  /// True when changes of upstreams up to a position are on disk, or the disk takes no
  /// writes. Called with the mutex held.
  bool has_saved(std::uint64_t upstreams) const {
    return is_failing_ || saved_.upstreams >= upstreams;
  }

private:
  void run();
  void note_result(const result<void>& written);

  host_state& shared_;
  file_storage files_;
  std::condition_variable changed_;
  control_host::view_position saved_;
  bool is_failing_ = false;
  bool is_stopping_ = false;
  std::thread worker_;
};

} // namespace zinnia::controld
