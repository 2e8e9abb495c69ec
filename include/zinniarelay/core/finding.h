#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <vector>

namespace zinnia {

enum class severity { warning, error };

/// One defect in an operator's file: its place, what was found and what was expected.
struct finding {
  severity level = severity::error;
  std::string file;
  int line = 0;   ///< counted from 1; 0 when the place is the whole file
  int column = 0; ///< counted from 1
  std::string message;
  std::string expected;

  friend auto operator<=>(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

/// Writes "file:line:column: error: message (expected ...)".
std::ostream& operator<<(std::ostream& out, const finding& value);

bool has_errors(const findings& list);

} // namespace zinnia
