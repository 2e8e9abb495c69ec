#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace zinnia {

/// A UDP socket for notices between entry hosts and control hosts. Calls do not block.
class notice_socket {
public:
  struct received {
    endpoint sender;
    wire::host_notice notice;
  };

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<notice_socket>> create(const endpoint& address) {
    std::unique_ptr<notice_socket> out(new notice_socket);
    try {
      out->socket_.bind(Poco::Net::SocketAddress(address.to_string()));
      out->socket_.setBlocking(false);
    } catch (const Poco::Exception& ex) {
      return failure(error_kind::io, address.to_string(), ex.displayText());
    }
    return out;
  }

  /// Sends a notice, which may get lost.
  void send(const endpoint& to, const wire::host_notice& notice) {
    const auto bytes = notice.SerializeAsString();
    try {
      socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                     Poco::Net::SocketAddress(to.to_string()));
    } catch (const Poco::Exception&) {
      ++unsent_;
    }
  }

  /// Returns the next notice; no value when none is waiting. Datagrams that are no notice are
  /// skipped.
  std::optional<received> receive() {
    for (std::size_t n = 0; n < max_skipped; ++n) {
      Poco::Net::SocketAddress sender;
      int size = 0;
      try {
        size = socket_.receiveFrom(buffer_.data(), static_cast<int>(buffer_.size()), sender);
      } catch (const Poco::Exception&) {
        return std::nullopt;
      }
      if (size < 0) return std::nullopt;
      received out;
      const auto from = endpoint::parse(sender.toString());
      if (from.has_value() && out.notice.ParseFromArray(buffer_.data(), size)) {
        out.sender = from.value();
        return out;
      }
      ++malformed_;
    }
    return std::nullopt;
  }

  std::uint64_t unsent() const { return unsent_; }
  std::uint64_t malformed() const { return malformed_; }

private:
  static constexpr std::size_t max_notice_bytes = 1'400; // of a load report
  static constexpr std::size_t max_skipped = 64;         // datagrams

  notice_socket() = default;

  Poco::Net::DatagramSocket socket_;
  std::array<char, max_notice_bytes> buffer_{};
  std::uint64_t unsent_ = 0;
  std::uint64_t malformed_ = 0;
};

} // namespace zinnia
