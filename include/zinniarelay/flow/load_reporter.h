#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/upstream_directory.h"
#include "zinniarelay/flow/upstream_selector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace zinnia {

/// The load reports of an entry host (docs/design/load-reports.md): what they contain and when one
/// is due. Answers the load pattern in which each of many entry hosts opens few flows on each
/// upstream, so that its own observations come too late. Not thread-safe.
class load_reporter {
public:
  struct identity {
    std::string host;
    std::string zone;
  };

  load_reporter(identity self, random_engine engine);

  /// Records a new flow of a caller.
  void record_opening(const upstream_directory::entry& upstream);
  /// Returns the report to send now, of at most 1,400 bytes as a host_notice; no value when none is
  /// due.
  std::optional<wire::flow_load> take_due(time_point now, const upstream_directory& upstreams,
                                          const flow_table& flows,
                                          const upstream_selector& selector);

private:
  using zone_key = std::pair<std::string, std::string>; ///< service, zone of the upstreams

  milliseconds next_interval();
  /// Adds the upstreams with events since a time, the latest ones.
  static void add_upstreams(time_point now, time_point since, const upstream_selector& selector,
                            wire::flow_load& out);
  void add_flows(const upstream_directory& upstreams, const flow_table& flows,
                 wire::flow_load& out) const;

  identity self_;
  random_engine engine_;
  std::uint64_t process_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<zone_key, std::uint32_t> opened_;       ///< since the last regular report
  std::map<zone_key, std::uint32_t> opened_per_s_; ///< until the last regular report
  std::optional<time_point> last_regular_; ///< the first call of take_due() before the first
  time_point next_regular_;
  std::optional<time_point> last_report_;
};

} // namespace zinnia
