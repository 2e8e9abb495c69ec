#include "tcp_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>

namespace zinnia::soak {
namespace {

constexpr milliseconds turn{2};
constexpr milliseconds connect_timeout{300};
constexpr int part_bytes = 64 * 1024;
constexpr std::size_t most_held_parts = 64; // then the reader waits, as on a full link

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

void tcp_proxy::cut(direction which) {
  const std::lock_guard lock(mutex_);
  faults_.is_cut.at(static_cast<std::size_t>(which)) = true;
}

void tcp_proxy::silence() {
  const std::lock_guard lock(mutex_);
  for (auto& it : connections_)
    it->is_silent = true;
}

void tcp_proxy::reset() {
  const std::lock_guard lock(mutex_);
  for (auto& it : connections_) {
    // Without lingering a close is a reset.
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
    Poco::Net::Socket::select(readable, none, failed, timespan_of(turn));
    if (std::find(readable.begin(), readable.end(), listener_) != readable.end()) accept();
    const std::lock_guard lock(mutex_);
    const auto now = monotonic_now();
    for (auto& it : connections_)
      carry(*it, readable, now);
    std::erase_if(connections_, [](const auto& it) { return it->is_ended; });
  }
}

// A host that does not listen is shown to the caller as a reset.
void tcp_proxy::accept() {
  auto made = std::make_unique<connection>();
  made->caller.socket = listener_.acceptConnection();
  try {
    made->host.socket.connect(Poco::Net::SocketAddress(host_.to_string()),
                              timespan_of(connect_timeout));
    for (auto* socket : {&made->caller.socket, &made->host.socket}) {
      socket->setNoDelay(true);
      socket->setBlocking(false);
    }
  } catch (const Poco::Exception&) {
    made->caller.socket.setLinger(true, 0);
    return;
  }
  const std::lock_guard lock(mutex_);
  connections_.push_back(std::move(made));
}

void tcp_proxy::carry(connection& it, const std::vector<Poco::Net::Socket>& readable,
                      time_point now) {
  if (it.is_silent || it.is_ended) return;
  try {
    read(it, it.caller, it.host, direction::to_host, readable, now);
    read(it, it.host, it.caller, direction::from_host, readable, now);
    write(it, it.host, now);
    write(it, it.caller, now);
  } catch (const Poco::Exception&) {
    it.is_ended = true; // both ends see the failure of one
  }
}

void tcp_proxy::read(connection& it, side& from, side& to, direction which,
                     const std::vector<Poco::Net::Socket>& readable, time_point now) {
  if (faults_.is_cut.at(static_cast<std::size_t>(which))) return;
  if (to.outgoing.size() >= most_held_parts) return;
  if (std::find(readable.begin(), readable.end(), from.socket) == readable.end()) return;
  std::string bytes(part_bytes, '\0');
  const int n = from.socket.receiveBytes(bytes.data(), part_bytes);
  if (n == 0) it.is_ended = true;
  if (n <= 0) return;
  bytes.resize(static_cast<std::size_t>(n));
  to.outgoing.push_back({now + faults_.delay, std::move(bytes)});
}

void tcp_proxy::write(connection& it, side& to, time_point now) {
  while (!it.is_ended && !to.outgoing.empty() && to.outgoing.front().due <= now) {
    auto& part = to.outgoing.front().bytes;
    const int n = to.socket.sendBytes(part.data(), static_cast<int>(part.size()));
    if (n <= 0) return;
    part.erase(0, static_cast<std::size_t>(n));
    if (part.empty()) to.outgoing.pop_front();
  }
}

} // namespace zinnia::soak
