#include "common/tcp_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>

namespace zinnia {
namespace {

constexpr milliseconds poll_interval{2};
constexpr milliseconds connect_timeout{300};
constexpr int part_bytes = 64 * 1024;
constexpr std::size_t max_queued_parts = 64; // then reading pauses, as on a full link
// Connections share a limited link in turns of one packet.
constexpr std::size_t turn_bytes = 1'500;
constexpr milliseconds max_burst{20};

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

void tcp_proxy::limit(std::size_t bytes_per_second) {
  const std::lock_guard lock(mutex_);
  faults_.bytes_per_second = bytes_per_second;
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
    auto readable = sources();
    Poco::Net::Socket::SocketList none;
    Poco::Net::Socket::SocketList failed;
    Poco::Net::Socket::select(readable, none, failed, timespan_of(poll_interval));
    if (std::find(readable.begin(), readable.end(), listener_) != readable.end()) accept();
    const std::lock_guard lock(mutex_);
    const auto now = monotonic_now();
    refill(now);
    for (auto& it : connections_)
      forward(*it, readable, now);
    std::erase_if(connections_, [](const auto& it) { return it->is_ended; });
    // The next turn begins with another connection.
    if (!connections_.empty())
      std::rotate(connections_.begin(), connections_.begin() + 1, connections_.end());
  }
}

// A connection with a full queue is not read, so that its sender has to wait. A limited link holds
// one part of each connection.
bool tcp_proxy::has_space(const side& to) const {
  return to.outgoing.size() < (faults_.bytes_per_second > 0 ? 1 : max_queued_parts);
}

Poco::Net::Socket::SocketList tcp_proxy::sources() {
  Poco::Net::Socket::SocketList out{listener_};
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_) {
    if (has_space(it->host)) out.push_back(it->caller.socket);
    if (has_space(it->caller)) out.push_back(it->host.socket);
  }
  return out;
}

void tcp_proxy::refill(time_point now) {
  const std::chrono::duration<double> elapsed = now - std::exchange(refilled_, now);
  const auto rate = static_cast<double>(faults_.bytes_per_second);
  const std::chrono::duration<double> burst = max_burst;
  const auto added = static_cast<std::size_t>(std::min(elapsed, burst).count() * rate);
  permitted_ = std::min(permitted_ + added, static_cast<std::size_t>(burst.count() * rate));
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
    if (target.is_ended) return;
    write(target.host, now, SIZE_MAX);
    if (faults_.bytes_per_second == 0)
      write(target.caller, now, SIZE_MAX);
    else
      permitted_ -= write(target.caller, now, std::min(permitted_, turn_bytes));
  } catch (const Poco::Exception&) {
    target.is_ended = true; // a failure of one side ends both sides
  }
}

void tcp_proxy::read(connection& target, side& from, side& to, direction direction_of_bytes,
                     const std::vector<Poco::Net::Socket>& readable, time_point now) {
  if (faults_.is_cut.at(static_cast<std::size_t>(direction_of_bytes))) return;
  if (!has_space(to)) return;
  if (std::find(readable.begin(), readable.end(), from.socket) == readable.end()) return;
  std::string bytes(part_bytes, '\0');
  const int n = from.socket.receiveBytes(bytes.data(), part_bytes);
  if (n == 0) target.is_ended = true;
  if (n <= 0) return;
  bytes.resize(static_cast<std::size_t>(n));
  to.outgoing.push_back({now + faults_.delay, std::move(bytes)});
}

std::size_t tcp_proxy::write(side& to, time_point now, std::size_t max_bytes) {
  std::size_t out = 0;
  while (out < max_bytes && !to.outgoing.empty() && to.outgoing.front().due <= now) {
    auto& part = to.outgoing.front().bytes;
    const auto size = std::min(part.size(), max_bytes - out);
    const int n = to.socket.sendBytes(part.data(), static_cast<int>(size));
    if (n <= 0) break;
    out += static_cast<std::size_t>(n);
    part.erase(0, static_cast<std::size_t>(n));
    if (part.empty()) to.outgoing.pop_front();
  }
  return out;
}

} // namespace zinnia
