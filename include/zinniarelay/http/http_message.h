#pragma once

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

} // namespace zinnia
