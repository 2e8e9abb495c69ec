#pragma once

#include "control.pb.h"
#include "operator.grpc.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/operate/operator_transport.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace zinnia {

/// Sends the calls of operators over gRPC. Thread-safe.
class grpc_transport : public operator_transport {
public:
  explicit grpc_transport(milliseconds call_deadline) : call_deadline_(call_deadline) {}

  result<wire::apply_reply> apply(const endpoint& host,
                                  const wire::apply_request& request) override;
  result<wire::diff_reply> diff(const endpoint& host, const wire::apply_request& request) override;
  result<wire::apply_reply> drain(const endpoint& host,
                                  const wire::drain_request& request) override;
  result<wire::apply_reply> evacuate(const endpoint& host,
                                     const wire::evacuation_request& request) override;
  result<wire::members_reply> change_members(const endpoint& host,
                                             const wire::members_request& request) override;
  result<wire::zones_reply> zones(const endpoint& host);
  result<wire::status_reply> status(const endpoint& host);
  result<wire::audit_reply> audit(const endpoint& host, const wire::audit_request& request);
  result<wire::metrics_reply> metrics(const endpoint& host);

private:
  template <class Service, class Request, class Reply>
  result<Reply> call(const endpoint& host,
                     grpc::Status (Service::Stub::*method)(grpc::ClientContext*, const Request&,
                                                           Reply*),
                     const Request& request);

  std::shared_ptr<grpc::Channel> channel_to(const endpoint& host);

  milliseconds call_deadline_;
  std::mutex mutex_;
  std::unordered_map<endpoint, std::shared_ptr<grpc::Channel>> channels_;
};

} // namespace zinnia
