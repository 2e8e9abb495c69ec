#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"

#include <functional>
#include <memory>
#include <string>

namespace zinnia {

struct http_request {
  std::string method;
  std::string path; ///< including the query, as sent
  std::string body;

  friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;

  friend bool operator==(const http_response&, const http_response&) = default;
};

/// An HTTP/1.1 server for operators, announcements, readiness and metrics. Handlers
/// run on several threads; an exception thrown by a handler is logged and results in
/// status 500.
class http_server {
public:
  using handler = std::function<http_response(const http_request&)>;

  struct limits {
    int threads = 16;
    int queued_connections = 128;
    std::size_t body_bytes = 8U << 20U; ///< longer requests are rejected with status 413
  };

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<http_server>> create(const endpoint& address, handler handle,
                                                     const limits& bounds);

  virtual ~http_server() = default;
};

} // namespace zinnia
