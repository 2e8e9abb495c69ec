#include "control_server.h"

#include "control.grpc.pb.h"
#include "flow_front.h"
#include "operator.grpc.pb.h"
#include "peer_link.h"
#include "zinniarelay/observe/log_line.h"

#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

// Longer than an election, shorter than the 3 s in which a change has to be in force.
constexpr milliseconds operation_wait{2'500};
constexpr milliseconds reopening_interval{500};
constexpr int max_waiting_operations = 64;
constexpr int max_message_bytes = 64 * 1024 * 1024;

class server_impl final : public control_server,
                          public wire::operations::Service,
                          public wire::distribution::Service,
                          public wire::replication::Service,
                          public wire::telemetry::Service {
public:
  server_impl(control_host host, flow_front_settings settings)
      : shared_(std::move(host)), flows_(shared_, std::move(settings), [this] { carry_out(); }) {}
  server_impl(const server_impl&) = delete;
  server_impl& operator=(const server_impl&) = delete;
  ~server_impl() override { stop(); }

  bool listen(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    // Two daemons on one port would each get a part of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(static_cast<wire::operations::Service*>(this));
    builder.RegisterService(static_cast<wire::distribution::Service*>(this));
    builder.RegisterService(static_cast<wire::replication::Service*>(this));
    builder.RegisterService(static_cast<wire::telemetry::Service*>(this));
    builder.RegisterService(&flows_);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port == 0) return false;
    flows_.start();
    return true;
  }

  std::optional<error> tick() override {
    const std::lock_guard lock(shared_.mutex);
    const auto now = monotonic_now();
    shared_.host.tick(now);
    carry_out();
    return shared_.host.fault() ? recover(now) : std::nullopt;
  }

  flow_operations& flows() override { return flows_; }

  wire::metrics_reply metrics() override {
    const std::lock_guard lock(shared_.mutex);
    auto out = shared_.host.metrics(monotonic_now());
    out.MergeFrom(flows_.metrics().report());
    return out;
  }

  void set_seeds(std::vector<std::string> seeds) override { flows_.set_seeds(std::move(seeds)); }

  void stop() override {
    flows_.stop();
    if (server_) server_->Shutdown(system_clock::now() + operation_wait);
    server_.reset();
    std::map<std::uint64_t, std::unique_ptr<peer_link>> peers;
    std::vector<std::unique_ptr<peer_link>> retired;
    {
      const std::lock_guard lock(shared_.mutex);
      is_stopping_ = true;
      peers.swap(peers_);
      retired.swap(retired_);
    }
  }

  grpc::Status Apply(grpc::ServerContext* /*context*/, const wire::apply_request* request,
                     wire::apply_reply* reply) override {
    *reply = run<wire::apply_reply>(
        [&](auto now) { return shared_.host.apply(now, wall_ms(), *request); },
        [&](const auto& ticket) { return shared_.host.apply_reply_for(ticket, *request); },
        [&] { return shared_.host.unconfirmed_apply(); });
    return grpc::Status::OK;
  }

  grpc::Status Drain(grpc::ServerContext* /*context*/, const wire::drain_request* request,
                     wire::apply_reply* reply) override {
    *reply = run<wire::apply_reply>(
        [&](auto now) { return shared_.host.drain(now, wall_ms(), *request); },
        [&](const auto& ticket) { return shared_.host.drain_reply_for(ticket); },
        [&] { return shared_.host.unconfirmed_apply(); });
    return grpc::Status::OK;
  }

  grpc::Status ChangeMembers(grpc::ServerContext* /*context*/, const wire::members_request* request,
                             wire::members_reply* reply) override {
    *reply = run<wire::members_reply>(
        [&](auto now) { return shared_.host.change_members(now, wall_ms(), *request); },
        [&](const auto& ticket) { return shared_.host.members_reply_for(ticket); },
        [&] { return shared_.host.unconfirmed_members(); });
    return grpc::Status::OK;
  }

  grpc::Status Diff(grpc::ServerContext* /*context*/, const wire::apply_request* request,
                    wire::diff_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.diff(*request);
    return grpc::Status::OK;
  }

  grpc::Status Status(grpc::ServerContext* /*context*/, const wire::status_request* /*request*/,
                      wire::status_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.status(monotonic_now());
    return grpc::Status::OK;
  }

  grpc::Status Audit(grpc::ServerContext* /*context*/, const wire::audit_request* request,
                     wire::audit_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.audit(*request);
    return grpc::Status::OK;
  }

  grpc::Status Metrics(grpc::ServerContext* /*context*/, const wire::metrics_request* /*request*/,
                       wire::metrics_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.metrics(monotonic_now());
    return grpc::Status::OK;
  }

  grpc::Status Sync(grpc::ServerContext* /*context*/, const wire::sync_request* request,
                    wire::sync_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.sync(monotonic_now(), *request);
    return grpc::Status::OK;
  }

  // The answer to the sender goes back on its own call, because a host that is
  // about to join does not know the sender's address.
  grpc::Status Exchange(grpc::ServerContext* /*context*/, const wire::raft_message* request,
                        wire::raft_message* reply) override {
    const std::lock_guard lock(shared_.mutex);
    shared_.host.receive(monotonic_now(), *request);
    carry_out(request->from(), reply);
    return grpc::Status::OK;
  }

private:
  std::optional<error> recover(time_point now) {
    if (!next_reopening_) {
      log_error("storage_failed").with(*shared_.host.fault());
      next_reopening_ = now + reopening_interval;
    }
    if (now < *next_reopening_) return std::nullopt;
    const auto reopened = shared_.host.reopen(now);
    if (!reopened.has_value() && reopened.error().kind != error_kind::io) return reopened.error();
    next_reopening_ = now + reopening_interval;
    if (!reopened.has_value()) return std::nullopt;
    next_reopening_.reset();
    log_info("storage_regained").with("applied_index", shared_.host.applied_index());
    return std::nullopt;
  }

  void carry_out(std::uint64_t asking = 0, wire::raft_message* answer = nullptr) {
    for (const auto& it : shared_.host.take_warnings())
      log_complaint(it);
    for (auto& message : shared_.host.take_messages()) {
      if (answer != nullptr && message.to() == asking) {
        *answer = std::move(message);
        answer = nullptr;
      } else {
        send(std::move(message));
      }
    }
    shared_.changed.notify_all();
    flows_.note_progress();
  }

  // A wrongly set up member causes the same complaint with each of its messages.
  void log_complaint(const std::string& cause) {
    constexpr milliseconds repeat_after{10'000};
    constexpr std::size_t max_remembered = 256;
    if (complained_.size() > max_remembered) complained_.clear();
    const auto now = monotonic_now();
    const auto [it, is_new] = complained_.try_emplace(cause, now);
    if (!is_new && now - it->second < repeat_after) return;
    it->second = now;
    log_warning("replication_complaint").with("cause", cause);
  }

  void send(wire::raft_message message) {
    const auto address = shared_.host.address_of(message.to());
    if (address.empty() || is_stopping_) return;
    auto& slot = peers_[message.to()];
    if (!slot || slot->address() != address) {
      // This may run on the old peer's own thread, which cannot wait for itself.
      if (slot) retired_.push_back(std::move(slot));
      slot = std::make_unique<peer_link>(address, [this](wire::raft_message answer) {
        const std::lock_guard lock(shared_.mutex);
        shared_.host.receive(monotonic_now(), std::move(answer));
        carry_out();
      });
    }
    slot->send(std::move(message));
  }

  template <class Reply, class Submit, class Answer, class Unconfirmed>
  Reply run(const Submit& submit, const Answer& answer, const Unconfirmed& unconfirmed) {
    std::unique_lock lock(shared_.mutex);
    if (waiting_ >= max_waiting_operations) return unconfirmed();
    const auto submitted = submit(monotonic_now());
    carry_out();
    if (submitted.reply) return *submitted.reply;
    ++waiting_;
    std::optional<Reply> out;
    shared_.changed.wait_for(lock, operation_wait, [&] {
      out = answer(submitted.pending);
      return out.has_value();
    });
    --waiting_;
    return out ? *out : unconfirmed();
  }

  host_state shared_;
  flow_front flows_;
  std::map<std::uint64_t, std::unique_ptr<peer_link>> peers_;
  std::vector<std::unique_ptr<peer_link>> retired_;
  std::map<std::string, time_point> complained_;
  std::optional<time_point> next_reopening_; ///< set while writes fail
  int waiting_ = 0;
  bool is_stopping_ = false;
  std::unique_ptr<grpc::Server> server_;
};

} // namespace

result<std::unique_ptr<control_server>>
control_server::start(control_host host, const std::string& address, flow_front_settings settings) {
  auto server = std::make_unique<server_impl>(std::move(host), std::move(settings));
  if (!server->listen(address))
    return failure(error_kind::io, address, "cannot be bound for serving");
  return std::unique_ptr<control_server>(std::move(server));
}

} // namespace zinnia::controld
