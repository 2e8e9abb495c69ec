#pragma once

#include "zinniarelay/request/content_digest.h"

#include <sodium.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace zinnia::utilities {

inline std::string to_hex(std::string_view data) {
  std::string out(data.size() * 2 + 1, '\0');
  sodium_bin2hex(out.data(), out.size(), reinterpret_cast<const unsigned char*>(data.data()),
                 data.size());
  out.pop_back();
  return out;
}

/// Deterministic content. Any process can compute the bytes at an offset from the name alone.
class generated_content {
public:
  generated_content(std::string name, std::uint64_t size) : name_(std::move(name)), size_(size) {}

  std::uint64_t size() const { return size_; }

  /// Returns at most `length` bytes from the offset on; fewer at the end of the content.
  std::string bytes(std::uint64_t offset, std::uint64_t length) const {
    const auto end = offset >= size_ ? offset : offset + std::min(length, size_ - offset);
    std::string out;
    out.reserve(end - offset + 2 * block_size);
    const auto first = offset / block_size;
    for (auto block = first; block * block_size < end; ++block)
      append_block(block, out);
    return out.substr(std::min<std::size_t>(offset - first * block_size, out.size()), end - offset);
  }

  /// Returns the BLAKE2b-128 digest of the whole content.
  std::string digest() const {
    constexpr std::uint64_t piece_size = std::uint64_t{64} * 1024; // bytes
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, 16);
    for (std::uint64_t offset = 0; offset < size_; offset += piece_size) {
      const auto piece = bytes(offset, piece_size);
      crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(piece.data()),
                                piece.size());
    }
    std::string out(16, '\0');
    crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(out.data()), out.size());
    return out;
  }

private:
  static constexpr std::uint64_t block_size = 64; // bytes, the longest BLAKE2b digest

  void append_block(std::uint64_t block, std::string& out) const {
    const auto seed = name_ + '#' + std::to_string(block);
    const auto offset = out.size();
    out.resize(offset + block_size);
    crypto_generichash(reinterpret_cast<unsigned char*>(&out[offset]), block_size,
                       reinterpret_cast<const unsigned char*>(seed.data()), seed.size(), nullptr,
                       0);
  }

  std::string name_;
  std::uint64_t size_;
};

/// Returns a payload "SIZE;IDENTITY" that requests an answer of SIZE bytes. IDENTITY makes the
/// payload unique.
inline std::string request_payload(std::uint64_t answer_size, const std::string& identity) {
  return std::to_string(answer_size) + ';' + identity;
}

/// Returns the only correct answer to a request. The answer is computed from the service, the
/// method and the payload, so that a caller detects the answer to another request.
inline std::string expected_answer(const std::string& service, const std::string& method,
                                   const std::string& payload) {
  constexpr std::uint64_t max_size = std::uint64_t{16} * 1024 * 1024; // bytes
  std::uint64_t size = 0;
  for (const char digit : payload) {
    if (digit < '0' || digit > '9' || size > max_size) break;
    size = size * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  auto head = service + ' ' + method + ' ' + to_hex(content_digest(payload)) + '\n';
  const auto remaining_size = std::min(size, max_size) - std::min<std::uint64_t>(size, head.size());
  return head + generated_content(head, remaining_size).bytes(0, remaining_size);
}

} // namespace zinnia::utilities
