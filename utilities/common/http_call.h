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

struct http_response {
  int status = 0;
  std::string body;

  bool is_ok() const { return status == Poco::Net::HTTPResponse::HTTP_OK; }
};

/// Sends one HTTP request on a new connection and returns the response. Fails with
/// error_kind::unavailable when no response arrives in time.
inline result<http_response> http_call(const endpoint& server, const std::string& method,
                                       const std::string& path, const std::string& body,
                                       milliseconds timeout) {
  try {
    const auto address = endpoint{server.address, 0}.to_string();
    Poco::Net::HTTPClientSession session(address.substr(0, address.find(':')), server.port);
    session.setTimeout(Poco::Timespan(std::chrono::microseconds(timeout).count()));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    http_response out;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), out.body);
    out.status = response.getStatus();
    return out;
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::unavailable, server.to_string(), ex.displayText());
  }
}

} // namespace zinnia::utilities
