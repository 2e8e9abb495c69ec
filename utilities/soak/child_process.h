#pragma once

#include "zinniarelay/core/result.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace zinnia::soak {

/// A child process. The destructor kills it and waits for its end.
class child_process {
public:
  /// Starts a program and appends its output to a log. Fails with error_kind::io.
  static result<child_process> start(const std::vector<std::string>& arguments,
                                     const std::filesystem::path& log);

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  ~child_process();

  pid_t id() const { return id_; }
  void send(int signal) const;
  /// Returns the wait status if the process has ended. Does not block.
  std::optional<int> try_wait();
  /// Waits for the end and returns the wait status.
  int wait();
  /// Limits the size of the files that the process writes from now on. No value removes the limit.
  void limit_file_size(std::optional<std::size_t> bytes) const;

private:
  explicit child_process(pid_t id) : id_(id) {}
  void terminate() noexcept;

  pid_t id_ = 0; ///< 0 after the process was waited for
};

} // namespace zinnia::soak
