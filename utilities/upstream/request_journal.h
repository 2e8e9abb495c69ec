#pragma once

#include "zinniarelay/core/result.h"

#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace zinnia::utilities {

/// One line for each started non-idempotent request: "FLOW NUMBER METHOD DIGEST",
/// with flow and digest of the payload in hexadecimal. A line is handed to the
/// system before the request runs, so that it outlives a killed process.
class request_journal {
public:
  /// An empty path keeps no journal.
  static result<std::unique_ptr<request_journal>> create(const std::string& path);

  void add(std::uint64_t flow, std::uint64_t number, const std::string& method,
           const std::string& payload);

private:
  request_journal() = default;

  std::mutex mutex_;
  std::ofstream out_;
};

} // namespace zinnia::utilities
