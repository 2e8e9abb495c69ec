#include "flow_control_service.h"
#include "operator.grpc.pb.h"
#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

// Evacuations of zones of flow_control_service.

namespace zinnia::controld {
namespace {

using std::chrono::steady_clock;
using std::chrono::system_clock;

// Between attempts while there is no leader, or the known one does not reply.
constexpr milliseconds leader_check_interval{50};
// A follower learns of a commit with the next heartbeat, after at most 200 ms.
constexpr milliseconds local_apply_timeout{300};

flow_operations::answer answer_of(const wire::apply_reply& reply) {
  using outcome = flow_operations::outcome;
  if (reply.result() == wire::apply_reply::accepted) return {outcome::done, ""};
  if (reply.result() == wire::apply_reply::invalid) return {outcome::not_found, reply.cause()};
  if (reply.result() == wire::apply_reply::stale_base)
    return {outcome::unconfirmed, reply.cause() + "; repeat the order if it is still wanted"};
  return {outcome::unconfirmed, reply.cause()};
}

} // namespace

flow_operations::answer flow_control_service::order_zone(const std::string& zone,
                                                         zone_order order) {
  wire::evacuation_request request;
  request.set_author("operator");
  request.mutable_order()->set_zone(zone);
  request.mutable_order()->set_active(order == zone_order::evacuate);
  const auto reply = evacuate(std::move(request));
  const auto* result = wire::apply_reply::status_Name(reply.result()).c_str();
  log_info("zone_ordered")
      .with("ordered_zone", zone)
      .with("order", order == zone_order::evacuate ? "evacuate" : "restore")
      .with("outcome", result)
      .with("version", reply.revision());
  metrics_.counter_of("control_zone_orders", std::string("outcome=") + result).add();
  return answer_of(reply);
}

wire::apply_reply flow_control_service::evacuate(wire::evacuation_request request) {
  const auto until = steady_clock::now() + reply_timeout;
  const bool is_forwarded = request.order().has_base_version();
  std::unique_lock lock(shared_.mutex);
  if (!shared_.host.receive_evacuation(monotonic_now(), request))
    return shared_.host.unconfirmed_evacuation();
  // All attempts have one identifier, so that the order takes effect once.
  if (request.operation_id().empty())
    request.set_operation_id("zone " + std::to_string(shared_.host.source()) + " " +
                             std::to_string(++zone_orders_));
  while (!is_stopping_ && steady_clock::now() < until) {
    const auto submitted = shared_.host.evacuate(monotonic_now(), wall_ms(), request);
    execute_effects_();
    if (!submitted.reply) {
      std::optional<wire::apply_reply> out;
      shared_.changed.wait_until(lock, until, [&] {
        out = shared_.host.evacuation_reply_for(submitted.pending);
        return out.has_value() || is_stopping_;
      });
      return out ? *out : shared_.host.unconfirmed_evacuation();
    }
    if (submitted.reply->result() != wire::apply_reply::not_leader || is_forwarded)
      return *submitted.reply;
    if (const auto& leader = submitted.reply->leader_address(); !leader.empty()) {
      lock.unlock();
      const auto reply = forward(leader, request, until);
      lock.lock();
      if (reply) {
        // The base of the next order that this host receives then includes this one.
        if (reply->result() == wire::apply_reply::accepted)
          shared_.changed.wait_for(lock, local_apply_timeout, [&] {
            return shared_.host.evacuations().version() >= reply->revision() || is_stopping_;
          });
        return *reply;
      }
    }
    shared_.changed.wait_for(lock, leader_check_interval, [this] { return is_stopping_; });
  }
  return shared_.host.unconfirmed_evacuation();
}

std::optional<wire::apply_reply>
flow_control_service::forward(const std::string& leader, const wire::evacuation_request& request,
                              steady_clock::time_point until) {
  const auto operations = wire::operations::NewStub(open_control_channel(leader));
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + std::chrono::duration_cast<system_clock::duration>(
                                                 until - steady_clock::now()));
  wire::apply_reply reply;
  if (!operations->Evacuate(&context, request, &reply).ok()) return std::nullopt;
  // gRPC reports success for a reply that cannot be decoded.
  if (reply.result() == wire::apply_reply::not_leader ||
      reply.result() == wire::apply_reply::unanswered)
    return std::nullopt;
  return reply;
}

void flow_control_service::log_zone_changes() {
  for (const auto& it : shared_.host.take_zone_changes()) {
    log_info(name_of(it.type))
        .with("changed_zone", it.zone)
        .with("version", shared_.host.evacuations().version());
    if (view_writer_) view_writer_->wake();
  }
}

} // namespace zinnia::controld
