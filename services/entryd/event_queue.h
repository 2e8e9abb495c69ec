#pragma once

#include "zinniarelay/entry/entry_event.h"

#include <mutex>
#include <vector>

namespace zinnia::entryd {

/// Passes events from the threads of gRPC to the main loop, and wakes the loop.
class event_queue {
public:
  event_queue();
  ~event_queue();
  event_queue(const event_queue&) = delete;
  event_queue& operator=(const event_queue&) = delete;

  void push(entry_event event);

  /// Removes and returns all events, and resets the descriptor.
  std::vector<entry_event> take();

  /// Returns a file descriptor that is readable while there are events.
  int descriptor() const { return descriptor_; }

private:
  int descriptor_;
  std::mutex mutex_;
  std::vector<entry_event> events_;
};

} // namespace zinnia::entryd
