#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace zinnia {

/// A voter of a cluster at the first start of that cluster.
struct founding_member {
  control_id id;
  endpoint address; ///< gRPC
  zone_id zone;

  friend auto operator<=>(const founding_member&, const founding_member&) = default;
};

/// Settings of a control group that forms and repairs itself (docs/design.md R33).
struct group_formation {
  std::vector<endpoint> seeds; ///< gRPC; at the first start the founding members
  /// The whole system starts for the first time, with empty data folders.
  bool is_first_start = false;
  std::uint32_t tolerated_losses = 1; ///< simultaneous host losses that the group survives

  friend bool operator==(const group_formation&, const group_formation&) = default;
};

/// The settings of a control host, read from its settings file.
class control_settings {
public:
  /// Reads and checks a settings file; the failure lists every finding. Paths
  /// in the file are relative to its folder.
  static checked<control_settings> load(const std::filesystem::path& path);

  /// 0 when the control group forms itself; the data folder then contains the host's
  /// identifier.
  control_id control() const { return control_; }
  zone_id availability_zone() const { return availability_zone_; }
  endpoint address() const { return address_; } ///< gRPC, as other hosts reach it
  /// The address that gRPC binds; differs from address() behind network address translation.
  endpoint listen_address() const { return listen_address_; }
  std::uint64_t cluster() const { return cluster_; }
  const std::filesystem::path& data_folder() const { return data_folder_; }
  /// Empty on a host that joins a running cluster as a learner.
  const std::vector<founding_member>& founding_members() const { return founding_members_; }

  /// Absent when an operator founds the group and changes its members.
  const std::optional<group_formation>& group() const { return group_; }
  /// Names of the zones that operators may evacuate although they have no upstream.
  const std::vector<std::string>& zones() const { return zones_; }
  /// Addresses of the operators' HTTP interface and of the metrics; absent when not served.
  const std::optional<endpoint>& operator_address() const { return operator_address_; }
  const std::optional<endpoint>& metrics_address() const { return metrics_address_; }
  /// Whether this host accepts load reports of entry hosts.
  bool has_load_reports() const { return has_load_reports_; }
  /// Names of this host and its zone in the log.
  const std::string& name() const { return name_; }
  const std::string& zone_name() const { return zone_name_; }

  friend bool operator==(const control_settings&, const control_settings&) = default;

private:
  control_settings() = default;

  control_id control_;
  zone_id availability_zone_;
  endpoint address_;
  endpoint listen_address_;
  std::uint64_t cluster_ = 0;
  std::filesystem::path data_folder_;
  std::vector<founding_member> founding_members_;
  std::optional<group_formation> group_;
  std::vector<std::string> zones_;
  std::optional<endpoint> operator_address_;
  std::optional<endpoint> metrics_address_;
  bool has_load_reports_ = false;
  std::string name_;
  std::string zone_name_;
};

} // namespace zinnia
