#include "entry/entry_host_state.h"

// The status and the metrics that an entry host reports to operators.

namespace zinnia {

wire::host_status entry_host::state::status(time_point now) const {
  wire::host_status status;
  status.set_host(settings_.host().value);
  status.set_incarnation(incarnation_.value);
  status.set_zone(settings_.availability_zone().value);
  status.set_revision(directory_.revision());
  status.set_state(drain_.state_name());
  status.set_peer_address(settings_.peer_address().to_string());
  status.set_registration_address(settings_.registration_address().to_string());
  status.set_pending_requests(dispatcher_.executor().pending());
  status.set_open_records(dispatcher_.executor().table().records());
  for (const auto& it : pool_.upstreams(now)) {
    auto* upstream = status.add_upstreams();
    upstream->set_incarnation(it.incarnation.value);
    const auto* service = directory_.find(it.service);
    if (service != nullptr) upstream->set_service(service->declaration().name());
    upstream->set_address(it.address.to_string());
    upstream->set_slots(it.slots);
    upstream->set_usable_slots(it.usable_slots);
    upstream->set_outstanding(it.outstanding);
    upstream->set_state(std::string(it.state));
  }
  return status;
}

wire::metrics_reply entry_host::state::metrics(time_point now) const {
  auto reply = metrics_.report();
  const auto add = [&](const char* name, double value, std::string labels = {}) {
    auto* metric = reply.add_metrics();
    metric->set_name(name);
    metric->set_labels(std::move(labels));
    metric->set_value(value);
  };
  const auto& executor = dispatcher_.executor();
  const auto& counts = executor.counters();
  add("flows_opened", static_cast<double>(counters_.opened));
  add("requests_handled", static_cast<double>(counters_.requests));
  add("packets_forwarded", static_cast<double>(counters_.forwarded));
  add("packets_malformed", static_cast<double>(counters_.malformed));
  add("packets_dropped", static_cast<double>(counters_.dropped));
  add("packets_refused", static_cast<double>(counters_.refused));
  add("announcements_refused", static_cast<double>(counters_.refused_announcements));
  add("requests_pending", static_cast<double>(executor.pending()));
  add("answers_unacknowledged", static_cast<double>(executor.unacknowledged()));
  add("request_records", static_cast<double>(executor.table().records()));
  add("requests_refused_full", static_cast<double>(counts.refused_table_full));
  add("requests_dropped_full", static_cast<double>(counts.dropped_tombstones_full));
  add("requests_outside_window", static_cast<double>(counts.outside_window));
  add("requests_other_incarnation", static_cast<double>(counts.other_incarnation));
  add("retries", static_cast<double>(counts.retries));
  add("retries_refused", static_cast<double>(counts.retries_refused));
  add("takeovers", static_cast<double>(counts.takeovers));
  add("polls_failed", static_cast<double>(counters_.failed_polls));
  add("control_bytes_in", static_cast<double>(counters_.control_bytes_in));
  add("control_bytes_out", static_cast<double>(counters_.control_bytes_out));
  add("revision", static_cast<double>(directory_.revision()));
  const auto age = poller_.confirmed_age(now);
  add("revision_confirmed_age_ms", age ? static_cast<double>(age->count()) : -1);
  for (const auto& it : dispatcher_.queue().loads(now)) {
    const auto* service = directory_.find(it.service);
    const auto label =
        service != nullptr ? "service=" + service->declaration().name() : std::string();
    add("slots", it.slots, label);
    add("slots_in_use", it.outstanding, label);
    add("queued", it.queued, label);
  }
  return reply;
}

} // namespace zinnia
