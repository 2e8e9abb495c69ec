#pragma once

#include "event_queue.h"
#include "zinniarelay/entry/entry_effect.h"

#include <memory>

namespace zinnia::entryd {

/// Polls control hosts and pushes each reply or failure to the event queue.
class control_client {
public:
  explicit control_client(event_queue& events);
  ~control_client();
  control_client(const control_client&) = delete;
  control_client& operator=(const control_client&) = delete;

  void execute(const poll_control& effect);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace zinnia::entryd
