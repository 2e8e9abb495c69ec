#pragma once

#include "zinniarelay/core/result.h"

#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace zinnia::utilities {

/// Writes one line for each started non-idempotent request: "FLOW NUMBER METHOD DIGEST". The flow
/// and the digest of the payload are hexadecimal. Each line is flushed to the operating system
/// before the request runs, so that the line survives a kill of this process.
class request_journal {
public:
  /// Opens the journal for appending. With an empty path, nothing is recorded.
  static result<std::unique_ptr<request_journal>> create(const std::string& path);

  void add(std::uint64_t flow, std::uint64_t number, const std::string& method,
           const std::string& payload);

private:
  request_journal() = default;

  std::mutex mutex_;
  std::ofstream out_;
};

} // namespace zinnia::utilities
