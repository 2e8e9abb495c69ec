#include "entry_daemon.h"

#include "configuration_copy.h"
#include "zinniarelay/observe/log_line.h"
#include "zinniarelay/token/key_file.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <glog/logging.h>
#include <poll.h>

namespace zinnia::entryd {
namespace {

constexpr int tick_interval_ms = 10;
constexpr std::size_t max_datagram_bytes = 65'536;
// Limits the time for which one socket delays the other sockets and the timers.
constexpr int max_datagrams_per_round = 256;
constexpr int socket_buffer_bytes = 8 << 20;
constexpr milliseconds housekeeping_interval{250};

Poco::Net::SocketAddress socket_address(const endpoint& value) {
  return Poco::Net::SocketAddress(value.to_string());
}

endpoint endpoint_of(const Poco::Net::SocketAddress& address) {
  const auto* raw = reinterpret_cast<const sockaddr_in*>(address.addr());
  return {ntohl(raw->sin_addr.s_addr), address.port()};
}

result<void> bind_datagram(Poco::Net::DatagramSocket& socket, const endpoint& address) {
  try {
    socket.bind(socket_address(address));
    socket.setBlocking(false);
    socket.setReceiveBufferSize(socket_buffer_bytes);
    socket.setSendBufferSize(socket_buffer_bytes);
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, address.to_string(), ex.displayText());
  }
  return success();
}

void send(Poco::Net::DatagramSocket& socket, const endpoint& to, const std::string& data) {
  try {
    socket.sendTo(data.data(), static_cast<int>(data.size()), socket_address(to));
  } catch (const Poco::Exception& ex) {
    // The protocol resends lost datagrams. A datagram refused by a full buffer counts as lost.
    VLOG(1) << "event=send_failed to=" << to.to_string() << " cause=" << ex.displayText();
  }
}

} // namespace

entry_daemon::entry_daemon(const entry_settings& settings, entry_host host)
    : settings_(settings), host_(std::move(host)), receive_buffer_(max_datagram_bytes) {}

result<std::unique_ptr<entry_daemon>> entry_daemon::create(const entry_settings& settings,
                                                           entry_host host) {
  std::unique_ptr<entry_daemon> daemon(new entry_daemon(settings, std::move(host)));
  ZINNIA_TRY(daemon->bind());
  return daemon;
}

result<void> entry_daemon::bind() {
  ZINNIA_TRY(bind_datagram(fabric_socket_, settings_.fabric_address()));
  ZINNIA_TRY(bind_datagram(peer_socket_, settings_.peer_address()));
  connections_ = std::make_unique<upstream_connections>(events_);
  control_ = std::make_unique<control_client>(events_);
  const auto read_metrics = [this] {
    const std::scoped_lock lock(metrics_mutex_);
    return metrics_;
  };
  ZINNIA_TRY(server, registration_server::create(settings_.registration_address().to_string(),
                                                 events_, read_metrics));
  registration_ = std::move(server);
  return success();
}

void entry_daemon::run(const std::atomic<bool>& drain, const std::atomic<bool>& stop_now) {
  auto next_tick = monotonic_now();
  auto next_housekeeping = next_tick;
  bool is_draining = false;
  while (!stop_now && !host_.is_drained()) {
    if (drain && !is_draining) {
      is_draining = true;
      handle(drain_requested{});
    }
    wait();
    receive_from(fabric_socket_, true);
    receive_from(peer_socket_, false);
    for (const auto& it : events_.take())
      handle(it);
    const auto now = monotonic_now();
    if (now >= next_tick) {
      handle(timer_tick{});
      next_tick = now + milliseconds(tick_interval_ms);
    }
    if (now >= next_housekeeping) {
      publish_metrics();
      reload_keys();
      next_housekeeping = now + housekeeping_interval;
    }
  }
}

// Uses poll() directly, because another thread cannot wake the PollSet of this Poco version.
void entry_daemon::wait() const {
  std::array<pollfd, 3> watched{{{fabric_socket_.impl()->sockfd(), POLLIN, 0},
                                 {peer_socket_.impl()->sockfd(), POLLIN, 0},
                                 {events_.descriptor(), POLLIN, 0}}};
  ::poll(watched.data(), watched.size(), tick_interval_ms);
}

void entry_daemon::receive_from(Poco::Net::DatagramSocket& socket, bool is_fabric) {
  for (int n = 0; n < max_datagrams_per_round; ++n) {
    Poco::Net::SocketAddress from;
    int size = 0;
    try {
      size = socket.receiveFrom(receive_buffer_.data(), static_cast<int>(receive_buffer_.size()),
                                from);
    } catch (const Poco::Exception&) {
      // The socket reports here that an earlier datagram was refused because its receiver is down.
      return;
    }
    if (size < 0) return;
    std::string data(receive_buffer_.data(), static_cast<std::size_t>(size));
    if (is_fabric)
      handle(fabric_datagram{endpoint_of(from), std::move(data)});
    else
      handle(peer_datagram{endpoint_of(from), std::move(data)});
  }
}

void entry_daemon::handle(const entry_event& event) {
  for (const auto& it : host_.step(monotonic_now(), event))
    std::visit([this](const auto& effect) { execute(effect); }, it);
}

void entry_daemon::publish_metrics() {
  auto metrics = host_.metrics(monotonic_now());
  const std::scoped_lock lock(metrics_mutex_);
  metrics_ = std::move(metrics);
}

void entry_daemon::reload_keys() {
  std::error_code ec;
  const auto time = std::filesystem::last_write_time(settings_.keys_file(), ec);
  if (ec || time == keys_modified_at_) return;
  keys_modified_at_ = time;
  const auto file = key_file::load(settings_.keys_file());
  if (!file) {
    // The loaded keys stay in force until the file is valid again.
    for (const auto& it : file.error())
      log_error("keys_not_loaded").with(it);
    return;
  }
  auto ring = file.value().ring();
  if (!ring) {
    log_error("keys_not_loaded").with(ring.error());
    return;
  }
  handle(keys_loaded{std::move(ring).value()});
}

void entry_daemon::execute(const save_configuration& effect) {
  const auto saved = save_configuration_copy(settings_, effect.configuration);
  if (!saved) log_warning("configuration_not_saved").with(saved.error());
}

void entry_daemon::execute(const report_drain& effect) {
  log_info("drain")
      .with("state", effect.state)
      .with("pending_requests", effect.pending_requests)
      .with("unacknowledged_answers", effect.unacknowledged_answers)
      .with("token_validity_ms", effect.token_validity_ms);
}

void entry_daemon::execute(const send_to_fabric& effect) {
  send(fabric_socket_, effect.to, effect.data);
}

void entry_daemon::execute(const send_to_peer& effect) {
  send(peer_socket_, effect.to, effect.data);
}

} // namespace zinnia::entryd
