#pragma once

#include "zinniarelay/core/time.h"

#include <cstddef>

namespace zinnia {

/// Bounds on the resources that the clients of an http_server can occupy.
struct http_server_limits {
  /// Threads that run the handler. With 0, the handler runs on the thread that serves the
  /// connections and must not block.
  std::size_t handler_threads = 16;
  /// Complete requests that wait for a thread. Further ones are answered with status 503.
  std::size_t waiting_requests = 128;
  /// Open connections. For each one above, the server closes the connection that has been
  /// receiving or sending for longest.
  std::size_t connections = 512;
  /// A request with a longer body is answered with status 413.
  std::size_t body_bytes = std::size_t{8} << 20U;
  /// Sum of the bodies that are being received. A request above it is answered with status 503.
  std::size_t buffered_bytes = std::size_t{32} << 20U;
  /// From the acceptance of a connection until its request is complete.
  milliseconds request_timeout{5'000};
  /// From the response of the handler until it is sent.
  milliseconds response_timeout{5'000};
  /// How long a stopping server waits for the requests that it has accepted.
  milliseconds stop_timeout{1'000};

  friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

} // namespace zinnia
