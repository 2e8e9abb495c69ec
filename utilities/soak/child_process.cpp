#include "child_process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace zinnia::soak {
namespace {

/// Owns the file actions of posix_spawn.
class spawn_actions {
public:
  spawn_actions() { posix_spawn_file_actions_init(&actions_); }
  spawn_actions(const spawn_actions&) = delete;
  spawn_actions& operator=(const spawn_actions&) = delete;
  ~spawn_actions() { posix_spawn_file_actions_destroy(&actions_); }

  void append_output_to(const std::string& path) {
    constexpr mode_t mode = 0600;
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
  }
  const posix_spawn_file_actions_t* get() const { return &actions_; }

private:
  posix_spawn_file_actions_t actions_{};
};

} // namespace

result<child_process> child_process::start(const std::vector<std::string>& arguments,
                                           const std::filesystem::path& log) {
  spawn_actions actions;
  actions.append_output_to(log.string());
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const auto& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_t id = 0;
  const int ec = posix_spawn(&id, argv[0], actions.get(), nullptr, argv.data(), environ);
  if (ec != 0) return failure(error_kind::io, arguments[0], std::strerror(ec));
  return child_process(id);
}

child_process::child_process(child_process&& other) noexcept : id_(std::exchange(other.id_, 0)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this == &other) return *this;
  terminate();
  id_ = std::exchange(other.id_, 0);
  return *this;
}

child_process::~child_process() {
  terminate();
}

void child_process::terminate() noexcept {
  if (id_ == 0) return;
  ::kill(id_, SIGKILL);
  int status = 0;
  ::waitpid(id_, &status, 0);
  id_ = 0;
}

void child_process::send(int signal) const {
  if (id_ != 0) ::kill(id_, signal);
}

std::optional<int> child_process::try_wait() {
  int status = 0;
  if (id_ == 0 || ::waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
  id_ = 0;
  return status;
}

int child_process::wait() {
  int status = 0;
  while (id_ != 0 && ::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
  }
  id_ = 0;
  return status;
}

void child_process::limit_file_size(std::optional<std::size_t> bytes) const {
  rlimit limit{};
  limit.rlim_max = RLIM_INFINITY;
  limit.rlim_cur = bytes ? static_cast<rlim_t>(*bytes) : RLIM_INFINITY;
  if (id_ != 0) ::prlimit(id_, RLIMIT_FSIZE, &limit, nullptr);
}

} // namespace zinnia::soak
