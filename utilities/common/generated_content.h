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

/// Bytes that any process can compute from a name and an offset.
class generated_content {
public:
  generated_content(std::string name, std::uint64_t size) : name_(std::move(name)), size_(size) {}

  std::uint64_t size() const { return size_; }

  /// The bytes from the offset on, at most `length` of them; fewer at the end.
  std::string bytes(std::uint64_t offset, std::uint64_t length) const {
    const auto end = offset >= size_ ? offset : offset + std::min(length, size_ - offset);
    std::string out;
    out.reserve(end - offset + 2 * block_size);
    const auto first = offset / block_size;
    for (auto block = first; block * block_size < end; ++block)
      append_block(block, out);
    return out.substr(std::min<std::size_t>(offset - first * block_size, out.size()), end - offset);
  }

  /// BLAKE2b-128 of the whole content.
  std::string digest() const {
    constexpr std::uint64_t step = std::uint64_t{64} * 1024;
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, 16);
    for (std::uint64_t at = 0; at < size_; at += step) {
      const auto piece = bytes(at, step);
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
    const auto at = out.size();
    out.resize(at + block_size);
    crypto_generichash(reinterpret_cast<unsigned char*>(&out[at]), block_size,
                       reinterpret_cast<const unsigned char*>(seed.data()), seed.size(), nullptr,
                       0);
  }

  std::string name_;
  std::uint64_t size_;
};

/// A payload asks for an answer of so many bytes: "SIZE;IDENTITY".
inline std::string request_payload(std::uint64_t answer_size, const std::string& identity) {
  return std::to_string(answer_size) + ';' + identity;
}

/// The only right answer to a request. It is computed from the service, the
/// method and the payload, so that a caller notices the answer to another request.
inline std::string expected_answer(const std::string& service, const std::string& method,
                                   const std::string& payload) {
  constexpr std::uint64_t largest = std::uint64_t{16} * 1024 * 1024; // bytes
  std::uint64_t size = 0;
  for (const char it : payload) {
    if (it < '0' || it > '9' || size > largest) break;
    size = size * 10 + static_cast<std::uint64_t>(it - '0');
  }
  auto head = service + ' ' + method + ' ' + to_hex(content_digest(payload)) + '\n';
  const auto rest = std::min(size, largest) - std::min<std::uint64_t>(size, head.size());
  return head + generated_content(head, rest).bytes(0, rest);
}

} // namespace zinnia::utilities
