#pragma once

#include "zinniarelay/core/result.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace zinnia::soak {

/// A process that this one started. It is ended when its owner goes.
class child_process {
public:
  /// Starts a program with its output appended to a log. Fails with error_kind::io.
  static result<child_process> start(const std::vector<std::string>& arguments,
                                     const std::filesystem::path& log);

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  ~child_process();

  pid_t id() const { return id_; }
  void send(int signal) const;
  /// The wait status once the process has ended; asked for without waiting.
  std::optional<int> ended();
  /// Waits for the end and returns the wait status.
  int wait();
  /// Limits the size of files that the process may write from now on; no value lifts it.
  void limit_files(std::optional<std::size_t> bytes) const;

private:
  explicit child_process(pid_t id) : id_(id) {}
  void end() noexcept;

  pid_t id_ = 0; ///< 0 once it was waited for
};

} // namespace zinnia::soak
