#include "packet_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace zinnia::flowd {
namespace {

// The buffer holds a burst while the process is not scheduled.
constexpr int socket_buffer_bytes = 4 << 20;
constexpr long receive_timeout_us = 50'000;

} // namespace

result<std::unique_ptr<packet_socket>> packet_socket::create(const endpoint& address) {
  std::unique_ptr<packet_socket> out(new packet_socket);
  try {
    out->socket_.bind(Poco::Net::SocketAddress(address.to_string()));
    out->socket_.setReceiveBufferSize(socket_buffer_bytes);
    out->socket_.setSendBufferSize(socket_buffer_bytes);
    out->socket_.setReceiveTimeout(Poco::Timespan(0, receive_timeout_us));
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, address.to_string(), ex.displayText());
  }
  return out;
}

std::size_t packet_socket::receive() {
  std::array<iovec, batch> parts{};
  std::array<mmsghdr, batch> messages{};
  for (std::size_t n = 0; n < batch; ++n) {
    parts[n] = {buffers_[n].data() + headroom, max_datagram_bytes};
    messages[n].msg_hdr.msg_iov = &parts[n];
    messages[n].msg_hdr.msg_iovlen = 1;
  }
  const int count =
      ::recvmmsg(socket_.impl()->sockfd(), messages.data(), batch, MSG_WAITFORONE, nullptr);
  if (count <= 0) return 0;
  for (std::size_t n = 0; n < static_cast<std::size_t>(count); ++n)
    lengths_[n] = messages[n].msg_len;
  return static_cast<std::size_t>(count);
}

void packet_socket::queue(const endpoint& to, std::span<const std::byte> bytes) {
  if (queued_ == batch) return;
  auto& receiver = receivers_[queued_];
  receiver = {};
  receiver.sin_family = AF_INET;
  receiver.sin_addr.s_addr = htonl(to.address);
  receiver.sin_port = htons(to.port);
  parts_[queued_] = {const_cast<std::byte*>(bytes.data()), bytes.size()};
  auto& message = messages_[queued_].msg_hdr;
  message = {};
  message.msg_name = &receiver;
  message.msg_namelen = sizeof receiver;
  message.msg_iov = &parts_[queued_];
  message.msg_iovlen = 1;
  ++queued_;
}

std::size_t packet_socket::flush() {
  std::size_t sent = 0;
  std::size_t refused = 0;
  while (sent < queued_) {
    const int count = ::sendmmsg(socket_.impl()->sockfd(), messages_.data() + sent,
                                 static_cast<unsigned>(queued_ - sent), 0);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    // The system refused the first datagram not yet sent. It is dropped, because its sender
    // retransmits it.
    ++refused;
    ++sent;
  }
  queued_ = 0;
  return refused;
}

} // namespace zinnia::flowd
