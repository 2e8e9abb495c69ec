#include "zinniarelay/replication/memory_storage.h"

#include <algorithm>

namespace zinnia {
namespace {

auto crashed(const std::string& name) {
  return failure(error_kind::io, name, "the process crashed during this write");
}

auto full(const std::string& name) {
  return failure(error_kind::io, name, "no space left");
}

} // namespace

result<std::optional<std::string>> memory_storage::read(const std::string& name) const {
  const auto it = files_.find(name);
  if (it == files_.end()) return std::optional<std::string>();
  return std::optional<std::string>(it->second);
}

bool memory_storage::is_crashing() {
  ++write_count_;
  if (!writes_until_crash_) return false;
  if (*writes_until_crash_ == 0) return true;
  --*writes_until_crash_;
  return false;
}

bool memory_storage::has_space_for(const std::string& content) const {
  std::size_t used = 0;
  for (const auto& [name, it] : files_)
    used += it.size();
  return content.size() <= capacity_ - std::min(capacity_, used);
}

result<void> memory_storage::replace(const std::string& name, const std::string& content) {
  if (is_crashing()) {
    torn_bytes_ = 0;
    return crashed(name);
  }
  if (!has_space_for(content)) return full(name);
  files_[name] = content;
  return success();
}

result<void> memory_storage::append(const std::string& name, const std::string& content) {
  if (is_crashing()) {
    files_[name] += content.substr(0, torn_bytes_);
    torn_bytes_ = 0;
    return crashed(name);
  }
  if (!has_space_for(content)) return full(name);
  files_[name] += content;
  return success();
}

void memory_storage::crash_after(std::size_t writes, std::size_t torn_bytes) {
  writes_until_crash_ = writes;
  torn_bytes_ = torn_bytes;
}

void memory_storage::restart() {
  writes_until_crash_.reset();
}

void memory_storage::remove_all() {
  files_.clear();
}

void memory_storage::damage(const std::string& name, std::size_t offset) {
  auto& byte = files_.at(name).at(offset);
  byte = static_cast<char>(~byte);
}

std::size_t memory_storage::size_of(const std::string& name) const {
  const auto it = files_.find(name);
  return it == files_.end() ? 0 : it->second.size();
}

} // namespace zinnia
