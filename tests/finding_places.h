#pragma once

#include "zinniarelay/core/finding.h"

#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

namespace zinnia {

/// Each finding as "line:column message", for comparison with what a test expects.
inline std::vector<std::string> places_of(const findings& list) {
  std::vector<std::string> out;
  for (const auto& it : list)
    out.push_back(std::to_string(it.line) + ':' + std::to_string(it.column) + ' ' + it.message);
  return out;
}

} // namespace zinnia
