#include "zinniarelay/config/settings_watch.h"

#include <fstream>
#include <iterator>
#include <string>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr milliseconds read_interval{1'000};

} // namespace

settings_watch::settings_watch(std::filesystem::path path)
    : path_(std::move(path)), digest_(read_digest()) {}

// An unreadable or empty file is being replaced at this moment and counts as unchanged.
std::uint64_t settings_watch::read_digest() const {
  std::ifstream in(path_, std::ios::binary);
  const std::string content{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  return content.empty() ? digest_ : XXH64(content.data(), content.size(), 0);
}

bool settings_watch::has_changed(time_point now, bool is_signalled) {
  if (!is_signalled && now < next_read_) return false;
  next_read_ = now + read_interval;
  const auto digest = read_digest();
  if (digest == digest_) return false;
  digest_ = digest;
  return true;
}

} // namespace zinnia
