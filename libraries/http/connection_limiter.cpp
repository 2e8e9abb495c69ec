#include "zinniarelay/http/connection_limiter.h"

namespace zinnia {

std::uint64_t connection_limiter::add() {
  open_.insert(++last_);
  waiting_.insert(last_);
  return last_;
}

void connection_limiter::remove(std::uint64_t connection) {
  open_.erase(connection);
  waiting_.erase(connection);
}

std::optional<std::uint64_t> connection_limiter::excess() const {
  return open_.size() > max_connections_ ? slowest() : std::nullopt;
}

std::optional<std::uint64_t> connection_limiter::slowest() const {
  if (waiting_.empty()) return std::nullopt;
  return *waiting_.begin();
}

} // namespace zinnia
