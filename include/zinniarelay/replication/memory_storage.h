#pragma once

#include "zinniarelay/replication/storage.h"

#include <cstdint>
#include <map>

namespace zinnia {

/// Stores files in memory for tests and benchmarks, and simulates the faults of a disk.
class memory_storage final : public storage {
public:
  result<std::optional<std::string>> read(const std::string& name) const override;
  result<void> replace(const std::string& name, const std::string& content) override;
  result<void> append(const std::string& name, const std::string& content) override;

  /// Simulates a crash after `writes` further writes. The next append leaves `torn_bytes`
  /// of its content, a replacement leaves the old file. Every write fails from then on
  /// until restart().
  void crash_after(std::size_t writes, std::size_t torn_bytes);
  void restart();
  /// Simulates a disk of this size. A replacement needs space for the old and the new file.
  void limit(std::size_t capacity) { capacity_ = capacity; }
  /// Removes all files, as the loss of a disk does.
  void remove_all();
  /// Inverts one byte of a file.
  void damage(const std::string& name, std::size_t offset);

  std::size_t size_of(const std::string& name) const;
  std::size_t write_count() const { return write_count_; }

private:
  /// Counts a write and returns true when it has to fail.
  bool is_crashing();
  bool has_space_for(const std::string& content) const;

  std::map<std::string, std::string> files_;
  std::optional<std::size_t> writes_until_crash_;
  std::size_t torn_bytes_ = 0;
  std::size_t capacity_ = SIZE_MAX; ///< bytes
  std::size_t write_count_ = 0;
};

} // namespace zinnia
