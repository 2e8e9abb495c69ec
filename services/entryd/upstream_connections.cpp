#include "upstream_connections.h"

#include "shared/unary_call.h"
#include "upstream.pb.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <unordered_map>

namespace zinnia::entryd {
namespace {

// A connection whose check takes longer has made no progress (docs/design.md R20).
constexpr std::chrono::milliseconds check_timeout{1000};
// Added to the deadline of a call. The upstream's report of a passed deadline then arrives before
// the call is cancelled.
constexpr std::chrono::milliseconds deadline_margin{200};
constexpr int min_reconnect_delay_ms = 100;
constexpr int max_reconnect_delay_ms = 500;

constexpr const char* serve_method = "/zinnia.wire.service_endpoint/Serve";
constexpr const char* check_method = "/zinnia.wire.service_endpoint/CheckConnection";

std::shared_ptr<grpc::Channel> connect(const std::string& address) {
  grpc::ChannelArguments arguments;
  // Retries by gRPC could execute a request twice (docs/design.md R7).
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // With a shared subchannel pool, a replacement channel would reuse the unresponsive connection.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_delay_ms);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_delay_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_delay_ms);
  auto channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
  channel->GetState(true);
  return channel;
}

dispatch_result result_of(const grpc::Status& status, wire::serve_reply& reply) {
  // No transport status proves that the request did not start (docs/design.md R7).
  if (!status.ok()) return {dispatch_outcome::lost, {}, {}};
  dispatch_result result;
  switch (reply.result()) {
  case wire::serve_reply::done:
    result.outcome = dispatch_outcome::done;
    break;
  case wire::serve_reply::wrong_identity:
  case wire::serve_reply::shedding:
  case wire::serve_reply::leaving:
  case wire::serve_reply::unknown_method:
    result.outcome = dispatch_outcome::refused_before_start;
    break;
  case wire::serve_reply::cancelled_before_start:
    result.outcome = dispatch_outcome::cancelled_before_start;
    break;
  case wire::serve_reply::content_changed:
    result.outcome = dispatch_outcome::content_changed;
    break;
  default:
    result.outcome = dispatch_outcome::failed_after_start;
    break;
  }
  result.payload = std::move(*reply.mutable_payload());
  result.content.set_version(reply.content_version());
  result.content.set_total_length(reply.content_length());
  result.content.set_digest(reply.content_digest());
  return result;
}

} // namespace

struct upstream_connections::implementation {
  // The objects that a running call uses. Owned by the callback of the call.
  struct call {
    std::uint64_t connection = 0;
    grpc::ClientContext context;
    wire::serve_reply reply;
  };

  struct check {
    grpc::ClientContext context;
    wire::connection_status reply;
  };

  explicit implementation(event_queue& queue) : events(queue) {}

  std::vector<std::shared_ptr<call>> calls_where(const std::function<bool(const call&)>& matches) {
    std::vector<std::shared_ptr<call>> found;
    const std::scoped_lock lock(calls_mutex);
    for (const auto& [number, weak] : calls)
      if (auto it = weak.lock(); it && matches(*it)) found.push_back(std::move(it));
    return found;
  }

  event_queue& events;
  std::unordered_map<std::uint64_t, std::shared_ptr<grpc::Channel>> connections;
  std::mutex calls_mutex;
  std::unordered_map<std::uint64_t, std::weak_ptr<call>> calls;
};

upstream_connections::upstream_connections(event_queue& events)
    : implementation_(std::make_unique<implementation>(events)) {}

upstream_connections::~upstream_connections() = default;

void upstream_connections::execute(const open_connection& effect) {
  implementation_->connections[effect.connection] = connect(effect.address);
}

void upstream_connections::execute(const close_connection& effect) {
  implementation_->connections.erase(effect.connection);
  // The destruction of a channel does not end its calls. The calls are cancelled outside the lock,
  // because their callbacks acquire the lock.
  for (const auto& it : implementation_->calls_where(
           [&](const auto& call) { return call.connection == effect.connection; }))
    it->context.TryCancel();
}

void upstream_connections::execute(const check_connection& effect) {
  const auto it = implementation_->connections.find(effect.connection);
  if (it == implementation_->connections.end()) return;
  auto check = std::make_shared<implementation::check>();
  check->context.set_deadline(std::chrono::system_clock::now() + check_timeout);
  wire::connection_check request;
  request.set_upstream_incarnation(effect.upstream.value);
  call_unary(it->second, check_method, check->context, request, check->reply,
             [check, effect, &events = implementation_->events](const grpc::Status& status) {
               connection_checked event{effect.upstream, effect.connection, std::nullopt};
               if (status.ok()) event.status = check->reply;
               events.push(std::move(event));
             });
}

void upstream_connections::execute(const start_call& effect) {
  auto& events = implementation_->events;
  const auto it = implementation_->connections.find(effect.connection);
  if (it == implementation_->connections.end() ||
      it->second->GetState(true) != GRPC_CHANNEL_READY) {
    events.push(call_finished{effect.call, {dispatch_outcome::not_written, {}, {}}});
    return;
  }
  auto call = std::make_shared<implementation::call>();
  call->connection = effect.connection;
  call->context.set_deadline(std::chrono::system_clock::now() +
                             std::chrono::milliseconds(effect.request.deadline_ms()) +
                             deadline_margin);
  {
    const std::scoped_lock lock(implementation_->calls_mutex);
    implementation_->calls[effect.call] = call;
  }
  call_unary(it->second, serve_method, call->context, effect.request, call->reply,
             [call, number = effect.call, &state = *implementation_](const grpc::Status& status) {
               {
                 const std::scoped_lock lock(state.calls_mutex);
                 state.calls.erase(number);
               }
               state.events.push(call_finished{number, result_of(status, call->reply)});
             });
}

void upstream_connections::execute(const cancel_call& effect) {
  std::shared_ptr<implementation::call> call;
  {
    const std::scoped_lock lock(implementation_->calls_mutex);
    const auto it = implementation_->calls.find(effect.call);
    if (it != implementation_->calls.end()) call = it->second.lock();
  }
  if (call) call->context.TryCancel();
}

} // namespace zinnia::entryd
