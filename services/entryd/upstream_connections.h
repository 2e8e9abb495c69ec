#pragma once

#include "event_queue.h"
#include "zinniarelay/entry/entry_effect.h"

#include <memory>

namespace zinnia::entryd {

/// The gRPC connections to upstreams and the calls that run on them. Used only by
/// the thread of the main loop; results arrive in the event queue.
class upstream_connections {
public:
  explicit upstream_connections(event_queue& events);
  ~upstream_connections();
  upstream_connections(const upstream_connections&) = delete;
  upstream_connections& operator=(const upstream_connections&) = delete;

  void execute(const open_connection& effect);
  void execute(const close_connection& effect);
  void execute(const check_connection& effect);
  void execute(const start_call& effect);
  void execute(const cancel_call& effect);

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace zinnia::entryd
