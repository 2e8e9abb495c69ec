#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace zinnia {

/// An integer identifier that does not convert to other identifier types.
template <class Tag, class Integer>
struct identifier {
  Integer value = 0;

  friend auto operator<=>(const identifier&, const identifier&) = default;
};

using host_id = identifier<struct host_tag, std::uint32_t>;
using zone_id = identifier<struct zone_tag, std::uint16_t>;
using service_id = identifier<struct service_tag, std::uint32_t>;
using flow_id = identifier<struct flow_tag, std::uint64_t>;
/// Generated at random when a process starts (docs/design.md R13).
using incarnation_id = identifier<struct incarnation_tag, std::uint64_t>;
using control_id = identifier<struct control_tag, std::uint64_t>;

} // namespace zinnia

template <class Tag, class Integer>
struct std::hash<zinnia::identifier<Tag, Integer>> {
  std::size_t operator()(const zinnia::identifier<Tag, Integer>& id) const noexcept {
    // Identifiers are generated at random or assigned in sequence; the multiplier
    // distributes sequential identifiers over the buckets.
    return static_cast<std::size_t>(id.value * 0x9E3779B97F4A7C15ULL);
  }
};
