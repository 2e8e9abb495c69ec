#include "grpc_transport.h"

namespace zinnia {
namespace {

/// Returns true if the status means that the host refused the call without executing it. After any
/// other error, the host may have executed the call.
bool is_refusal(grpc::StatusCode code) {
  switch (code) {
  case grpc::StatusCode::UNIMPLEMENTED:
  case grpc::StatusCode::INVALID_ARGUMENT:
  case grpc::StatusCode::PERMISSION_DENIED:
  case grpc::StatusCode::UNAUTHENTICATED:
    return true;
  default:
    return false;
  }
}

} // namespace

std::shared_ptr<grpc::Channel> grpc_transport::channel_to(const endpoint& host) {
  const std::lock_guard lock(mutex_);
  auto& channel = channels_[host];
  if (!channel) {
    grpc::ChannelArguments arguments;
    // Only operator_client retries, with the same operation id (docs/design.md R7, R27).
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channel =
        grpc::CreateCustomChannel(host.to_string(), grpc::InsecureChannelCredentials(), arguments);
  }
  return channel;
}

template <class Service, class Request, class Reply>
result<Reply> grpc_transport::call(const endpoint& host,
                                   grpc::Status (Service::Stub::*method)(grpc::ClientContext*,
                                                                         const Request&, Reply*),
                                   const Request& request) {
  const auto stub = Service::NewStub(channel_to(host));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + call_deadline_);
  Reply reply;
  const auto status = ((*stub).*method)(&context, request, &reply);
  if (status.ok()) return reply;
  return failure(is_refusal(status.error_code()) ? error_kind::malformed : error_kind::unavailable,
                 host.to_string(), status.error_message());
}

result<wire::apply_reply> grpc_transport::apply(const endpoint& host,
                                                const wire::apply_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::Apply, request);
}

result<wire::diff_reply> grpc_transport::diff(const endpoint& host,
                                              const wire::apply_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::Diff, request);
}

result<wire::apply_reply> grpc_transport::drain(const endpoint& host,
                                                const wire::drain_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::Drain, request);
}

result<wire::apply_reply> grpc_transport::evacuate(const endpoint& host,
                                                   const wire::evacuation_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::Evacuate, request);
}

result<wire::zones_reply> grpc_transport::zones(const endpoint& host) {
  return call<wire::operations>(host, &wire::operations::Stub::Zones, wire::zones_request());
}

result<wire::members_reply> grpc_transport::change_members(const endpoint& host,
                                                           const wire::members_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::ChangeMembers, request);
}

result<wire::status_reply> grpc_transport::status(const endpoint& host) {
  return call<wire::operations>(host, &wire::operations::Stub::Status, wire::status_request());
}

result<wire::audit_reply> grpc_transport::audit(const endpoint& host,
                                                const wire::audit_request& request) {
  return call<wire::operations>(host, &wire::operations::Stub::Audit, request);
}

result<wire::metrics_reply> grpc_transport::metrics(const endpoint& host) {
  return call<wire::telemetry>(host, &wire::telemetry::Stub::Metrics, wire::metrics_request());
}

} // namespace zinnia
