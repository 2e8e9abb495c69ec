#include "control_client.h"

#include "control.pb.h"
#include "shared/unary_call.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <unordered_map>

namespace zinnia::entryd {
namespace {

// Shorter than the polling period, so an unresponsive control host costs only one poll.
constexpr std::chrono::milliseconds poll_timeout{800};
constexpr int reconnect_delay_ms = 200;
constexpr const char* sync_method = "/zinnia.wire.distribution/Sync";
// After this many failures in a row the connection may have stopped responding permanently and is
// replaced.
constexpr int failures_before_reconnect = 2;

} // namespace

struct control_client::implementation {
  struct connection {
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<std::atomic<int>> failures = std::make_shared<std::atomic<int>>(0);
  };

  struct poll {
    grpc::ClientContext context;
    wire::sync_reply reply;
  };

  explicit implementation(event_queue& queue) : events(queue) {}

  connection& connection_to(const std::string& address) {
    auto& target = connections[address];
    if (target.channel && *target.failures < failures_before_reconnect) return target;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_delay_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_delay_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_delay_ms);
    target.channel =
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    *target.failures = 0;
    return target;
  }

  event_queue& events;
  std::unordered_map<std::string, connection> connections;
};

control_client::control_client(event_queue& events)
    : implementation_(std::make_unique<implementation>(events)) {}

control_client::~control_client() = default;

void control_client::execute(const poll_control& effect) {
  auto& connection = implementation_->connection_to(effect.address);
  auto poll = std::make_shared<implementation::poll>();
  poll->context.set_deadline(std::chrono::system_clock::now() + poll_timeout);
  call_unary(connection.channel, sync_method, poll->context, effect.request, poll->reply,
             [poll, failures = connection.failures,
              &events = implementation_->events](const grpc::Status& status) {
               *failures = status.ok() ? 0 : *failures + 1;
               sync_finished event;
               if (status.ok()) event.reply = std::move(poll->reply);
               events.push(std::move(event));
             });
}

} // namespace zinnia::entryd
