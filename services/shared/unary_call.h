#pragma once

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/codegen/proto_utils.h>

#include <functional>
#include <memory>
#include <string>

namespace zinnia {

/// Calls a method and passes the status to `on_end`, on a thread of gRPC. The request is copied;
/// the context and the reply must live until then. Fails with StatusCode::INTERNAL when the reply
/// cannot be decoded; gRPC's generated stubs report success in that case and leave a part of the
/// fields set.
template <class Request, class Reply>
void call_unary(const std::shared_ptr<grpc::Channel>& channel, const std::string& method,
                grpc::ClientContext& context, const Request& request, Reply& reply,
                std::function<void(const grpc::Status&)> on_end) {
  struct call {
    explicit call(const std::shared_ptr<grpc::Channel>& to) : stub(to) {}

    grpc::GenericStub stub;
    grpc::ByteBuffer request;
    grpc::ByteBuffer reply;
  };
  auto running = std::make_shared<call>(channel);
  bool is_owned = false;
  const auto encoded =
      grpc::SerializationTraits<Request>::Serialize(request, &running->request, &is_owned);
  if (!encoded.ok()) return on_end(encoded);
  running->stub.UnaryCall(
      &context, method, {}, &running->request, &running->reply,
      [running, &reply, on_end = std::move(on_end)](const grpc::Status& status) {
        on_end(status.ok() ? grpc::SerializationTraits<Reply>::Deserialize(&running->reply, &reply)
                           : status);
      });
}

} // namespace zinnia
