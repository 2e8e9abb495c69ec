#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnia {

/// Forwards TCP connections to a host, and applies faults to them on request.
class tcp_proxy {
public:
  enum class direction { to_host, from_host };

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<tcp_proxy>> create(const endpoint& listen, const endpoint& host);

  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;
  ~tcp_proxy() = default;

  /// Delays all bytes by the given time from now on.
  void delay(milliseconds by);
  /// Limits the bytes per second from the host, over all connections together; 0 for no limit.
  void limit(std::size_t bytes_per_second);
  /// Stops forwarding in one direction. Forwarding in the other direction continues.
  void cut(direction direction_of_bytes);
  /// Stops forwarding on all open connections without closing them. New connections work.
  void stall();
  /// Resets all open connections.
  void reset();
  /// Removes delays, limits and cuts. Stalled connections stay stalled.
  void heal();

private:
  struct delayed_bytes {
    time_point due;
    std::string bytes;
  };
  struct side {
    Poco::Net::StreamSocket socket;
    std::deque<delayed_bytes> outgoing; ///< to be written to this socket
  };
  struct connection {
    side caller;
    side host;
    bool is_stalled = false;
    bool is_ended = false;
  };
  struct faults {
    milliseconds delay{0};
    std::size_t bytes_per_second = 0; ///< from the host; 0 for no limit
    std::array<bool, 2> is_cut{};     ///< by direction
  };

  tcp_proxy(const endpoint& listen, const endpoint& host);

  void run(const std::stop_token& end);
  void accept();
  bool has_space(const side& to) const;
  /// Returns the sockets to read from.
  Poco::Net::Socket::SocketList sources();
  void refill(time_point now);
  void forward(connection& target, const std::vector<Poco::Net::Socket>& readable, time_point now);
  void read(connection& target, side& from, side& to, direction direction_of_bytes,
            const std::vector<Poco::Net::Socket>& readable, time_point now);
  /// Writes what is due, at most `max_bytes`. Returns the number of bytes written.
  static std::size_t write(side& to, time_point now, std::size_t max_bytes);

  endpoint host_;
  Poco::Net::ServerSocket listener_;
  std::mutex mutex_;
  faults faults_;
  std::vector<std::unique_ptr<connection>> connections_;
  std::size_t permitted_ = 0; ///< bytes from the host that may be forwarded now
  time_point refilled_;
  std::jthread worker_;
};

} // namespace zinnia
