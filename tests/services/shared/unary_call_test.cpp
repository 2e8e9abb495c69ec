#include "shared/unary_call.h"

#include "upstream.pb.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <grpcpp/generic/async_generic_service.h>
#include <thread>

namespace zinnia {
namespace {

/// Answers one call with the given bytes.
class raw_server {
public:
  explicit raw_server(std::string answer) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterAsyncGenericService(&service_);
    queue_ = builder.AddCompletionQueue();
    server_ = builder.BuildAndStart();
    worker_ = std::thread([this, answer = std::move(answer)] { serve(answer); });
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  ~raw_server() {
    worker_.join();
    server_->Shutdown();
    queue_->Shutdown();
    void* tag = nullptr;
    bool is_ok = false;
    while (queue_->Next(&tag, &is_ok)) {
    }
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  void wait() {
    void* tag = nullptr;
    bool is_ok = false;
    queue_->Next(&tag, &is_ok);
  }

  void serve(const std::string& answer) {
    grpc::GenericServerContext context;
    grpc::GenericServerAsyncReaderWriter stream(&context);
    service_.RequestCall(&context, &stream, queue_.get(), queue_.get(), nullptr);
    wait();
    grpc::ByteBuffer request;
    stream.Read(&request, nullptr);
    wait();
    const grpc::Slice slice(answer);
    const grpc::ByteBuffer reply(&slice, 1);
    stream.WriteAndFinish(reply, {}, grpc::Status::OK, nullptr);
    wait();
  }

  grpc::AsyncGenericService service_;
  std::unique_ptr<grpc::ServerCompletionQueue> queue_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
  std::thread worker_;
};

// gRPC 1.51 ends its callback threads with the last channel that has used them, and aborts when
// that channel is destroyed on one of these threads. This channel outlives the calls of the tests.
struct callback_threads {
  callback_threads() {
    std::promise<void> ended;
    auto is_ended = ended.get_future();
    context.set_deadline(std::chrono::system_clock::now());
    call_unary(channel, "/zinnia.wire.service_endpoint/Serve", context, wire::serve_request(),
               reply, [&](const grpc::Status& /*status*/) { ended.set_value(); });
    is_ended.wait();
  }

  std::shared_ptr<grpc::Channel> channel =
      grpc::CreateChannel("127.0.0.1:1", grpc::InsecureChannelCredentials());
  grpc::ClientContext context;
  wire::serve_reply reply;
};

/// Calls a server that answers with the given bytes.
grpc::Status call(const std::string& answer, wire::serve_reply& reply) {
  const raw_server server(answer);
  const auto channel = grpc::CreateChannel(server.address(), grpc::InsecureChannelCredentials());
  grpc::ClientContext context;
  std::promise<grpc::Status> ended;
  call_unary(channel, "/zinnia.wire.service_endpoint/Serve", context, wire::serve_request(), reply,
             [&](const grpc::Status& status) { ended.set_value(status); });
  return ended.get_future().get();
}

wire::serve_reply complete_reply() {
  wire::serve_reply out;
  out.set_result(wire::serve_reply::done);
  out.set_payload("the whole answer");
  out.set_content_length(16);
  return out;
}

BOOST_TEST_GLOBAL_FIXTURE(callback_threads);

BOOST_AUTO_TEST_SUITE(unary_call_test)

BOOST_AUTO_TEST_CASE(reply_is_decoded) {
  wire::serve_reply reply;
  BOOST_TEST(call(complete_reply().SerializeAsString(), reply).ok());
  BOOST_TEST(reply.payload() == "the whole answer");
}

// Guards against an answer that broke off and reaches the caller as a complete, empty success:
// `done` is the default of the result.
BOOST_AUTO_TEST_CASE(reply_that_cannot_be_decoded_is_a_failure) {
  const auto text = complete_reply().SerializeAsString();
  for (const std::size_t length : {std::size_t{1}, text.size() / 2, text.size() - 1}) {
    wire::serve_reply reply;
    BOOST_TEST(!call(text.substr(0, length), reply).ok(), "first " << length << " bytes");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace zinnia
