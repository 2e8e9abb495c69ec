#include "udp_proxy.h"

#include <random>

namespace zinnia::soak {
namespace {

constexpr std::chrono::milliseconds poll_interval{1};

} // namespace

result<std::unique_ptr<udp_proxy>> udp_proxy::create(const endpoint& listen, const endpoint& host,
                                                     random_engine engine) {
  ZINNIA_TRY(socket, utilities::udp_socket::create(listen));
  return std::unique_ptr<udp_proxy>(new udp_proxy(std::move(socket), host, engine));
}

udp_proxy::udp_proxy(utilities::udp_socket socket, const endpoint& host, random_engine engine)
    : socket_(std::move(socket)), host_(host), engine_(engine),
      worker_([this](const std::stop_token& end) { run(end); }) {}

void udp_proxy::run(const std::stop_token& end) {
  std::uniform_real_distribution<double> distribution(0, 1);
  while (!end.stop_requested()) {
    while (const auto received = socket_.receive())
      if (distribution(engine_) >= lost_share_) socket_.send(host_, received->payload);
    std::this_thread::sleep_for(poll_interval);
  }
}

} // namespace zinnia::soak
