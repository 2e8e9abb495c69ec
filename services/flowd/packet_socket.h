#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"

#include <Poco/Net/DatagramSocket.h>
#include <array>
#include <cstddef>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace zinnia::flowd {

/// A UDP socket that receives and sends several datagrams with one system call.
class packet_socket {
public:
  static constexpr std::size_t batch = 32; ///< datagrams per system call
  static constexpr std::size_t max_datagram_bytes = 2'048;

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<packet_socket>> create(const endpoint& address);

  packet_socket(const packet_socket&) = delete;
  packet_socket& operator=(const packet_socket&) = delete;
  ~packet_socket() = default;

  /// Waits for datagrams and returns their number, or 0 after a timeout.
  std::size_t receive();
  /// Returns a datagram of the last receive().
  std::span<std::byte> received(std::size_t n) {
    return std::span(buffers_[n]).subspan(headroom, lengths_[n]);
  }
  /// Returns a datagram of the last receive(), preceded by `headroom` writable bytes.
  std::span<std::byte> received_with_headroom(std::size_t n) {
    return std::span(buffers_[n]).first(headroom + lengths_[n]);
  }

  /// Queues a datagram. The bytes must stay valid until flush(). Drops the datagram when `batch`
  /// datagrams are queued.
  void queue(const endpoint& to, std::span<const std::byte> bytes);
  /// Sends the queued datagrams. Returns the number of datagrams that the system refused.
  std::size_t flush();

  static constexpr std::size_t headroom = 8; ///< bytes

private:
  packet_socket() = default;

  Poco::Net::DatagramSocket socket_;
  std::array<std::array<std::byte, headroom + max_datagram_bytes>, batch> buffers_{};
  std::array<std::size_t, batch> lengths_{};
  std::array<sockaddr_in, batch> receivers_{};
  std::array<iovec, batch> parts_{};
  std::array<mmsghdr, batch> messages_{};
  std::size_t queued_ = 0;
};

} // namespace zinnia::flowd
