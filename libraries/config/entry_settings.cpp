#include "zinniarelay/config/entry_settings.h"

#include "config/setting_checks.h"

#include <limits>

namespace zinnia {
namespace {

// A host with the lowest limits can still serve the connections of one target.
constexpr number_range record_range{1'000, 10'000'000};
constexpr number_range byte_range{1ULL << 20U, 64ULL << 30U};

entry_limits read_limits(const YAML::Node& node, finding_sink& sink) {
  yaml_map map(node, "limits", sink);
  const auto read_count = [&](std::string_view key, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(
        map.number(key, presence::optional, record_range).value_or(fallback));
  };
  const auto read_bytes = [&](std::string_view key, std::uint64_t fallback) {
    return map.size(key, presence::optional, byte_range).value_or(fallback);
  };
  const entry_limits defaults;
  entry_limits limits;
  limits.records = read_count("records", defaults.records);
  limits.tombstones = read_count("tombstones", defaults.tombstones);
  limits.stored_answer_bytes = read_bytes("stored_answers", defaults.stored_answer_bytes);
  limits.queued_requests = read_count("queued_requests", defaults.queued_requests);
  limits.queued_bytes = read_bytes("queued_payloads", defaults.queued_bytes);
  map.report_unknown_keys();
  return limits;
}

} // namespace

checked<entry_settings> entry_settings::load(const std::filesystem::path& path) {
  finding_sink sink(path.string());
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());

  const auto base = path.parent_path();
  entry_settings out;
  yaml_map map(*document, "the entry settings", sink);
  const auto host =
      map.number("host", presence::required, {1, std::numeric_limits<std::uint32_t>::max()});
  out.host_ = host_id{static_cast<std::uint32_t>(host.value_or(0))};
  out.availability_zone_ = read_zone(map, "availability_zone").value_or(zone_id{});

  address_registry addresses(sink);
  const auto read_local_address = [&](const std::string& key) {
    const auto address = map.address(key, presence::required);
    addresses.add(address, key, map.place(key));
    return address.value_or(endpoint{});
  };
  out.fabric_address_ = read_local_address("fabric_address");
  out.peer_address_ = read_local_address("peer_address");
  out.registration_address_ = read_local_address("registration_address");
  out.control_hosts_ = read_addresses(map, "control_hosts", presence::required, sink);
  for (const auto& it : out.control_hosts_)
    addresses.add(it, "control host", map.place("control_hosts"));
  // All hosts may share one list of seeds, so the list may include this host's address.
  out.seeds_ = read_addresses(map, "seeds", presence::optional, sink);

  out.keys_file_ = read_path(map, "keys_file", presence::required, path_kind::file, base, sink)
                       .value_or(std::filesystem::path());
  out.data_folder_ =
      read_path(map, "data_folder", presence::optional, path_kind::folder, base, sink);
  if (const auto limits = map.find("limits", presence::optional))
    out.limits_ = read_limits(*limits, sink);
  map.report_unknown_keys();

  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  return out;
}

} // namespace zinnia
