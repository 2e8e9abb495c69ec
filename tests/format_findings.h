#pragma once

#include "zinniarelay/core/finding.h"

#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

namespace zinnia {

/// Formats each finding as "line:column message", for comparison with expected texts.
inline std::vector<std::string> format_findings(const findings& list) {
  std::vector<std::string> out;
  for (const auto& it : list)
    out.push_back(std::to_string(it.line) + ':' + std::to_string(it.column) + ' ' + it.message);
  return out;
}

} // namespace zinnia
