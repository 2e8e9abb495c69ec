#include "zinniarelay/control/control_host.h"

// Load reports of entry hosts (docs/design/load-reports.md).

namespace zinnia {

void control_host::record_load(time_point now, const endpoint& from,
                               const wire::flow_load& report) {
  if (!settings_.has_load_reports) return;
  const bool is_present = notices_.is_present(now, from);
  loads_.record(now, from,
                is_present ? load_summary::sender::present : load_summary::sender::unknown, report);
}

bool control_host::has_urgent_suspects(time_point now, const wire::news_request& request) const {
  return settings_.has_load_reports && loads_.has_new_suspects(now, request);
}

void control_host::add_loads(time_point now, const wire::news_request& request,
                             wire::news_reply& reply) {
  if (settings_.has_load_reports) loads_.add_to(now, request, reply);
}

void control_host::add_load_metrics(time_point now, wire::metrics_reply& out) const {
  const auto add = [&](const char* name, std::string labels, std::uint64_t value) {
    auto& metric = *out.add_metrics();
    metric.set_name(name);
    metric.set_labels(std::move(labels));
    metric.set_value(static_cast<double>(value));
  };
  for (std::size_t n = 0; n < load_summary::outcome_count; ++n) {
    const auto outcome = static_cast<load_summary::outcome>(n);
    add("control_load_reports", std::string("outcome=") + name_of(outcome),
        loads_.count_of(outcome));
  }
  add("control_load_report_bytes", "", loads_.received_bytes());
  add("control_load_reply_bytes", "", loads_.reply_bytes());
  add("control_load_hosts", "", loads_.hosts());
  add("control_suspect_upstreams", "",
      static_cast<std::uint64_t>(loads_.suspects(now).upstreams_size()));
}

} // namespace zinnia
