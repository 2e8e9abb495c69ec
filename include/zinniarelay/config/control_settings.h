#pragma once

#include "zinniarelay/config/checked.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"

#include <cstdint>
#include <filesystem>
#include <vector>

namespace zinnia {

/// A voter of a cluster that is started for the first time.
struct founding_member {
  control_id id;
  endpoint address; ///< gRPC
  zone_id zone;

  friend auto operator<=>(const founding_member&, const founding_member&) = default;
};

/// What a control host learns from its settings file.
class control_settings {
public:
  /// Reads and checks a settings file; the failure lists every finding. Paths
  /// in the file are relative to its folder.
  static checked<control_settings> load(const std::filesystem::path& path);

  control_id control() const { return control_; }
  zone_id availability_zone() const { return availability_zone_; }
  endpoint address() const { return address_; } ///< gRPC
  std::uint64_t cluster() const { return cluster_; }
  const std::filesystem::path& data_folder() const { return data_folder_; }
  /// Empty on a host that joins a running cluster as a learner.
  const std::vector<founding_member>& founding_members() const { return founding_members_; }

  friend bool operator==(const control_settings&, const control_settings&) = default;

private:
  control_settings() = default;

  control_id control_;
  zone_id availability_zone_;
  endpoint address_;
  std::uint64_t cluster_ = 0;
  std::filesystem::path data_folder_;
  std::vector<founding_member> founding_members_;
};

} // namespace zinnia
