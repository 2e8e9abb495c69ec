#include "flow_control_service.h"
#include "zinniarelay/flow/route_table.h"
#include "zinniarelay/observe/log_line.h"

#include <sstream>

// Declarations and reads of flow_control_service.

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

constexpr milliseconds forward_timeout{800};

const char* name_of(flow_operations::outcome value) {
  switch (value) {
  case flow_operations::outcome::done:
    return "done";
  case flow_operations::outcome::invalid:
    return "invalid";
  case flow_operations::outcome::not_found:
    return "not_found";
  case flow_operations::outcome::unconfirmed:
    return "unsure";
  }
  return "unknown";
}

/// Records the duration of an operation, in milliseconds, at the end of its scope.
class scoped_timer {
public:
  scoped_timer(metric_registry& metrics, const char* name)
      : durations_(metrics.distribution_of(name)), started_(monotonic_now()) {}
  scoped_timer(const scoped_timer&) = delete;
  scoped_timer& operator=(const scoped_timer&) = delete;
  ~scoped_timer() {
    const std::chrono::duration<double, std::milli> duration = monotonic_now() - started_;
    durations_.record(duration.count());
  }

private:
  distribution& durations_;
  time_point started_;
};

std::string text_of(const std::vector<error>& defects) {
  std::ostringstream out;
  for (const auto& it : defects)
    out << (out.tellp() > 0 ? "; " : "") << it;
  return out.str();
}

} // namespace

flow_operations::answer
flow_control_service::apply_version(const wire::versioned_declaration& proposed) {
  const scoped_timer timer(metrics_, "control_apply_ms");
  const auto version = proposed.declaration().version();
  if (const auto defects = flow_declaration_errors(proposed.declaration()); !defects.empty()) {
    log_warning("declaration_refused").with("version", version).with("cause", text_of(defects));
    metrics_.counter_of("control_declarations", "outcome=invalid").add();
    return {outcome::invalid, text_of(defects)};
  }
  wire::version_request request;
  *request.mutable_proposed() = proposed;
  request.set_author("operator");
  auto reply = apply_locally(request);
  if (reply.result() == wire::version_reply::not_leader && !reply.leader_address().empty()) {
    const auto leader = reply.leader_address();
    grpc::ClientContext context;
    context.set_deadline(system_clock::now() + forward_timeout);
    const auto status = stub_of(leader)->ApplyVersion(&context, request, &reply);
    if (!status.ok()) {
      reply.set_result(wire::version_reply::not_confirmed);
      remove_stub(leader);
    }
  }
  const bool is_accepted = reply.result() == wire::version_reply::accepted;
  log_info("declaration_proposed")
      .with("version", version)
      .with("outcome", wire::version_reply::status_Name(reply.result()))
      .with("leader", reply.leader_address());
  const auto result = is_accepted ? outcome::done : outcome::unconfirmed;
  metrics_.counter_of("control_declarations", std::string("outcome=") + name_of(result)).add();
  if (is_accepted) return {outcome::done, ""};
  return {outcome::unconfirmed, "no quorum has confirmed the declaration in time"};
}

wire::version_reply flow_control_service::apply_locally(const wire::version_request& request) {
  std::unique_lock lock(shared_.mutex);
  const auto submitted = shared_.host.apply_version(monotonic_now(), wall_ms(), request);
  execute_effects_();
  if (submitted.reply) return *submitted.reply;
  std::optional<wire::version_reply> out;
  shared_.changed.wait_for(lock, reply_timeout, [&] {
    out = shared_.host.version_reply_for(submitted.pending);
    return out.has_value() || is_stopping_;
  });
  return out ? *out : shared_.host.unconfirmed_version();
}

grpc::Status flow_control_service::ApplyVersion(grpc::ServerContext* /*context*/,
                                                const wire::version_request* request,
                                                wire::version_reply* reply) {
  *reply = apply_locally(*request);
  return grpc::Status::OK;
}

// Reads.

wire::read_reply flow_control_service::read_locally() {
  std::unique_lock lock(shared_.mutex);
  const auto pending = shared_.host.begin_read(monotonic_now());
  execute_effects_();
  if (!pending) return {};
  std::optional<wire::read_reply> out;
  shared_.changed.wait_for(lock, reply_timeout, [&] {
    out = shared_.host.read_reply_for(*pending);
    return out.has_value() || is_stopping_;
  });
  return out.value_or(wire::read_reply());
}

wire::read_reply flow_control_service::read_index() {
  std::string leader;
  {
    const std::lock_guard lock(shared_.mutex);
    const auto& node = shared_.host.node();
    if (node.role() != raft_role::leader) leader = shared_.host.address_of(node.leader());
    if (node.role() != raft_role::leader && leader.empty()) return {};
  }
  if (leader.empty()) return read_locally();
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + forward_timeout);
  wire::read_reply reply;
  if (stub_of(leader)->Read(&context, wire::read_request(), &reply).ok()) return reply;
  remove_stub(leader);
  return {};
}

std::optional<std::string> flow_control_service::read_document() {
  const scoped_timer timer(metrics_, "control_read_ms");
  const auto until = std::chrono::steady_clock::now() + reply_timeout;
  const auto confirmed = read_index();
  std::unique_lock lock(shared_.mutex);
  const auto is_applied = [&] {
    return shared_.host.applied_index() >= confirmed.index() || is_stopping_;
  };
  if (!confirmed.confirmed() || !shared_.changed.wait_until(lock, until, is_applied)) {
    metrics_.counter_of("control_reads", "outcome=unconfirmed").add();
    log_warning("read_unconfirmed").with("applied_index", shared_.host.applied_index());
    return std::nullopt;
  }
  metrics_.counter_of("control_reads", "outcome=confirmed").add();
  if (shared_.host.flows().declaration().version() == 0) return std::nullopt;
  return shared_.host.flows().document();
}

grpc::Status flow_control_service::Read(grpc::ServerContext* /*context*/,
                                        const wire::read_request* /*request*/,
                                        wire::read_reply* reply) {
  *reply = read_locally();
  return grpc::Status::OK;
}

} // namespace zinnia::controld
