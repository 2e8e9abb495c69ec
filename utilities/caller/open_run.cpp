#include "open_run.h"

#include "common/stop_signal.h"

#include "caller.pb.h"

#include <iomanip>

namespace zinnia::utilities {
namespace {

constexpr std::size_t max_unanswered = 64; // opens, without a rate
constexpr int max_datagrams_per_round = 512;
constexpr milliseconds final_reply_timeout{5'000};
// Lost opens are not resent. Without a rate, the next open is sent after this time even if
// max_unanswered opens have no reply; otherwise lost opens would stall the run.
constexpr milliseconds stall_timeout{500};

} // namespace

result<std::unique_ptr<open_run>> open_run::create(options opts) {
  ZINNIA_TRY(socket, udp_socket::create({}));
  return std::unique_ptr<open_run>(new open_run(std::move(opts), std::move(socket)));
}

open_run::open_run(options opts, udp_socket socket)
    : options_(std::move(opts)), socket_(std::move(socket)), random_(options_.seed) {}

void open_run::run() {
  start_time_ = last_send_time_ = last_reply_time_ = monotonic_now();
  while (opened_ + refused_ < options_.count && !is_stop_requested()) {
    const auto now = monotonic_now();
    if (sent_ == options_.count && now > last_send_time_ + final_reply_timeout) return;
    send_due(now);
    socket_.poco().poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ);
    receive(monotonic_now());
  }
}

void open_run::send_due(time_point now) {
  const auto elapsed_seconds = std::chrono::duration<double>(now - start_time_).count();
  while (sent_ < options_.count) {
    if (options_.rate > 0 && static_cast<double>(sent_) > elapsed_seconds * options_.rate) return;
    if (options_.rate <= 0 && unanswered_.size() >= max_unanswered &&
        now < last_send_time_ + stall_timeout)
      return;
    wire::caller_packet packet;
    packet.mutable_open()->set_service(options_.service);
    packet.mutable_open()->set_nonce(random_());
    unanswered_[packet.open().nonce()] = now;
    socket_.send(options_.service_address, packet.SerializeAsString());
    last_send_time_ = now;
    ++sent_;
  }
}

void open_run::receive(time_point now) {
  wire::caller_packet packet;
  for (int remaining = max_datagrams_per_round; remaining > 0; --remaining) {
    const auto datagram = socket_.receive();
    if (!datagram) return;
    if (!packet.ParseFromArray(datagram->payload.data(),
                               static_cast<int>(datagram->payload.size())))
      continue;
    const auto nonce = packet.has_opened() ? packet.opened().nonce() : packet.refused().nonce();
    const auto found = unanswered_.find(nonce);
    if (found == unanswered_.end()) continue;
    ++(packet.has_opened() ? opened_ : refused_);
    latency_.add(now - found->second);
    unanswered_.erase(found);
    last_reply_time_ = now;
  }
}

void open_run::print(std::ostream& out) const {
  const auto seconds = std::chrono::duration<double>(last_reply_time_ - start_time_).count();
  out << "service=" << options_.service << " mode=open sent=" << sent_ << " opened=" << opened_
      << " refused=" << refused_ << " seconds=" << std::fixed << std::setprecision(2) << seconds
      << " opened_per_second=" << (seconds > 0 ? static_cast<double>(opened_) / seconds : 0)
      << '\n';
  latency_.print(out);
}

} // namespace zinnia::utilities
