#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/token/key_ring.h"

#include <cstdint>
#include <filesystem>
#include <vector>

namespace zinnia {

/// Contents of the file with the keys of flow tokens. Findings and errors never contain a
/// secret. Operations that change the keys return a new value (docs/design.md R3).
class key_file {
public:
  /// Maximum number of key generations at a time.
  static constexpr std::size_t max_keys = 2;

  /// Reads a keys file. Refuses a file that is accessible to users other than its owner.
  static checked<key_file> load(const std::filesystem::path& path);

  /// Returns a key file with one new random key, which is active.
  static result<key_file> generate();

  /// Adds a new random key that opens tokens but does not seal them yet. Fails with
  /// error_kind::conflict if the file already contains two generations.
  result<key_file> stage() const;
  /// Makes a key the active one, which seals tokens. Fails with error_kind::not_found if
  /// the file has no key of this generation.
  result<key_file> activate(std::uint8_t generation) const;
  /// Removes a key. Fails with error_kind::conflict for the active key and with
  /// error_kind::not_found if the file has no key of this generation.
  result<key_file> retire(std::uint8_t generation) const;

  /// Replaces the file atomically, with mode 0600, and syncs it to disk. Fails with
  /// error_kind::io.
  result<void> write(const std::filesystem::path& path) const;

  result<key_ring> ring() const { return key_ring::create(keys_, active_); }
  std::uint8_t active_generation() const { return active_; }
  std::vector<std::uint8_t> generations() const;

  friend bool operator==(const key_file&, const key_file&) = default;

private:
  key_file(std::vector<token_key> keys, std::uint8_t active);

  std::vector<token_key> keys_;
  std::uint8_t active_ = 0;
};

} // namespace zinnia
