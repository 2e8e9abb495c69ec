#include "registration_server.h"

#include "operator.grpc.pb.h"
#include "upstream.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <mutex>
#include <unordered_map>

namespace zinnia::entryd {
namespace {

// At shutdown, announcements without a reply after this time are dropped. The upstreams announce
// themselves again.
constexpr std::chrono::milliseconds shutdown_timeout{200};

} // namespace

struct registration_server::implementation {
  struct pending_reply {
    wire::announcement_reply* reply = nullptr;
    grpc::ServerUnaryReactor* reactor = nullptr;
  };

  class registration_service final : public wire::registration::CallbackService {
  public:
    explicit registration_service(implementation& state) : state_(state) {}

    grpc::ServerUnaryReactor* Announce(grpc::CallbackServerContext* context,
                                       const wire::announcement* request,
                                       wire::announcement_reply* reply) override {
      auto* reactor = context->DefaultReactor();
      std::uint64_t ticket = 0;
      {
        const std::scoped_lock lock(state_.mutex);
        ticket = ++state_.last_ticket;
        state_.pending[ticket] = {reply, reactor};
      }
      state_.events.push(announcement_received{ticket, *request});
      return reactor;
    }

  private:
    implementation& state_;
  };

  class telemetry_service final : public wire::telemetry::CallbackService {
  public:
    explicit telemetry_service(implementation& state) : state_(state) {}

    grpc::ServerUnaryReactor* Metrics(grpc::CallbackServerContext* context,
                                      const wire::metrics_request* /*request*/,
                                      wire::metrics_reply* reply) override {
      *reply = state_.read_metrics();
      auto* reactor = context->DefaultReactor();
      reactor->Finish(grpc::Status::OK);
      return reactor;
    }

  private:
    implementation& state_;
  };

  implementation(event_queue& queue, metrics_reader reader)
      : events(queue), read_metrics(std::move(reader)), registration(*this), telemetry(*this) {}

  event_queue& events;
  metrics_reader read_metrics;
  std::mutex mutex;
  std::uint64_t last_ticket = 0;
  std::unordered_map<std::uint64_t, pending_reply> pending;
  registration_service registration;
  telemetry_service telemetry;
  std::unique_ptr<grpc::Server> server;
};

registration_server::registration_server(std::unique_ptr<implementation> state)
    : implementation_(std::move(state)) {}

registration_server::~registration_server() {
  std::unordered_map<std::uint64_t, implementation::pending_reply> pending;
  {
    const std::scoped_lock lock(implementation_->mutex);
    pending = std::exchange(implementation_->pending, {});
  }
  for (auto& [ticket, it] : pending)
    it.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "this entry host is stopping"});
  implementation_->server->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
}

result<std::unique_ptr<registration_server>>
registration_server::create(const std::string& address, event_queue& events,
                            metrics_reader read_metrics) {
  auto state = std::make_unique<implementation>(events, std::move(read_metrics));
  grpc::ServerBuilder builder;
  int bound_port = 0;
  // With port reuse, two processes could bind the same address without an error.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
  builder.RegisterService(&state->registration);
  builder.RegisterService(&state->telemetry);
  state->server = builder.BuildAndStart();
  if (!state->server || bound_port == 0)
    return failure(error_kind::io, address, "cannot listen for upstreams' announcements");
  return std::unique_ptr<registration_server>(new registration_server(std::move(state)));
}

void registration_server::execute(const reply_to_announcement& effect) {
  implementation::pending_reply pending;
  {
    const std::scoped_lock lock(implementation_->mutex);
    const auto found = implementation_->pending.find(effect.ticket);
    if (found == implementation_->pending.end()) return;
    pending = found->second;
    implementation_->pending.erase(found);
  }
  *pending.reply = effect.reply;
  pending.reactor->Finish(grpc::Status::OK);
}

} // namespace zinnia::entryd
