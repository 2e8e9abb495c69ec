#pragma once

#include "zinniarelay/core/identifiers.h"

#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace zinnia {

/// Identity of a request, contained in every packet of the request, including
/// retransmissions (docs/design.md R8).
struct request_key {
  flow_id flow;
  std::uint64_t number = 0;

  friend bool operator==(const request_key&, const request_key&) = default;
  friend bool operator<(const request_key& a, const request_key& b) {
    return std::pair(a.flow.value, a.number) < std::pair(b.flow.value, b.number);
  }
};

/// Identity of one attempt to run a request on an upstream. It distinguishes the result
/// of the current attempt from late results of earlier attempts.
struct attempt_key {
  request_key request;
  std::uint32_t attempt = 0; ///< counted from 1

  friend bool operator==(const attempt_key&, const attempt_key&) = default;
};

} // namespace zinnia

template <>
struct std::hash<zinnia::request_key> {
  std::size_t operator()(const zinnia::request_key& key) const noexcept {
    const std::uint64_t words[] = {key.flow.value, key.number};
    return static_cast<std::size_t>(XXH3_64bits(words, sizeof words));
  }
};
