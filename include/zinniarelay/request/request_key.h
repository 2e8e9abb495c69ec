#pragma once

#include "zinniarelay/core/identifiers.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace zinnia {

/// Identity of a request; every copy of its packets carries it (docs/design.md R8).
struct request_key {
  flow_id flow;
  std::uint64_t number = 0;

  friend auto operator<=>(const request_key&, const request_key&) = default;

  template <class Hash>
  friend Hash AbslHashValue(Hash state, const request_key& key) {
    return Hash::combine(std::move(state), key.flow.value, key.number);
  }
};

/// One attempt to run a request on an upstream; results of earlier attempts are
/// told apart by it.
struct attempt_key {
  request_key request;
  std::uint32_t attempt = 0; ///< counted from 1

  friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

} // namespace zinnia
