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

/// A bound UDP socket that never blocks.
class udp_socket {
public:
  struct datagram {
    endpoint sender;
    std::string_view payload; ///< valid until the next call of receive()
  };

  /// Binds to the endpoint; port 0 lets the system choose a port.
  static result<udp_socket> create(const endpoint& local) {
    try {
      udp_socket made;
      made.socket_.bind(to_poco(local), false);
      made.socket_.setReceiveBufferSize(buffer_size);
      made.socket_.setSendBufferSize(buffer_size);
      made.socket_.setBlocking(false);
      return made;
    } catch (const Poco::Exception& ec) {
      return failure(error_kind::io, local.to_string(), ec.displayText());
    }
  }

  /// Returns false when the system did not take the datagram, which then counts as lost.
  bool send(const endpoint& receiver, std::string_view payload) {
    try {
      return socket_.sendTo(payload.data(), static_cast<int>(payload.size()), to_poco(receiver)) ==
             static_cast<int>(payload.size());
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  /// Returns nothing when no datagram is waiting.
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
  // Bursts arrive faster than one thread drains them; the system may grant less.
  static constexpr int buffer_size = 4 * 1024 * 1024; // bytes
  static constexpr std::size_t largest_datagram = 65'536;

  udp_socket() = default;

  static Poco::Net::SocketAddress to_poco(const endpoint& it) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(it.address);
    raw.sin_port = htons(it.port);
    return {reinterpret_cast<const sockaddr*>(&raw), sizeof raw};
  }

  static endpoint from_poco(const Poco::Net::SocketAddress& it) {
    const auto* raw = reinterpret_cast<const sockaddr_in*>(it.addr());
    return {ntohl(raw->sin_addr.s_addr), it.port()};
  }

  Poco::Net::DatagramSocket socket_;
  std::array<char, largest_datagram> buffer_{};
};

} // namespace zinnia::utilities
