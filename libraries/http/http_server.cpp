#include "zinniarelay/http/http_server.h"

#include "zinniarelay/observe/log_line.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <array>
#include <utility>

namespace zinnia {
namespace {

constexpr long receive_timeout_s = 5;
constexpr int listen_backlog = 128;

class poco_request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  poco_request_handler(const http_server::handler& handle, std::size_t max_body_bytes)
      : handle_(handle), max_body_bytes_(max_body_bytes) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    http_response reply;
    try {
      http_request parsed{request.getMethod(), request.getURI(), {}};
      reply = read_body(request.stream(), parsed.body)
                  ? handle_(parsed)
                  : http_response{413, "text/plain", "request body too long"};
    } catch (const std::exception& ex) {
      log_warning("http_request_failed").with("path", request.getURI()).with("cause", ex.what());
      reply = {500, "text/plain", "internal error"};
    }
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    response.setContentType(reply.content_type);
    response.sendBuffer(reply.body.data(), reply.body.size());
  }

private:
  bool read_body(std::istream& in, std::string& out) const {
    std::array<char, 16'384> buf{};
    while (in.read(buf.data(), buf.size()), in.gcount() > 0) {
      out.append(buf.data(), static_cast<std::size_t>(in.gcount()));
      if (out.size() > max_body_bytes_) return false;
    }
    return true;
  }

  const http_server::handler& handle_;
  std::size_t max_body_bytes_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  handler_factory(http_server::handler handle, std::size_t max_body_bytes)
      : handle_(std::move(handle)), max_body_bytes_(max_body_bytes) {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new poco_request_handler(handle_, max_body_bytes_); // Poco takes ownership
  }

private:
  http_server::handler handle_;
  std::size_t max_body_bytes_;
};

class poco_http_server final : public http_server {
public:
  poco_http_server(const Poco::Net::ServerSocket& socket, handler handle, const limits& bounds)
      : pool_(1, bounds.threads), server_(new handler_factory(std::move(handle), bounds.body_bytes),
                                          pool_, socket, parameters(bounds)) {
    server_.start();
  }
  poco_http_server(const poco_http_server&) = delete;
  poco_http_server& operator=(const poco_http_server&) = delete;
  ~poco_http_server() override { server_.stopAll(true); }

private:
  static Poco::Net::HTTPServerParams* parameters(const limits& bounds) {
    auto* out = new Poco::Net::HTTPServerParams; // Poco takes ownership
    out->setMaxThreads(bounds.threads);
    out->setMaxQueued(bounds.queued_connections);
    // An idle connection would occupy one of the threads.
    out->setKeepAlive(false);
    out->setTimeout(Poco::Timespan(receive_timeout_s, 0));
    return out;
  }

  Poco::ThreadPool pool_;
  Poco::Net::HTTPServer server_;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::create(const endpoint& address, handler handle,
                                                         const limits& bounds) {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.to_string()), true, false);
    socket.listen(listen_backlog);
    return std::unique_ptr<http_server>(
        std::make_unique<poco_http_server>(socket, std::move(handle), bounds));
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, address.to_string(), ex.displayText());
  }
}

} // namespace zinnia
