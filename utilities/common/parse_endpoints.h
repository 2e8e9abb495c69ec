#pragma once

#include "zinniarelay/core/endpoint.h"

#include <string>
#include <vector>

namespace zinnia::utilities {

/// Parses all endpoints or returns the error of the first one that is malformed.
inline result<std::vector<endpoint>> parse_endpoints(const std::vector<std::string>& texts) {
  std::vector<endpoint> list;
  for (const auto& it : texts) {
    ZINNIA_TRY(parsed, endpoint::parse(it));
    list.push_back(parsed);
  }
  return list;
}

} // namespace zinnia::utilities
