#include "zinniarelay/core/endpoint.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace zinnia {

result<endpoint> endpoint::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  Poco::Net::IPAddress ip;
  if (colon != std::string_view::npos) {
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool is_port =
        ec == std::errc() && end == digits.data() + digits.size() && port > 0 && port <= 65535;
    if (is_port && Poco::Net::IPAddress::tryParse(std::string(text.substr(0, colon)), ip) &&
        ip.family() == Poco::Net::IPAddress::IPv4) {
      std::uint32_t network_order = 0;
      std::memcpy(&network_order, ip.addr(), sizeof network_order);
      return endpoint{ntohl(network_order), static_cast<std::uint16_t>(port)};
    }
  }
  return failure(error_kind::malformed, std::string(text),
                 "not an endpoint; expected an IPv4 address and a port as in 10.0.0.1:7000");
}

std::string endpoint::to_string() const {
  const std::uint32_t network_order = htonl(address);
  return Poco::Net::IPAddress(&network_order, sizeof network_order).toString() + ':' +
         std::to_string(port);
}

} // namespace zinnia
