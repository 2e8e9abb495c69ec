#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/http/http_message.h"
#include "zinniarelay/http/http_server_limits.h"
#include "zinniarelay/observe/metric_registry.h"

#include <functional>
#include <memory>
#include <string>

namespace zinnia {

/// An HTTP/1.1 server for operators, reports of upstreams, readiness and metrics. Each connection
/// serves one request. Connections cost no thread: a client that sends its request slowly or not
/// at all delays no other client. An exception thrown by the handler is logged and results in
/// status 500.
class http_server {
public:
  using handler = std::function<http_response(const http_request&)>;

  /// Fails with error_kind::io when the address cannot be bound. Counts connections and their ends
  /// as `http_connections` in `metrics`, which must outlive the server; `name` is the label
  /// `server`.
  static result<std::unique_ptr<http_server>> create(const endpoint& address, handler handle,
                                                     const http_server_limits& limits,
                                                     metric_registry& metrics,
                                                     const std::string& name);

  /// Accepts no more connections, and waits for the requests on those already accepted, at most
  /// for the stop timeout.
  virtual ~http_server() = default;

  /// Returns the address that the server is bound to, with the port that the system chose for
  /// port 0.
  virtual endpoint address() const = 0;
};

} // namespace zinnia
