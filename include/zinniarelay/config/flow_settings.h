#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/time.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/// The settings of an entry host of packet flows, read from its settings file.
class flow_settings {
public:
  /// Reads and checks a settings file; the failure lists every finding.
  static checked<flow_settings> load(const std::filesystem::path& path);

  const std::string& name() const { return name_; }
  const std::string& zone_name() const { return zone_name_; }
  zone_id availability_zone() const { return availability_zone_; }
  /// UDP; callers receive packets at the same port of their own address.
  endpoint packet_address() const { return packet_address_; }
  endpoint ready_address() const { return ready_address_; } ///< HTTP
  const std::optional<endpoint>& metrics_address() const { return metrics_address_; }
  /// UDP; control hosts send notices of their start to it.
  const std::optional<endpoint>& notice_address() const { return notice_address_; }
  /// gRPC addresses of some control hosts, which supply the addresses of the others.
  const std::vector<endpoint>& control_hosts() const { return control_hosts_; }
  /// Interval between the reports of one upstream.
  milliseconds report_interval() const { return report_interval_; }
  milliseconds stop_grace() const { return stop_grace_; } ///< from SIGTERM to the forced exit
  bool has_adaptive_spillover() const { return has_adaptive_spillover_; }
  /// Waiting time that one flow to another zone is worth.
  milliseconds cross_zone_price() const { return cross_zone_price_; }
  /// Whether this host exchanges load reports with the control hosts.
  bool has_load_reports() const { return has_load_reports_; }

  friend bool operator==(const flow_settings&, const flow_settings&) = default;

private:
  flow_settings() = default;

  std::string name_;
  std::string zone_name_;
  zone_id availability_zone_;
  endpoint packet_address_;
  endpoint ready_address_;
  std::optional<endpoint> metrics_address_;
  std::optional<endpoint> notice_address_;
  std::vector<endpoint> control_hosts_;
  milliseconds report_interval_{0};
  milliseconds stop_grace_{0};
  bool has_adaptive_spillover_ = false;
  milliseconds cross_zone_price_{0};
  bool has_load_reports_ = false;
};

} // namespace zinnia
