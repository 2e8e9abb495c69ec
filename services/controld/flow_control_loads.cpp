#include "flow_control_service.h"
#include "zinniarelay/observe/log_line.h"

// Load reports of entry hosts to flow_control_service (docs/design/load-reports.md).

namespace zinnia::controld {

void flow_control_service::record_load(const endpoint& entry_host, const wire::flow_load& report) {
  const std::lock_guard lock(shared_.mutex);
  const auto now = monotonic_now();
  shared_.host.record_load(now, entry_host, report);
  for (const auto incarnation : shared_.host.take_new_suspects()) {
    const auto* upstream = shared_.host.upstreams().find(incarnation);
    if (upstream == nullptr || !suspect_lines_.try_acquire(now)) continue;
    log_warning("upstream_suspect")
        .with("upstream", upstream->report.id)
        .with("service", upstream->report.service)
        .with("upstream_zone", upstream->report.zone)
        .with("reported_by", report.host());
  }
}

} // namespace zinnia::controld
