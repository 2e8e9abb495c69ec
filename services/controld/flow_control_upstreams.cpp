#include "flow_control_service.h"
#include "update_call.h"
#include "upstream_replicator.h"
#include "zinniarelay/observe/log_line.h"

#include <algorithm>

// Reports of upstreams and updates for entry hosts of flow_control_service.

namespace zinnia::controld {
namespace {

const char* name_of(upstream_report::state value) {
  switch (value) {
  case upstream_report::state::ready:
    return "ready";
  case upstream_report::state::draining:
    return "draining";
  case upstream_report::state::gone:
    return "gone";
  }
  return "unknown";
}

} // namespace

flow_operations::answer flow_control_service::report(const upstream_report& value) {
  using state = upstream_report::state;
  metrics_.counter_of("control_reports", std::string("state=") + name_of(value.condition)).add();
  if (!value.has_plausible_start(wall_ms())) {
    log_warning("upstream_report_refused")
        .with("upstream", value.id)
        .with("started_ms", value.started_ms);
    return {outcome::invalid, "the start is in the future"};
  }
  std::unique_lock lock(shared_.mutex);
  const auto merged = shared_.host.merge_report(monotonic_now(), value, wall_ms());
  if (merged == upstream_directory::merge_result::changed) {
    log_info("upstream_changed")
        .with("upstream", value.id)
        .with("started_ms", value.started_ms)
        .with("sequence", value.sequence)
        .with("service", value.service)
        .with("address", value.address)
        .with("state", name_of(value.condition));
    if (view_writer_) view_writer_->wake();
    for (auto& [address, replicator] : replicators_)
      replicator->wake();
  }
  if (value.condition == state::ready) return {outcome::done, ""};
  // The acknowledgement is final for all hosts. It must survive a crash of this host, and the
  // view that this host restores after a restart must not revert it.
  const auto* reported = shared_.host.upstreams().find(value.incarnation());
  const auto position = reported == nullptr ? 0 : reported->content_position;
  const bool is_confirmed = shared_.changed.wait_for(
      lock, reply_timeout, [&] { return is_safe_to_confirm(position) || is_stopping_; });
  if (is_confirmed) return {outcome::done, ""};
  auto line = log_warning("upstream_leave_unconfirmed");
  line.with("upstream", value.id).with("position", position);
  line.with("is_saved", !view_writer_ || view_writer_->has_saved(position));
  for (const auto& [address, replicator] : replicators_)
    line.with("control_host", address).with("confirmed", replicator->confirmed());
  return {outcome::unconfirmed, "no other control host has confirmed the report"};
}

bool flow_control_service::is_safe_to_confirm(std::uint64_t position) const {
  return is_replicated(position) && (!view_writer_ || view_writer_->has_saved(position));
}

bool flow_control_service::is_replicated(std::uint64_t position) const {
  if (shared_.host.node().membership().all_members().size() <= 1) return true;
  return std::any_of(replicators_.begin(), replicators_.end(),
                     [&](const auto& it) { return it.second->confirmed() >= position; });
}

std::optional<upstream_report> flow_control_service::find_upstream(const std::string& id) {
  const std::lock_guard lock(shared_.mutex);
  const auto* found = shared_.host.upstreams().find_id(id);
  if (found == nullptr) return std::nullopt;
  return found->report;
}

grpc::Status flow_control_service::Spread(grpc::ServerContext* /*context*/,
                                          const wire::spread_request* request,
                                          wire::spread_reply* reply) {
  const std::lock_guard lock(shared_.mutex);
  const auto before = shared_.host.upstreams().content_position();
  *reply = shared_.host.merge_replicated(monotonic_now(), *request);
  if (shared_.host.upstreams().content_position() != before && view_writer_) view_writer_->wake();
  return grpc::Status::OK;
}

// A waiting call holds no thread: hundreds of entry hosts wait at the same time.
grpc::ServerUnaryReactor* flow_control_service::News(grpc::CallbackServerContext* /*context*/,
                                                     const wire::news_request* request,
                                                     wire::news_reply* reply) {
  const std::lock_guard lock(shared_.mutex);
  // gRPC owns the call until its OnDone().
  auto* call = new update_call(*request, *reply, [this](auto ticket) { cancel_update(ticket); });
  if (is_stopping_) {
    call->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    return call;
  }
  call->set_ticket(update_queue_.add(monotonic_now(), *request));
  update_calls_[call->ticket()] = call;
  return call;
}

void flow_control_service::send_updates() {
  std::vector<update_call*> due;
  {
    const std::lock_guard lock(shared_.mutex);
    const auto now = monotonic_now();
    const auto is_urgent = [&](const auto& it) { return shared_.host.has_urgent_update(now, it); };
    for (const auto ticket : update_queue_.take_due(now, is_urgent)) {
      auto* call = update_calls_.extract(ticket).mapped();
      call->reply() = shared_.host.updates(now, call->request(), call->received());
      reply_bytes_.record(static_cast<double>(call->reply().ByteSizeLong()));
      due.push_back(call);
    }
  }
  for (auto* it : due)
    it->Finish(grpc::Status::OK);
}

void flow_control_service::cancel_update(std::uint64_t ticket) {
  update_call* call = nullptr;
  {
    const std::lock_guard lock(shared_.mutex);
    if (update_queue_.remove(ticket)) call = update_calls_.extract(ticket).mapped();
  }
  if (call != nullptr) call->Finish(grpc::Status::CANCELLED);
}

} // namespace zinnia::controld
