#include "zinniarelay/replication/file_storage.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace zinnia {
namespace {

constexpr mode_t file_mode = 0600;

auto io_failure(const std::string& path, const char* action) {
  return failure(error_kind::io, path, std::string(action) + ": " + std::strerror(errno));
}

class descriptor {
public:
  explicit descriptor(int fd) : fd_(fd) {}
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  ~descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int fd() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

private:
  int fd_;
};

bool write_all(int fd, const std::string& content) {
  std::size_t written = 0;
  while (written < content.size()) {
    const auto n = ::write(fd, content.data() + written, content.size() - written);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return false;
    written += static_cast<std::size_t>(n);
  }
  return true;
}

} // namespace

result<file_storage> file_storage::open(std::string folder) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec) return failure(error_kind::io, folder, "cannot create the folder: " + ec.message());
  file_storage out(std::move(folder));
  const auto path = out.path_of("lock");
  descriptor lock(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, file_mode));
  if (lock.fd() < 0) return io_failure(path, "open");
  if (::flock(lock.fd(), LOCK_EX | LOCK_NB) != 0)
    return failure(error_kind::conflict, path, "the data folder is used by another process");
  out.lock_ = lock.release();
  return out;
}

file_storage::file_storage(file_storage&& other) noexcept
    : folder_(std::move(other.folder_)), lock_(std::exchange(other.lock_, -1)),
      append_descriptors_(std::exchange(other.append_descriptors_, {})) {}

file_storage& file_storage::operator=(file_storage&& other) noexcept {
  if (this == &other) return *this;
  close_files();
  folder_ = std::move(other.folder_);
  lock_ = std::exchange(other.lock_, -1);
  append_descriptors_ = std::exchange(other.append_descriptors_, {});
  return *this;
}

file_storage::~file_storage() {
  close_files();
}

void file_storage::close_files() noexcept {
  for (const auto& [name, fd] : append_descriptors_)
    ::close(fd);
  append_descriptors_.clear();
  if (lock_ >= 0) ::close(lock_);
  lock_ = -1;
}

result<std::optional<std::string>> file_storage::read(const std::string& name) const {
  const auto path = path_of(name);
  std::error_code ec;
  if (!std::filesystem::exists(path, ec)) {
    if (ec) return failure(error_kind::io, path, ec.message());
    return std::optional<std::string>();
  }
  std::ifstream in(path, std::ios::binary);
  std::string content((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  if (!in || in.bad()) return io_failure(path, "read");
  return std::optional<std::string>(std::move(content));
}

result<void> file_storage::replace(const std::string& name, const std::string& content) {
  const auto path = path_of(name);
  const auto temporary_path = path + ".new";
  {
    const descriptor file(
        ::open(temporary_path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode));
    if (file.fd() < 0) return io_failure(temporary_path, "open");
    if (!write_all(file.fd(), content)) return io_failure(temporary_path, "write");
    if (::fsync(file.fd()) != 0) return io_failure(temporary_path, "fsync");
  }
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) return io_failure(path, "rename");
  // An open append descriptor would still refer to the replaced file.
  if (const auto it = append_descriptors_.find(name); it != append_descriptors_.end()) {
    ::close(it->second);
    append_descriptors_.erase(it);
  }
  return sync_folder();
}

result<void> file_storage::append(const std::string& name, const std::string& content) {
  const auto path = path_of(name);
  auto it = append_descriptors_.find(name);
  if (it == append_descriptors_.end()) {
    const int fd = ::open(path.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, file_mode);
    if (fd < 0) return io_failure(path, "open");
    it = append_descriptors_.emplace(name, fd).first;
    ZINNIA_TRY(sync_folder());
  }
  if (!write_all(it->second, content)) return io_failure(path, "write");
  if (::fdatasync(it->second) != 0) return io_failure(path, "fdatasync");
  return success();
}

result<void> file_storage::sync_folder() const {
  const descriptor folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.fd() < 0) return io_failure(folder_, "open");
  if (::fsync(folder.fd()) != 0) return io_failure(folder_, "fsync");
  return success();
}

} // namespace zinnia
