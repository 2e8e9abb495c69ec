#include "config/setting_checks.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace zinnia {

void address_registry::add(const std::optional<endpoint>& address, const std::string& purpose,
                           const YAML::Mark& place) {
  if (!address) return;
  const auto [it, is_new] = purposes_.emplace(*address, purpose);
  if (!is_new)
    sink_.report(place, purpose + " " + address->to_string() + " is already used as " + it->second,
                 "a different address");
}

std::optional<zone_id> read_zone(yaml_map& map, std::string_view key) {
  const auto value =
      map.number(key, presence::required, {1, std::numeric_limits<std::uint16_t>::max()});
  if (!value) return std::nullopt;
  return zone_id{static_cast<std::uint16_t>(*value)};
}

void read_zone_name(yaml_map& map, zone_id& zone, std::string& name) {
  if (map.has("availability_zone") || !map.has("zone_name")) {
    zone = read_zone(map, "availability_zone").value_or(zone_id{});
    name = std::to_string(zone.value);
    return;
  }
  name = map.text("zone_name", presence::required).value_or("");
  constexpr std::uint64_t max_zone = std::numeric_limits<std::uint16_t>::max();
  zone = zone_id{static_cast<std::uint16_t>(1 + XXH64(name.data(), name.size(), 0) % max_zone)};
}

std::vector<endpoint> read_seeds(yaml_map& map, std::string_view key, std::string_view port_key,
                                 finding_sink& sink) {
  auto out = read_addresses(map, key, presence::required, sink);
  const auto port = map.number(port_key, presence::optional, {1, UINT16_MAX});
  for (auto& it : out)
    if (port) it.port = static_cast<std::uint16_t>(*port);
  return out;
}

std::vector<endpoint> read_addresses(yaml_map& map, std::string_view key, presence need,
                                     finding_sink& sink) {
  std::vector<endpoint> out;
  const auto nodes = map.list(key, need);
  for (const auto& node : nodes) {
    const auto address = read_address(node, key, sink);
    if (!address) continue;
    if (std::find(out.begin(), out.end(), *address) != out.end())
      sink.report(node.Mark(), address->to_string() + " is listed twice in " + std::string(key));
    else
      out.push_back(*address);
  }
  if (need == presence::required && map.has(key) && nodes.empty())
    sink.report(map.place(key), std::string(key) + " is empty", "at least one address");
  return out;
}

std::optional<std::filesystem::path> read_path(yaml_map& map, std::string_view key, presence need,
                                               path_kind kind, const std::filesystem::path& base,
                                               finding_sink& sink) {
  const auto text = map.text(key, need);
  if (!text) return std::nullopt;
  const auto path = base / *text;
  std::error_code ec;
  const bool exists = kind == path_kind::file ? std::filesystem::is_regular_file(path, ec)
                                              : std::filesystem::is_directory(path, ec);
  if (exists) return path;
  sink.report(map.place(key), std::string(key) + " " + in_quotes(path.string()) + " does not exist",
              kind == path_kind::file ? "an existing file" : "an existing folder");
  return std::nullopt;
}

bool read_switch(yaml_map& map, std::string_view key, finding_sink& sink) {
  const auto text = map.text(key, presence::optional);
  if (!text || *text == "off") return false;
  if (*text == "on") return true;
  sink.report(map.place(key), std::string(key) + " is " + *text, "on or off");
  return false;
}

} // namespace zinnia
