#include "control_server.h"

#include "control.grpc.pb.h"
#include "flow_control_service.h"
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
constexpr milliseconds operation_timeout{2'500};
constexpr milliseconds reopening_interval{500};
constexpr int max_waiting_operations = 64;
constexpr int max_message_bytes = 64 * 1024 * 1024;

class server_impl final : public control_server,
                          public wire::operations::Service,
                          public wire::distribution::Service,
                          public wire::replication::Service,
                          public wire::telemetry::Service {
public:
  server_impl(control_host host, flow_control_service_settings settings)
      : shared_(std::move(host)),
        flows_(shared_, std::move(settings), [this] { execute_effects(); }),
        tick_gaps_(flows_.metrics().distribution_of("control_tick_gap_ms")) {}
  server_impl(const server_impl&) = delete;
  server_impl& operator=(const server_impl&) = delete;
  ~server_impl() override { stop(); }

  bool listen(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    // With port reuse, two daemons could bind one port, and each would receive a part of the calls.
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
    std::optional<error> out;
    {
      const std::lock_guard lock(shared_.mutex);
      const auto now = monotonic_now();
      if (last_tick_ != time_point{})
        tick_gaps_.record(std::chrono::duration<double, std::milli>(now - last_tick_).count());
      last_tick_ = now;
      shared_.host.tick(now);
      execute_effects();
      if (shared_.host.fault()) out = recover(now);
    }
    flows_.send_updates();
    return out;
  }

  flow_operations& flows() override { return flows_; }

  wire::metrics_reply metrics() override {
    const std::lock_guard lock(shared_.mutex);
    auto out = shared_.host.metrics(monotonic_now());
    out.MergeFrom(flows_.metrics().report());
    return out;
  }

  metric_registry& flow_metrics() override { return flows_.metrics(); }

  void set_seeds(std::vector<std::string> seeds) override { flows_.set_seeds(std::move(seeds)); }

  void record_presence(const endpoint& entry_host) override {
    const std::lock_guard lock(shared_.mutex);
    shared_.host.notices().record_presence(monotonic_now(), entry_host);
  }

  void record_load(const endpoint& entry_host, const wire::flow_load& report) override {
    flows_.record_load(entry_host, report);
  }

  std::vector<endpoint> take_due_notices() override {
    const std::lock_guard lock(shared_.mutex);
    return shared_.host.notices().take_due(monotonic_now());
  }

  std::uint64_t source() override {
    const std::lock_guard lock(shared_.mutex);
    return shared_.host.source();
  }

  void stop() override {
    flows_.stop();
    if (server_) server_->Shutdown(system_clock::now() + operation_timeout);
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

  grpc::Status Evacuate(grpc::ServerContext* /*context*/, const wire::evacuation_request* request,
                        wire::apply_reply* reply) override {
    *reply = flows_.evacuate(*request);
    return grpc::Status::OK;
  }

  grpc::Status Zones(grpc::ServerContext* /*context*/, const wire::zones_request* /*request*/,
                     wire::zones_reply* reply) override {
    const std::lock_guard lock(shared_.mutex);
    *reply = shared_.host.zones();
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

  // Returns the message for the sender as the reply to its call. A host that is about to join
  // does not have the sender's address yet.
  grpc::Status Exchange(grpc::ServerContext* /*context*/, const wire::raft_message* request,
                        wire::raft_message* reply) override {
    const std::lock_guard lock(shared_.mutex);
    shared_.host.receive(monotonic_now(), *request);
    execute_effects(request->from(), reply);
    return grpc::Status::OK;
  }

private:
  /// Reopens the storage after a failed write, once per interval until it succeeds. Returns the
  /// error for which the process must stop, if any.
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

  /// Sends the messages and logs the warnings of the host. The first message to `sender` is
  /// stored in `reply` instead.
  void execute_effects(std::uint64_t sender = 0, wire::raft_message* reply = nullptr) {
    for (const auto& it : shared_.host.take_warnings())
      log_replication_warning(it);
    for (auto& message : shared_.host.take_messages()) {
      if (reply != nullptr && message.to() == sender) {
        *reply = std::move(message);
        reply = nullptr;
      } else {
        send(std::move(message));
      }
    }
    shared_.changed.notify_all();
    flows_.on_progress();
  }

  // A misconfigured member causes the same warning with each of its messages. Each warning is
  // therefore logged at most once per interval.
  void log_replication_warning(const std::string& cause) {
    constexpr milliseconds repeat_interval{10'000};
    constexpr std::size_t max_remembered = 256; // warnings
    if (warned_at_.size() > max_remembered) warned_at_.clear();
    const auto now = monotonic_now();
    const auto [it, is_new] = warned_at_.try_emplace(cause, now);
    if (!is_new && now - it->second < repeat_interval) return;
    it->second = now;
    log_warning("replication_complaint").with("cause", cause);
  }

  void send(wire::raft_message message) {
    const auto address = shared_.host.address_of(message.to());
    if (address.empty() || is_stopping_) return;
    auto& slot = peers_[message.to()];
    if (!slot || slot->address() != address) {
      // The destructor joins the thread of the old link, and this function may run on that
      // thread. The link is therefore destroyed in stop().
      if (slot) retired_.push_back(std::move(slot));
      slot = std::make_unique<peer_link>(address, [this](wire::raft_message reply) {
        const std::lock_guard lock(shared_.mutex);
        shared_.host.receive(monotonic_now(), std::move(reply));
        execute_effects();
      });
    }
    slot->send(std::move(message));
  }

  /// Submits an operation and waits for its reply. `reply_for` returns the reply to a ticket once
  /// there is one. `unconfirmed` returns the reply for a timeout and for too many waiting
  /// operations.
  template <class Reply, class Submit, class ReplyFor, class Unconfirmed>
  Reply run(const Submit& submit, const ReplyFor& reply_for, const Unconfirmed& unconfirmed) {
    std::unique_lock lock(shared_.mutex);
    if (waiting_operations_ >= max_waiting_operations) return unconfirmed();
    const auto submitted = submit(monotonic_now());
    execute_effects();
    if (submitted.reply) return *submitted.reply;
    ++waiting_operations_;
    std::optional<Reply> out;
    shared_.changed.wait_for(lock, operation_timeout, [&] {
      out = reply_for(submitted.pending);
      return out.has_value();
    });
    --waiting_operations_;
    return out ? *out : unconfirmed();
  }

  host_state shared_;
  flow_control_service flows_;
  distribution& tick_gaps_; ///< long ones show that the host lacks processor time
  time_point last_tick_;
  std::map<std::uint64_t, std::unique_ptr<peer_link>> peers_; ///< by member id
  std::vector<std::unique_ptr<peer_link>> retired_;           ///< links to former addresses
  std::map<std::string, time_point> warned_at_;               ///< last log line of each warning
  std::optional<time_point> next_reopening_;                  ///< set while writes fail
  int waiting_operations_ = 0;
  bool is_stopping_ = false;
  std::unique_ptr<grpc::Server> server_;
};

} // namespace

result<std::unique_ptr<control_server>>
control_server::start(control_host host, const std::string& address,
                      flow_control_service_settings settings) {
  auto server = std::make_unique<server_impl>(std::move(host), std::move(settings));
  if (!server->listen(address))
    return failure(error_kind::io, address, "cannot be bound for serving");
  return std::unique_ptr<control_server>(std::move(server));
}

} // namespace zinnia::controld
