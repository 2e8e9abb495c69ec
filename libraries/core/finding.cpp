#include "zinniarelay/core/finding.h"

#include <algorithm>

namespace zinnia {

std::ostream& operator<<(std::ostream& out, const finding& value) {
  out << value.file << ':' << value.line << ':' << value.column << ": "
      << (value.level == severity::error ? "error: " : "warning: ") << value.message;
  if (!value.expected.empty()) out << " (expected " << value.expected << ')';
  return out;
}

bool has_errors(const findings& list) {
  return std::any_of(list.begin(), list.end(),
                     [](const finding& item) { return item.level == severity::error; });
}

} // namespace zinnia
