#pragma once

#include "declaration.pb.h"
#include "zinniarelay/config/checked.h"

#include <filesystem>
#include <string>
#include <vector>

namespace zinnia {

/// The services of an operators' file that passed all checks.
class declaration {
public:
  /// Reads and checks a declaration; the failure lists every finding. Paths in
  /// the file are relative to its folder.
  static checked<declaration> load(const std::filesystem::path& path);

  const std::vector<wire::service_declaration>& services() const { return services_; }

  /// Findings about what is allowed but probably not intended.
  const findings& warnings() const { return warnings_; }

private:
  declaration() = default;

  std::vector<wire::service_declaration> services_;
  findings warnings_;
};

/// Checks services that were received in a message against the rules for files. The
/// place of each error is a path such as services[2].methods[0].
std::vector<error> service_errors(const std::vector<wire::service_declaration>& services);

/// Returns the BLAKE2b-256 digest of a credential, 32 bytes, as it appears in a
/// declaration (docs/design.md R16).
std::string credential_digest(std::string_view credential);

} // namespace zinnia
