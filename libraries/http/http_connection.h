#pragma once

#include "zinniarelay/http/http_message.h"
#include "zinniarelay/http/http_server_limits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace zinnia {

/// Why a connection ended; each reason has a counter.
enum class connection_end {
  served,    ///< the response was sent
  timed_out, ///< the request was not complete, or the response not sent, in time
  displaced, ///< closed in favour of a newer connection
  malformed, ///< the request cannot be parsed
  too_long,  ///< the request is longer than permitted
  overload,  ///< too many requests were waiting
  lost,      ///< the client closed the connection before its request was complete
  stopped    ///< the server stopped
};
constexpr std::size_t connection_end_count = 8;
/// Returns the reason as used in metrics, for instance "timed_out".
const char* name_of(connection_end value);

/// Receives one request, has it handled and sends the response. All functions are called on the
/// thread that serves the connections.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
  /// What a connection needs from its server.
  class owner {
  public:
    owner() = default;
    owner(const owner&) = delete;
    owner& operator=(const owner&) = delete;
    virtual ~owner() = default;

    /// Reserves memory for a body. Returns false when too much is in use.
    virtual bool reserve(std::size_t bytes) = 0;
    virtual void release(std::size_t bytes) = 0;
    /// Handles a request and calls respond() of the connection. Returns false when too many
    /// requests are waiting.
    virtual bool handle(std::shared_ptr<http_connection> connection, http_request request) = 0;
    virtual void on_responding(std::uint64_t connection) = 0;
    virtual void on_end(std::uint64_t connection, connection_end end) = 0;
  };

  http_connection(boost::asio::ip::tcp::socket socket, std::uint64_t number,
                  const http_server_limits& limits, owner& server);
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection() = default;

  void start();
  void respond(const http_response& value);
  /// Closes the connection without a response.
  void close(connection_end end);
  std::uint64_t number() const { return number_; }

private:
  using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read_body();
  void on_header(boost::beast::error_code ec);
  void on_request(boost::beast::error_code ec);
  void on_read_error(boost::beast::error_code ec);
  /// Sends a response to a request that is not handled, and ends with `end`.
  void refuse(int status, const char* cause, connection_end end);
  void on_response(boost::beast::error_code ec);
  /// Reads and drops the rest of a refused request. Closing a socket with unread data resets the
  /// connection, and the client might not get the response.
  void discard_rest();
  void finish(connection_end end);

  boost::beast::tcp_stream stream_;
  std::uint64_t number_;
  const http_server_limits& limits_;
  owner& server_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::array<char, 4'096> discarded_{};
  std::size_t reserved_ = 0; ///< bytes reserved for the body
  connection_end outcome_ = connection_end::served;
  bool has_ended_ = false;
};

} // namespace zinnia
