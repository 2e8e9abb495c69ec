#pragma once

#include "zinniarelay/replication/storage.h"

#include <map>

namespace zinnia {

/// A data folder on a disk. A file lock prevents its use by a second process.
class file_storage final : public storage {
public:
  /// Opens a folder, and creates it when it is missing. Fails with error_kind::conflict
  /// when another process uses the folder.
  static result<file_storage> open(std::string folder);

  file_storage(file_storage&& other) noexcept;
  file_storage& operator=(file_storage&& other) noexcept;
  file_storage(const file_storage&) = delete;
  file_storage& operator=(const file_storage&) = delete;
  ~file_storage() override;

  result<std::optional<std::string>> read(const std::string& name) const override;
  result<void> replace(const std::string& name, const std::string& content) override;
  result<void> append(const std::string& name, const std::string& content) override;

private:
  explicit file_storage(std::string folder) : folder_(std::move(folder)) {}
  std::string path_of(const std::string& name) const { return folder_ + '/' + name; }
  result<void> sync_folder() const;
  void close_files() noexcept;

  std::string folder_;
  int lock_ = -1;
  std::map<std::string, int> append_descriptors_; ///< by file name
};

} // namespace zinnia
