#include "flow_control_service.h"
#include "zinniarelay/observe/log_line.h"

// Warm-up leases of flow_control_service (docs/design.md R44).

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

// A lease is useful only while it is renewed, every 400 ms.
constexpr milliseconds grant_timeout{400};
constexpr milliseconds check_interval{20};
constexpr milliseconds idle_check_interval{200};

} // namespace

wire::grant_reply flow_control_service::grant_locally(const wire::grant_request& request) {
  std::unique_lock lock(shared_.mutex);
  const auto pending = shared_.host.begin_read(monotonic_now());
  execute_effects_();
  if (!pending) return {};
  const bool is_decided = shared_.changed.wait_for(lock, grant_timeout, [&] {
    return shared_.host.read_reply_for(*pending).has_value() || is_stopping_;
  });
  if (!is_decided) return {};
  return shared_.host.grant_warmup(monotonic_now(), *pending, request);
}

grpc::Status flow_control_service::GrantWarmup(grpc::ServerContext* /*context*/,
                                               const wire::grant_request* request,
                                               wire::grant_reply* reply) {
  *reply = grant_locally(*request);
  return grpc::Status::OK;
}

std::optional<wire::grant_reply>
flow_control_service::request_warmup(const std::string& leader,
                                     const wire::grant_request& request) {
  if (leader.empty()) return std::nullopt;
  if (leader == settings_.address) return grant_locally(request);
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + grant_timeout);
  wire::grant_reply reply;
  if (stub_of(leader)->GrantWarmup(&context, request, &reply).ok()) return reply;
  remove_stub(leader);
  return std::nullopt;
}

void flow_control_service::run_warmup() {
  bool has_leases = false;
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    const auto requested = monotonic_now();
    if (const auto request = shared_.host.warmup_request_due(requested)) {
      const auto leader = shared_.host.address_of(shared_.host.node().leader());
      lock.unlock();
      const auto reply = request_warmup(leader, *request);
      lock.lock();
      if (reply) shared_.host.record_warmup_grants(requested, *reply);
      metrics_.counter_of("control_warmup_requests", reply ? "outcome=answered" : "outcome=failed")
          .add();
      const bool is_granted = reply && reply->grants_size() > 0;
      if (is_granted != has_leases)
        log_info(is_granted ? "warmup_leases_held" : "warmup_leases_lost")
            .with("leader", leader)
            .with("cold_upstreams", request->incarnations_size());
      has_leases = is_granted;
    }
    publish_warmup();
    stopped_.wait_for(lock,
                      shared_.host.upstreams().has_limits() ? check_interval : idle_check_interval);
  }
}

void flow_control_service::publish_warmup() {
  if (!shared_.host.upstreams().has_limits()) return;
  const auto status = shared_.host.warmup(monotonic_now());
  const auto set = [&](const char* name, auto value) {
    metrics_.gauge_of(name).set(static_cast<double>(value));
  };
  set("control_warmup_cold_upstreams", status.cold_upstreams);
  set("control_warmup_entry_leases", status.entry_leases);
  set("control_warmup_control_leases", status.control_leases);
  set("control_warmup_granted", status.granted);
  set("control_warmup_refused", status.refused);
}

} // namespace zinnia::controld
