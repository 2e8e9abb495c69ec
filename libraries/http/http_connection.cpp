#include "http/http_connection.h"

#include <utility>

namespace zinnia {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint32_t max_header_bytes = 16'384;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

const char* name_of(connection_end value) {
  constexpr std::array<const char*, connection_end_count> names{
      "served", "timed_out", "displaced", "malformed", "too_long", "overload", "lost", "stopped"};
  return names.at(static_cast<std::size_t>(value));
}

http_connection::http_connection(boost::asio::ip::tcp::socket socket, std::uint64_t number,
                                 const http_server_limits& limits, owner& server)
    : stream_(std::move(socket)), number_(number), limits_(limits), server_(server) {
  parser_.emplace();
  parser_->header_limit(max_header_bytes);
  parser_->body_limit(limits_.body_bytes);
}

// One time limit covers the whole request, so a client that sends a byte now and then does not
// extend it.
void http_connection::start() {
  stream_.expires_after(limits_.request_timeout);
  http::async_read_header(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code ec, std::size_t) { self->on_header(ec); });
}

void http_connection::on_header(beast::error_code ec) {
  if (has_ended_) return;
  if (ec) return on_read_error(ec);
  const auto length = parser_->content_length();
  if (length && *length > limits_.body_bytes)
    return refuse(413, "request body too long", connection_end::too_long);
  // A body without a declared length counts with its limit.
  const auto bytes = parser_->chunked() ? limits_.body_bytes : length.value_or(0);
  if (!server_.reserve(bytes)) return refuse(503, "too many requests", connection_end::overload);
  reserved_ = bytes;
  if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) return read_body();
  boost::asio::async_write(stream_, boost::asio::buffer(continue_response),
                           [self = shared_from_this()](beast::error_code write_ec, std::size_t) {
                             if (self->has_ended_) return;
                             if (write_ec) return self->on_read_error(write_ec);
                             self->read_body();
                           });
}

void http_connection::read_body() {
  http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code ec, std::size_t) { self->on_request(ec); });
}

void http_connection::on_request(beast::error_code ec) {
  if (has_ended_) return;
  if (ec) return on_read_error(ec);
  stream_.expires_never();
  auto& message = parser_->get();
  http_request request{std::string(message.method_string()), std::string(message.target()),
                       std::move(message.body())};
  if (!server_.handle(shared_from_this(), std::move(request)))
    refuse(503, "too many requests", connection_end::overload);
}

void http_connection::on_read_error(beast::error_code ec) {
  if (ec == beast::error::timeout) return close(connection_end::timed_out);
  if (ec == http::error::body_limit || ec == http::error::header_limit)
    return refuse(413, "request too long", connection_end::too_long);
  const bool is_transport =
      ec == http::error::end_of_stream || ec == http::error::partial_message ||
      ec.category() != http::make_error_code(http::error::bad_method).category();
  if (is_transport) return close(connection_end::lost);
  refuse(400, "malformed request", connection_end::malformed);
}

void http_connection::refuse(int status, const char* cause, connection_end end) {
  outcome_ = end;
  respond({status, "text/plain", cause});
}

void http_connection::respond(const http_response& value) {
  if (has_ended_) return;
  server_.on_responding(number_);
  response_.version(11);
  response_.result(static_cast<unsigned>(value.status));
  response_.set(http::field::content_type, value.content_type);
  response_.keep_alive(false);
  response_.body() = value.body;
  response_.prepare_payload();
  stream_.expires_after(limits_.response_timeout);
  http::async_write(
      stream_, response_,
      [self = shared_from_this()](beast::error_code ec, std::size_t) { self->on_response(ec); });
}

void http_connection::on_response(beast::error_code ec) {
  if (has_ended_) return;
  if (ec == beast::error::timeout) return close(connection_end::timed_out);
  if (ec) return close(connection_end::lost);
  beast::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  if (outcome_ == connection_end::served) return finish(outcome_);
  discard_rest();
}

void http_connection::discard_rest() {
  stream_.async_read_some(boost::asio::buffer(discarded_),
                          [self = shared_from_this()](beast::error_code ec, std::size_t) {
                            if (self->has_ended_) return;
                            if (ec) return self->finish(self->outcome_);
                            self->discard_rest();
                          });
}

void http_connection::close(connection_end end) {
  finish(end);
}

void http_connection::finish(connection_end end) {
  if (std::exchange(has_ended_, true)) return;
  stream_.close();
  server_.release(reserved_);
  server_.on_end(number_, end);
}

} // namespace zinnia
