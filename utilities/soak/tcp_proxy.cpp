#include "tcp_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>

namespace zinnia::soak {
namespace {

constexpr milliseconds poll_interval{2};
constexpr milliseconds connect_timeout{300};
constexpr int part_bytes = 64 * 1024;
constexpr std::size_t max_queued_parts = 64; // then reading pauses, as on a full link

Poco::Timespan timespan_of(milliseconds value) {
  return {std::chrono::microseconds(value).count()};
}

} // namespace

result<std::unique_ptr<tcp_proxy>> tcp_proxy::create(const endpoint& listen, const endpoint& host) {
  try {
    return std::unique_ptr<tcp_proxy>(new tcp_proxy(listen, host));
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, listen.to_string(), ex.displayText());
  }
}

tcp_proxy::tcp_proxy(const endpoint& listen, const endpoint& host) : host_(host) {
  listener_.bind(Poco::Net::SocketAddress(listen.to_string()), true);
  listener_.listen();
  worker_ = std::jthread([this](const std::stop_token& end) { run(end); });
}

void tcp_proxy::delay(milliseconds by) {
  const std::lock_guard lock(mutex_);
  faults_.delay = by;
}

void tcp_proxy::cut(direction direction_of_bytes) {
  const std::lock_guard lock(mutex_);
  faults_.is_cut.at(static_cast<std::size_t>(direction_of_bytes)) = true;
}

void tcp_proxy::stall() {
  const std::lock_guard lock(mutex_);
  for (auto& it : connections_)
    it->is_stalled = true;
}

void tcp_proxy::reset() {
  const std::lock_guard lock(mutex_);
  for (auto& it : connections_) {
    // With a linger time of 0, closing the socket sends a reset.
    for (auto* socket : {&it->caller.socket, &it->host.socket})
      socket->setLinger(true, 0);
    it->is_ended = true;
  }
}

void tcp_proxy::heal() {
  const std::lock_guard lock(mutex_);
  faults_ = {};
}

void tcp_proxy::run(const std::stop_token& end) {
  while (!end.stop_requested()) {
    Poco::Net::Socket::SocketList readable{listener_};
    {
      const std::lock_guard lock(mutex_);
      for (const auto& it : connections_) {
        readable.push_back(it->caller.socket);
        readable.push_back(it->host.socket);
      }
    }
    Poco::Net::Socket::SocketList none;
    Poco::Net::Socket::SocketList failed;
    Poco::Net::Socket::select(readable, none, failed, timespan_of(poll_interval));
    if (std::find(readable.begin(), readable.end(), listener_) != readable.end()) accept();
    const std::lock_guard lock(mutex_);
    const auto now = monotonic_now();
    for (auto& it : connections_)
      forward(*it, readable, now);
    std::erase_if(connections_, [](const auto& it) { return it->is_ended; });
  }
}

// Resets the connection of the caller if the host does not listen.
void tcp_proxy::accept() {
  auto accepted = std::make_unique<connection>();
  accepted->caller.socket = listener_.acceptConnection();
  try {
    accepted->host.socket.connect(Poco::Net::SocketAddress(host_.to_string()),
                                  timespan_of(connect_timeout));
    for (auto* socket : {&accepted->caller.socket, &accepted->host.socket}) {
      socket->setNoDelay(true);
      socket->setBlocking(false);
    }
  } catch (const Poco::Exception&) {
    accepted->caller.socket.setLinger(true, 0);
    return;
  }
  const std::lock_guard lock(mutex_);
  connections_.push_back(std::move(accepted));
}

void tcp_proxy::forward(connection& target, const std::vector<Poco::Net::Socket>& readable,
                        time_point now) {
  if (target.is_stalled || target.is_ended) return;
  try {
    read(target, target.caller, target.host, direction::to_host, readable, now);
    read(target, target.host, target.caller, direction::from_host, readable, now);
    write(target, target.host, now);
    write(target, target.caller, now);
  } catch (const Poco::Exception&) {
    target.is_ended = true; // a failure of one side ends both sides
  }
}

void tcp_proxy::read(connection& target, side& from, side& to, direction direction_of_bytes,
                     const std::vector<Poco::Net::Socket>& readable, time_point now) {
  if (faults_.is_cut.at(static_cast<std::size_t>(direction_of_bytes))) return;
  if (to.outgoing.size() >= max_queued_parts) return;
  if (std::find(readable.begin(), readable.end(), from.socket) == readable.end()) return;
  std::string bytes(part_bytes, '\0');
  const int n = from.socket.receiveBytes(bytes.data(), part_bytes);
  if (n == 0) target.is_ended = true;
  if (n <= 0) return;
  bytes.resize(static_cast<std::size_t>(n));
  to.outgoing.push_back({now + faults_.delay, std::move(bytes)});
}

void tcp_proxy::write(connection& target, side& to, time_point now) {
  while (!target.is_ended && !to.outgoing.empty() && to.outgoing.front().due <= now) {
    auto& part = to.outgoing.front().bytes;
    const int n = to.socket.sendBytes(part.data(), static_cast<int>(part.size()));
    if (n <= 0) return;
    part.erase(0, static_cast<std::size_t>(n));
    if (part.empty()) to.outgoing.pop_front();
  }
}

} // namespace zinnia::soak
