#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <optional>
#include <string_view>

namespace zinnia::utilities {

/// A bound, non-blocking UDP socket.
class udp_socket {
public:
  struct datagram {
    endpoint sender;
    std::string_view payload; ///< valid until the next call of receive()
  };

  /// Binds to the endpoint; port 0 lets the system choose a port. Fails with error_kind::io when
  /// the endpoint cannot be bound.
  static result<udp_socket> create(const endpoint& local) {
    try {
      udp_socket out;
      out.socket_.bind(to_poco(local), false);
      out.socket_.setReceiveBufferSize(socket_buffer_size);
      out.socket_.setSendBufferSize(socket_buffer_size);
      out.socket_.setBlocking(false);
      return out;
    } catch (const Poco::Exception& ex) {
      return failure(error_kind::io, local.to_string(), ex.displayText());
    }
  }

  /// Returns false when the system didn't accept the datagram, which is then lost.
  bool send(const endpoint& receiver, std::string_view payload) {
    try {
      return socket_.sendTo(payload.data(), static_cast<int>(payload.size()), to_poco(receiver)) ==
             static_cast<int>(payload.size());
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  /// Returns no value when no datagram is waiting.
  std::optional<datagram> receive() {
    try {
      Poco::Net::SocketAddress sender;
      const int size =
          socket_.receiveFrom(buffer_.data(), static_cast<int>(buffer_.size()), sender);
      if (size < 0) return std::nullopt;
      return datagram{from_poco(sender),
                      std::string_view(buffer_.data(), static_cast<std::size_t>(size))};
    } catch (const Poco::Exception&) {
      return std::nullopt;
    }
  }

  const Poco::Net::DatagramSocket& poco() const { return socket_; }
  endpoint local() const { return from_poco(socket_.address()); }

private:
  // Holds bursts that arrive faster than one thread reads them. The system may grant less.
  static constexpr int socket_buffer_size = 4 * 1024 * 1024; // bytes
  static constexpr std::size_t max_datagram_size = 65'536;   // bytes

  udp_socket() = default;

  static Poco::Net::SocketAddress to_poco(const endpoint& address) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(address.address);
    raw.sin_port = htons(address.port);
    return {reinterpret_cast<const sockaddr*>(&raw), sizeof raw};
  }

  static endpoint from_poco(const Poco::Net::SocketAddress& address) {
    const auto* raw = reinterpret_cast<const sockaddr_in*>(address.addr());
    return {ntohl(raw->sin_addr.s_addr), address.port()};
  }

  Poco::Net::DatagramSocket socket_;
  std::array<char, max_datagram_size> buffer_{};
};

} // namespace zinnia::utilities
