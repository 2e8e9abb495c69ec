#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <string>

namespace zinnia::utilities {

struct http_answer {
  int status = 0;
  std::string body;

  bool is_ok() const { return status == Poco::Net::HTTPResponse::HTTP_OK; }
};

/// One HTTP call on a connection of its own. Fails with error_kind::unavailable when no
/// answer came in time.
inline result<http_answer> http_call(const endpoint& to, const std::string& method,
                                     const std::string& path, const std::string& body,
                                     milliseconds timeout) {
  try {
    const auto text = endpoint{to.address, 0}.to_string();
    Poco::Net::HTTPClientSession session(text.substr(0, text.find(':')), to.port);
    session.setTimeout(Poco::Timespan(std::chrono::microseconds(timeout).count()));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    http_answer out;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), out.body);
    out.status = response.getStatus();
    return out;
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::unavailable, to.to_string(), ex.displayText());
  }
}

} // namespace zinnia::utilities
