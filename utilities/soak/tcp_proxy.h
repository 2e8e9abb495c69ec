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

namespace zinnia::soak {

/// Carries TCP connections to a host, and harms them on request.
class tcp_proxy {
public:
  enum class direction { to_host, from_host };

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<tcp_proxy>> create(const endpoint& listen, const endpoint& host);

  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;
  ~tcp_proxy() = default;

  /// Bytes arrive this much later from now on.
  void delay(milliseconds by);
  /// Bytes of one direction are held up, those of the other one flow.
  void cut(direction which);
  /// Connections that are open now carry nothing any more; new ones work.
  void silence();
  /// Connections that are open now end with a reset.
  void reset();
  /// Ends delays and cuts. Silent connections stay silent.
  void heal();

private:
  struct held_bytes {
    time_point due;
    std::string bytes;
  };
  struct side {
    Poco::Net::StreamSocket socket;
    std::deque<held_bytes> outgoing; ///< to be written to this socket
  };
  struct connection {
    side caller;
    side host;
    bool is_silent = false;
    bool is_ended = false;
  };
  struct faults {
    milliseconds delay{0};
    std::array<bool, 2> is_cut{}; ///< by direction
  };

  tcp_proxy(const endpoint& listen, const endpoint& host);

  void run(const std::stop_token& end);
  void accept();
  void carry(connection& it, const std::vector<Poco::Net::Socket>& readable, time_point now);
  void read(connection& it, side& from, side& to, direction which,
            const std::vector<Poco::Net::Socket>& readable, time_point now);
  static void write(connection& it, side& to, time_point now);

  endpoint host_;
  Poco::Net::ServerSocket listener_;
  std::mutex mutex_;
  faults faults_;
  std::vector<std::unique_ptr<connection>> connections_;
  std::jthread worker_;
};

} // namespace zinnia::soak
