#pragma once

#include "zinniarelay/core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinnia {

/// An IPv4 address and port, both in host byte order.
struct endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  /// Parses "ip:port"; the error states the expected format.
  static result<endpoint> parse(std::string_view text);

  std::string to_string() const;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace zinnia

template <>
struct std::hash<zinnia::endpoint> {
  std::size_t operator()(const zinnia::endpoint& value) const noexcept {
    return static_cast<std::size_t>((std::uint64_t{value.address} << 16U | value.port) *
                                    0x9E3779B97F4A7C15ULL);
  }
};
