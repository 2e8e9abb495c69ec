#pragma once

#include "overview.pb.h"
#include "zinniarelay/core/time.h"

#include <algorithm>
#include <map>
#include <vector>

namespace zinnia {

/// Which entry hosts an overview lists.
enum class host_selection { differing, all };

/// Returns the listed entry hosts, ordered by zone. Differing hosts are those that do not serve,
/// lack the highest revision, or have not reported for a while.
inline std::vector<wire::host_status> listed_hosts(const wire::status_overview& status,
                                                   host_selection selection) {
  // Hosts report once a second.
  constexpr milliseconds max_report_age{3'000};
  std::uint64_t highest_revision = 0;
  for (const auto& it : status.hosts())
    highest_revision = std::max(highest_revision, it.revision());
  std::vector<wire::host_status> out;
  for (const auto& it : status.hosts()) {
    const bool is_differing = it.state() != "serving" || it.revision() != highest_revision ||
                              it.age_ms() > max_report_age.count();
    if (selection == host_selection::all || is_differing) out.push_back(it);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& a, const auto& b) { return a.zone() < b.zone(); });
  return out;
}

} // namespace zinnia
