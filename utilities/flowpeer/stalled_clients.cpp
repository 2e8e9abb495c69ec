#include "stalled_clients.h"

#include "common/http_call.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <vector>

namespace zinnia::flowpeer {
namespace {

constexpr std::string_view half_request = "GET / HTTP/1.1\r\nHo";
constexpr long connect_timeout_s = 10;

result<Poco::Net::StreamSocket> open_stalled(const endpoint& server) {
  try {
    Poco::Net::StreamSocket out;
    out.connect(Poco::Net::SocketAddress(server.to_string()), Poco::Timespan(connect_timeout_s, 0));
    out.sendBytes(half_request.data(), static_cast<int>(half_request.size()));
    return out;
  } catch (const Poco::Exception& ex) {
    return failure(error_kind::io, server.to_string(), ex.displayText());
  }
}

} // namespace

result<stalled_clients_summary>
probe_beside_stalled_clients(const stalled_clients_options& options) {
  std::vector<Poco::Net::StreamSocket> stalled;
  for (int n = 0; n < options.connections; ++n) {
    ZINNIA_TRY(socket, open_stalled(options.server));
    stalled.push_back(std::move(socket));
  }
  stalled_clients_summary out;
  for (int n = 0; n < options.probes; ++n) {
    const auto started = monotonic_now();
    const auto response =
        utilities::http_call(options.server, "GET", options.path, "", options.timeout);
    const auto duration = std::chrono::duration_cast<milliseconds>(monotonic_now() - started);
    out.slowest = std::max(out.slowest, duration);
    if (response.has_value()) ++out.answered;
  }
  return out;
}

} // namespace zinnia::flowpeer
