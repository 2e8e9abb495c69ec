#pragma once

#include "zinniarelay/replication/storage.h"

#include <map>

namespace zinnia {

/// Files in memory for tests and benchmarks, with the faults of a real folder.
class memory_storage final : public storage {
public:
  result<std::optional<std::string>> read(const std::string& name) const override;
  result<void> replace(const std::string& name, const std::string& content) override;
  result<void> append(const std::string& name, const std::string& content) override;

  /// The write after the next `writes` ones fails as in a crash: an append leaves
  /// `torn_bytes` of its content, a replacement leaves the old file. Everything
  /// fails from then on until restart().
  void crash_after(std::size_t writes, std::size_t torn_bytes);
  void restart();
  /// All files are gone, as after the loss of a disk.
  void lose();
  /// Inverts one byte of a file.
  void damage(const std::string& name, std::size_t at);

  std::size_t size_of(const std::string& name) const;
  std::size_t write_count() const { return write_count_; }

private:
  bool is_crashing();

  std::map<std::string, std::string> files_;
  std::optional<std::size_t> writes_until_crash_;
  std::size_t torn_bytes_ = 0;
  std::size_t write_count_ = 0;
};

} // namespace zinnia
