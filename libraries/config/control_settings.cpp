#include "zinniarelay/config/control_settings.h"

#include "config/setting_checks.h"

#include <algorithm>
#include <limits>

namespace zinnia {
namespace {

constexpr number_range identifier_range{1, std::numeric_limits<std::uint64_t>::max()};

std::vector<founding_member> read_members(const std::vector<YAML::Node>& nodes,
                                          finding_sink& sink) {
  std::vector<founding_member> members;
  address_registry addresses(sink);
  for (const auto& node : nodes) {
    yaml_map map(node, "a founding member", sink);
    const auto id = map.number("id", presence::required, identifier_range);
    const auto address = map.address("address", presence::required);
    const auto zone = read_zone(map, "zone");
    map.report_unknown_keys();
    addresses.add(address, "member address", map.place("address"));
    const bool is_repeated =
        id && std::any_of(members.begin(), members.end(),
                          [&](const auto& member) { return member.id.value == *id; });
    if (is_repeated)
      sink.report(map.place("id"), "founding member " + std::to_string(*id) + " is listed twice",
                  "a different id");
    if (id && address && zone) members.push_back({control_id{*id}, *address, *zone});
  }
  return members;
}

std::optional<group_formation> read_group(yaml_map& map, finding_sink& sink) {
  if (!map.has("seeds")) return std::nullopt;
  group_formation out;
  out.seeds = read_seeds(map, "seeds", "seed_port", sink);
  out.is_first_start = map.text("first_start", presence::optional).value_or("") == "true";
  out.tolerated_losses = static_cast<std::uint32_t>(
      map.number("tolerated_losses", presence::optional, {0, 4}).value_or(1));
  return out;
}

std::vector<std::string> read_zone_names(yaml_map& map, finding_sink& sink) {
  std::vector<std::string> out;
  for (const auto& node : map.list("zones", presence::optional)) {
    if (!node.IsScalar() || node.Scalar().empty()) {
      sink.report(node.Mark(), "zones has an entry that is not a name", "names of zones");
      continue;
    }
    if (std::find(out.begin(), out.end(), node.Scalar()) != out.end())
      sink.report(node.Mark(), "zone " + in_quotes(node.Scalar()) + " is listed twice");
    else
      out.push_back(node.Scalar());
  }
  return out;
}

} // namespace

checked<control_settings> control_settings::load(const std::filesystem::path& path) {
  finding_sink sink(path.string());
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());

  control_settings out;
  yaml_map map(*document, "the control settings", sink);
  out.group_ = read_group(map, sink);
  const auto control =
      map.number("control", out.group_ ? presence::optional : presence::required, identifier_range);
  out.control_ = control_id{control.value_or(0)};
  read_zone_name(map, out.availability_zone_, out.zone_name_);
  out.name_ = map.text("name", presence::optional).value_or(std::to_string(out.control_.value));
  out.operator_address_ = map.address("operator_address", presence::optional);
  out.metrics_address_ = map.address("metrics_address", presence::optional);
  out.has_load_reports_ = read_switch(map, "load_reports", sink);
  out.address_ = map.address("address", presence::required).value_or(endpoint{});
  out.listen_address_ = map.address("listen_address", presence::optional).value_or(out.address_);
  out.zones_ = read_zone_names(map, sink);
  out.cluster_ = map.number("cluster", presence::required, identifier_range).value_or(0);
  // The folder must exist already. Creating it for a mistyped path would look like a
  // lost disk, and a voter without its stored identity must not vote
  // (docs/design.md R25).
  out.data_folder_ =
      read_path(map, "data_folder", presence::required, path_kind::folder, path.parent_path(), sink)
          .value_or(std::filesystem::path());

  const auto nodes = map.list("founding_members", presence::optional);
  out.founding_members_ = read_members(nodes, sink);
  if (map.has("founding_members") && nodes.size() % 2 == 0)
    sink.report(map.place("founding_members"), std::to_string(nodes.size()) + " founding members",
                "an odd number of members");
  const auto self =
      std::find_if(out.founding_members_.begin(), out.founding_members_.end(),
                   [&](const auto& member) { return control && member.id == out.control_; });
  const founding_member expected{out.control_, out.address_, out.availability_zone_};
  if (self != out.founding_members_.end() && *self != expected)
    sink.report(map.place("founding_members"),
                "founding member " + std::to_string(*control) +
                    " is this host with another address or zone",
                "the address and availability_zone of this file");
  map.report_unknown_keys();

  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  return out;
}

} // namespace zinnia
