#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/token/key_ring.h"

#include <cstdint>
#include <filesystem>
#include <vector>

namespace zinnia {

/// The keys of flow tokens as a file holds them. Secrets appear in no finding
/// and no error. Each change returns a new value (docs/design.md R3).
class key_file {
public:
  /// Generations that may be live at a time.
  static constexpr std::size_t max_keys = 2;

  /// Reads a keys file; refuses one that others than its owner can access.
  static checked<key_file> load(const std::filesystem::path& path);

  /// One new random key, active.
  static result<key_file> generate();

  /// Adds a new random key that is accepted and does not seal. Fails with
  /// error_kind::conflict while two generations are live.
  result<key_file> stage() const;
  /// Lets a staged key seal; error_kind::not_found when there is none.
  result<key_file> activate(std::uint8_t generation) const;
  /// Removes a key; error_kind::conflict for the active one.
  result<key_file> retire(std::uint8_t generation) const;

  /// Replaces the file in one step, with mode 0600, synced.
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
