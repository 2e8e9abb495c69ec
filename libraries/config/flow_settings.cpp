#include "zinniarelay/config/flow_settings.h"

#include "config/setting_checks.h"

namespace zinnia {
namespace {

constexpr duration_range interval_range{milliseconds(100), milliseconds(60'000)};
constexpr milliseconds default_report_interval{1'000};
constexpr duration_range grace_range{milliseconds(1'000), milliseconds(600'000)};
constexpr milliseconds default_stop_grace{6'000};
// A flow never waits longer than its caller, which gives up after 12 s at most.
constexpr duration_range price_range{milliseconds(0), milliseconds(12'000)};

/// Reads `adaptive` or `off`; absent means off.
bool read_spillover(yaml_map& map, finding_sink& sink) {
  const auto value = map.text("zone_spillover", presence::optional).value_or("off");
  if (value != "adaptive" && value != "off")
    sink.report(map.place("zone_spillover"), "zone_spillover is " + in_quotes(value),
                "adaptive or off");
  return value == "adaptive";
}

} // namespace

checked<flow_settings> flow_settings::load(const std::filesystem::path& path) {
  finding_sink sink(path.string());
  const auto document = load_yaml(path, sink);
  if (!document) return boost::outcome_v2::failure(sink.sorted());

  flow_settings out;
  yaml_map map(*document, "the settings", sink);
  out.name_ = map.text("name", presence::required).value_or("");
  read_zone_name(map, out.availability_zone_, out.zone_name_);
  out.packet_address_ = map.address("packet_address", presence::required).value_or(endpoint{});
  out.ready_address_ = map.address("ready_address", presence::required).value_or(endpoint{});
  out.metrics_address_ = map.address("metrics_address", presence::optional);
  out.notice_address_ = map.address("notice_address", presence::optional);
  out.control_hosts_ = read_seeds(map, "control_hosts", "control_port", sink);
  out.report_interval_ = map.duration("report_interval", presence::optional, interval_range)
                             .value_or(default_report_interval);
  out.stop_grace_ =
      map.duration("stop_grace", presence::optional, grace_range).value_or(default_stop_grace);
  out.has_adaptive_spillover_ = read_spillover(map, sink);
  out.cross_zone_price_ =
      map.duration("cross_zone_price", presence::optional, price_range).value_or(milliseconds(0));
  out.has_load_reports_ = read_switch(map, "load_reports", sink);
  if (out.has_load_reports_ && !out.notice_address_)
    sink.report(map.place("load_reports"), "load_reports is on without notice_address",
                "notice_address, from which the reports are sent");
  if (out.has_adaptive_spillover_ && !out.has_load_reports_)
    sink.report(map.place("zone_spillover"), "zone_spillover is adaptive without load_reports",
                "load_reports: on, which provides the figures");
  map.report_unknown_keys();

  address_registry addresses(sink);
  addresses.add(out.ready_address_, "ready_address", map.place("ready_address"));
  addresses.add(out.metrics_address_, "metrics_address", map.place("metrics_address"));
  if (sink.has_errors()) return boost::outcome_v2::failure(sink.sorted());
  return out;
}

} // namespace zinnia
