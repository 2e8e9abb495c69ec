#pragma once

#include "zinniarelay/core/endpoint.h"

#include <string>
#include <vector>

namespace zinnia::utilities {

/// Parses all endpoints. Returns the error of the first malformed one.
inline result<std::vector<endpoint>> parse_endpoints(const std::vector<std::string>& texts) {
  std::vector<endpoint> endpoints;
  for (const auto& it : texts) {
    ZINNIA_TRY(parsed, endpoint::parse(it));
    endpoints.push_back(parsed);
  }
  return endpoints;
}

} // namespace zinnia::utilities
