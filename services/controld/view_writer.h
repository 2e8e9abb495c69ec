#pragma once

#include "host_state.h"
#include "zinniarelay/control/view_store.h"
#include "zinniarelay/replication/file_storage.h"

#include <condition_variable>
#include <thread>

namespace zinnia::controld {

/// Saves the view that the control host restores after a restart. The writes run on a separate
/// thread, so a slow disk delays only operations that wait for the write.
class view_writer {
public:
  view_writer(host_state& shared, file_storage files);
  view_writer(const view_writer&) = delete;
  view_writer& operator=(const view_writer&) = delete;
  ~view_writer();

  /// Requests a write after a change. Called with the shared mutex held.
  void wake() { changed_.notify_all(); }
  /// Returns true when changes of upstreams up to a position are on disk, or when writes
  /// fail. Called with the shared mutex held.
  bool has_saved(std::uint64_t position) const {
    return is_failing_ || saved_.upstreams >= position;
  }

private:
  void run();
  /// Records whether writes fail, and logs each change of that.
  void record_result(const result<void>& written);

  host_state& shared_;
  file_storage files_;
  std::condition_variable changed_;
  control_host::view_position saved_; ///< of the last view written
  bool is_failing_ = false;
  bool is_stopping_ = false;
  std::thread worker_;
};

} // namespace zinnia::controld
