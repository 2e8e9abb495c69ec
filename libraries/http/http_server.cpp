#include "zinniarelay/http/http_server.h"

#include "http/http_connection.h"
#include "zinniarelay/http/connection_limiter.h"
#include "zinniarelay/observe/log_line.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

namespace zinnia {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Pause after a failed accept, for instance without free descriptors.
constexpr milliseconds accept_retry_interval{20};

class beast_http_server final : public http_server, public http_connection::owner {
public:
  beast_http_server(handler handle, const http_server_limits& limits, metric_registry& metrics,
                    const std::string& name)
      : limits_(limits), handle_(std::move(handle)), acceptor_(io_), accept_timer_(io_),
        stop_timer_(io_), connection_limiter_(limits.connections) {
    for (std::size_t n = 0; n < connection_end_count; ++n) {
      const auto labels = "server=" + name + ",end=" + name_of(static_cast<connection_end>(n));
      ends_.at(n) = &metrics.counter_of("http_connections", labels);
    }
    if (limits_.handler_threads > 0)
      handlers_ = std::make_unique<asio::thread_pool>(limits_.handler_threads);
  }
  beast_http_server(const beast_http_server&) = delete;
  beast_http_server& operator=(const beast_http_server&) = delete;

  ~beast_http_server() override {
    if (!worker_.joinable()) return;
    asio::post(io_, [this] { stop(); });
    worker_.join();
    // Handlers still running have no connection to respond to.
    if (handlers_) handlers_->join();
  }

  endpoint address() const override { return address_; }

  result<void> listen(const endpoint& address) {
    try {
      const tcp::endpoint local(asio::ip::address_v4(address.address), address.port);
      acceptor_.open(local.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(local);
      // A full queue of new connections drops the opening packet, which the client repeats only
      // after a second.
      acceptor_.listen(asio::socket_base::max_listen_connections);
      acceptor_.non_blocking(true);
      address_ = {address.address, acceptor_.local_endpoint().port()};
    } catch (const boost::system::system_error& ex) {
      return failure(error_kind::io, address.to_string(), ex.what());
    }
    accept_next();
    worker_ = std::thread([this] { io_.run(); });
    return success();
  }

private:
  void accept_next() {
    acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
      // A connection may have been accepted just before the stop.
      if (!ec) add(std::move(socket));
      if (is_stopping_) return wait_for_connections();
      if (ec) return retry_accept(ec);
      accept_next();
    });
  }

  void retry_accept(boost::system::error_code ec) {
    if (ec == asio::error::no_descriptors) close_slowest();
    accept_timer_.expires_after(accept_retry_interval);
    accept_timer_.async_wait([this](boost::system::error_code wait_ec) {
      if (!wait_ec && !is_stopping_) accept_next();
    });
  }

  void add(tcp::socket socket) {
    const auto number = connection_limiter_.add();
    auto connection = std::make_shared<http_connection>(std::move(socket), number, limits_, *this);
    connections_[number] = connection;
    if (const auto excess = connection_limiter_.excess()) close(*excess);
    connection->start();
  }

  void close_slowest() {
    if (const auto slowest = connection_limiter_.slowest()) close(*slowest);
  }

  void close(std::uint64_t number) {
    const auto connection = connections_.at(number);
    connection->close(connection_end::displaced);
  }

  // Connections that wait in the queue of the kernel are accepted too, because their clients may
  // have sent a request already, which closing the socket would leave without an answer.
  void stop() {
    is_stopping_ = true;
    boost::system::error_code ec;
    while (true) {
      tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      if (ec) break;
      add(std::move(socket));
    }
    acceptor_.close(ec);
    accept_timer_.cancel();
    wait_for_connections();
  }

  void wait_for_connections() {
    if (connections_.empty()) return;
    stop_timer_.expires_after(limits_.stop_timeout);
    stop_timer_.async_wait([this](boost::system::error_code wait_ec) {
      if (!wait_ec) close_all();
    });
  }

  void close_all() {
    const auto open = connections_;
    for (const auto& [number, connection] : open)
      connection->close(connection_end::stopped);
  }

  bool reserve(std::size_t bytes) override {
    if (reserved_ + bytes > limits_.buffered_bytes) return false;
    reserved_ += bytes;
    return true;
  }

  void release(std::size_t bytes) override { reserved_ -= bytes; }

  bool handle(std::shared_ptr<http_connection> connection, http_request request) override {
    if (!handlers_) {
      connection->respond(answer(request));
      return true;
    }
    const auto max_handled = limits_.handler_threads + limits_.waiting_requests;
    if (handled_ >= max_handled) return false;
    ++handled_;
    connection_limiter_.set_handling(connection->number());
    asio::post(*handlers_, [this, connection = std::move(connection),
                            request = std::move(request)]() mutable {
      auto response = answer(request);
      asio::post(io_, [this, connection = std::move(connection), response = std::move(response)] {
        --handled_;
        connection->respond(response);
      });
    });
    return true;
  }

  http_response answer(const http_request& request) const {
    try {
      return handle_(request);
    } catch (const std::exception& ex) {
      log_warning("http_request_failed").with("path", request.path).with("cause", ex.what());
      return {500, "text/plain", "internal error"};
    }
  }

  void on_responding(std::uint64_t connection) override {
    connection_limiter_.set_responding(connection);
  }

  void on_end(std::uint64_t connection, connection_end end) override {
    ends_.at(static_cast<std::size_t>(end))->add();
    connection_limiter_.remove(connection);
    connections_.erase(connection);
    if (is_stopping_ && connections_.empty()) stop_timer_.cancel();
  }

  http_server_limits limits_;
  handler handle_;
  endpoint address_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer stop_timer_;
  connection_limiter connection_limiter_;
  std::unordered_map<std::uint64_t, std::shared_ptr<http_connection>> connections_;
  std::array<counter*, connection_end_count> ends_{};
  std::size_t reserved_ = 0; ///< bytes of the bodies that are being received
  std::size_t handled_ = 0;  ///< requests that run or wait for a thread
  bool is_stopping_ = false;
  std::unique_ptr<asio::thread_pool> handlers_;
  std::thread worker_;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::create(const endpoint& address, handler handle,
                                                         const http_server_limits& limits,
                                                         metric_registry& metrics,
                                                         const std::string& name) {
  auto out = std::make_unique<beast_http_server>(std::move(handle), limits, metrics, name);
  ZINNIA_TRY(out->listen(address));
  return std::unique_ptr<http_server>(std::move(out));
}

} // namespace zinnia
