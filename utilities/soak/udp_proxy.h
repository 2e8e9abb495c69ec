#pragma once

#include "common/udp_socket.h"
#include "zinniarelay/core/random.h"

#include <atomic>
#include <memory>
#include <thread>

namespace zinnia::soak {

/// Forwards datagrams to a host in one direction, and drops a share of them on request.
class udp_proxy {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<udp_proxy>> create(const endpoint& listen, const endpoint& host,
                                                   random_engine engine);

  /// Drops a share of the datagrams, from 0 (none) to 1 (all).
  void lose(double share) { lost_share_ = share; }

private:
  udp_proxy(utilities::udp_socket socket, const endpoint& host, random_engine engine);

  void run(const std::stop_token& end);

  utilities::udp_socket socket_;
  endpoint host_;
  random_engine engine_;
  std::atomic<double> lost_share_{0};
  std::jthread worker_;
};

} // namespace zinnia::soak
