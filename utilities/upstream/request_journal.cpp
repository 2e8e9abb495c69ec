#include "request_journal.h"

#include "common/generated_content.h"

#include <iomanip>
#include <sstream>

namespace zinnia::utilities {

result<std::unique_ptr<request_journal>> request_journal::create(const std::string& path) {
  std::unique_ptr<request_journal> created(new request_journal);
  if (!path.empty()) {
    created->out_.open(path, std::ios::app);
    if (!created->out_) return failure(error_kind::io, path, "cannot be opened for appending");
  }
  return created;
}

void request_journal::add(std::uint64_t flow, std::uint64_t number, const std::string& method,
                          const std::string& payload) {
  std::ostringstream line;
  line << std::hex << std::setw(16) << std::setfill('0') << flow << std::dec << ' ' << number << ' '
       << method << ' ' << to_hex(content_digest(payload)) << '\n';
  const std::lock_guard lock(mutex_);
  out_ << line.str() << std::flush;
}

} // namespace zinnia::utilities
