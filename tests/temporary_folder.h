#pragma once

#include <Poco/TemporaryFile.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace zinnia {

/// A temporary folder for the files of one test. The destructor removes it and its content.
class temporary_folder {
public:
  temporary_folder() : path_(Poco::TemporaryFile::tempName()) {
    std::filesystem::create_directories(path_);
  }
  ~temporary_folder() {
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  const std::filesystem::path& path() const { return path_; }

  /// Writes a file that only its owner can access, and returns its path.
  std::filesystem::path write(const std::string& name, const std::string& text) const {
    auto file = path_ / name;
    std::ofstream(file) << text;
    std::filesystem::permissions(file, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
    return file;
  }

private:
  std::filesystem::path path_;
};

} // namespace zinnia
