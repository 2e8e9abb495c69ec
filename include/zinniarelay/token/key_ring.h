#pragma once

#include "zinniarelay/core/result.h"
#include "zinniarelay/token/flow_token.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// One generation of the key that seals and opens flow tokens.
struct token_key {
  static constexpr std::size_t secret_size = 32; // bytes
  std::uint8_t generation = 0;
  std::array<std::uint8_t, secret_size> secret{};

  friend bool operator==(const token_key&, const token_key&) = default;
};

/// Seals and opens flow tokens. Every key of the ring opens tokens, but only the active key
/// seals them. This allows staging a key on every host before any host seals with it
/// (docs/design.md R3).
class key_ring {
public:
  /// Creates a key ring. Fails with error_kind::conflict if two keys have the same
  /// generation, and with error_kind::not_found if there is no key of the active generation.
  static result<key_ring> create(std::vector<token_key> keys, std::uint8_t active_generation);

  /// Returns the token with its authentication tag, sealed with the active key.
  std::string seal(const flow_token& token) const;

  /// Authenticates and decodes a sealed token. Fails with error_kind::malformed for a wrong
  /// size or version, not_found for an unknown key generation, and unauthorized for a wrong
  /// tag.
  result<flow_token> open(std::string_view sealed) const;

  std::uint8_t active_generation() const { return active_.generation; }

private:
  key_ring(std::vector<token_key> keys, token_key active);

  std::vector<token_key> keys_;
  token_key active_;
};

} // namespace zinnia
