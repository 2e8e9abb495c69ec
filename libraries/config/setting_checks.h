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

/// Reports addresses that a file uses for more than one purpose.
class address_registry {
public:
  explicit address_registry(finding_sink& sink) : sink_(sink) {}

  void add(const std::optional<endpoint>& address, const std::string& purpose,
           const YAML::Mark& place);

private:
  finding_sink& sink_;
  std::unordered_map<endpoint, std::string> purposes_;
};

std::optional<zone_id> read_zone(yaml_map& map, std::string_view key);

/// Reads the zone from `availability_zone`, a number, or from `zone_name`, which all
/// hosts hash to the same number.
void read_zone_name(yaml_map& map, zone_id& zone, std::string& name);

/// Reads a list of addresses; reports repeated addresses.
std::vector<endpoint> read_addresses(yaml_map& map, std::string_view key, presence need,
                                     finding_sink& sink);

/// Reads a list of addresses. A port given by `port_key` replaces the ports of the list:
/// ports are the same on all hosts, so the list may contain another service's addresses.
std::vector<endpoint> read_seeds(yaml_map& map, std::string_view key, std::string_view port_key,
                                 finding_sink& sink);

/// Reads `on` or `off`; a missing key is off.
bool read_switch(yaml_map& map, std::string_view key, finding_sink& sink);

enum class path_kind { file, folder };

/// Reads the path of an existing file or folder; a relative path starts at `base`.
std::optional<std::filesystem::path> read_path(yaml_map& map, std::string_view key, presence need,
                                               path_kind kind, const std::filesystem::path& base,
                                               finding_sink& sink);

} // namespace zinnia
