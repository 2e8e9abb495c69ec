#pragma once

#include "config/yaml_map.h"
#include "zinniarelay/core/identifiers.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnia {

/// Reports an address that was already used for something else in the file.
class address_register {
public:
  explicit address_register(finding_sink& sink) : sink_(sink) {}

  void add(const std::optional<endpoint>& address, const std::string& purpose,
           const YAML::Mark& place);

private:
  finding_sink& sink_;
  std::unordered_map<endpoint, std::string> purposes_;
};

std::optional<zone_id> read_zone(yaml_map& map, std::string_view key);

/// A list of addresses without repetitions.
std::vector<endpoint> read_addresses(yaml_map& map, std::string_view key, presence need,
                                     finding_sink& sink);

enum class path_kind { file, folder };

/// An existing file or folder; a relative path starts at `base`.
std::optional<std::filesystem::path> read_path(yaml_map& map, std::string_view key, presence need,
                                               path_kind kind, const std::filesystem::path& base,
                                               finding_sink& sink);

} // namespace zinnia
