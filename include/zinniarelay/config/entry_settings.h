#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/config/entry_limits.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <filesystem>
#include <optional>
#include <vector>

namespace zinnia {

/// The settings of an entry host, read from its settings file.
class entry_settings {
public:
  /// Reads and checks a settings file; the failure lists every finding. Paths
  /// in the file are relative to its folder.
  static checked<entry_settings> load(const std::filesystem::path& path);

  host_id host() const { return host_; }
  zone_id availability_zone() const { return availability_zone_; }
  endpoint fabric_address() const { return fabric_address_; }             ///< UDP
  endpoint peer_address() const { return peer_address_; }                 ///< UDP
  endpoint registration_address() const { return registration_address_; } ///< gRPC
  const std::vector<endpoint>& control_hosts() const { return control_hosts_; }
  /// Peer addresses of entry hosts to join through; may include this host's address.
  const std::vector<endpoint>& seeds() const { return seeds_; }
  const std::filesystem::path& keys_file() const { return keys_file_; }
  /// Absent when the host stores no copy of its configuration.
  const std::optional<std::filesystem::path>& data_folder() const { return data_folder_; }
  const entry_limits& limits() const { return limits_; }

  friend bool operator==(const entry_settings&, const entry_settings&) = default;

private:
  entry_settings() = default;

  host_id host_;
  zone_id availability_zone_;
  endpoint fabric_address_;
  endpoint peer_address_;
  endpoint registration_address_;
  std::vector<endpoint> control_hosts_;
  std::vector<endpoint> seeds_;
  std::filesystem::path keys_file_;
  std::optional<std::filesystem::path> data_folder_;
  entry_limits limits_;
};

} // namespace zinnia
