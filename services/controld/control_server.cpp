#include "control_server.h"

#include "control.grpc.pb.h"
#include "operator.grpc.pb.h"
#include "zinniarelay/observe/log_line.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

// Longer than an election, shorter than the 3 s in which a change has to be in force.
constexpr milliseconds operation_wait{2'500};
constexpr milliseconds exchange_deadline{500};
constexpr std::size_t max_queued_messages = 64;
constexpr int max_waiting_operations = 64;
constexpr int max_message_bytes = 64 * 1024 * 1024;
// After this many calls without an answer the connection counts as silent (P10).
constexpr int silent_after_failures = 3;

std::uint64_t wall_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

/// Sends messages to one member, in order and one at a time.
class peer {
public:
  using answer_handler = std::function<void(wire::raft_message)>;

  peer(std::string address, answer_handler on_answer)
      : address_(std::move(address)), on_answer_(std::move(on_answer)), worker_([this] { run(); }) {
  }
  peer(const peer&) = delete;
  peer& operator=(const peer&) = delete;
  ~peer() {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_all();
    worker_.join();
  }

  const std::string& address() const { return address_; }

  void send(wire::raft_message message) {
    const std::lock_guard lock(mutex_);
    // Later messages repeat what earlier ones said, so that the oldest can go.
    if (queue_.size() == max_queued_messages) queue_.pop_front();
    queue_.push_back({std::move(message), monotonic_now()});
    changed_.notify_all();
  }

private:
  struct queued_message {
    wire::raft_message message;
    time_point queued;
  };

  void connect() {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    // A shared pool would hand the silent connection out again.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    stub_ = wire::replication::NewStub(
        grpc::CreateCustomChannel(address_, grpc::InsecureChannelCredentials(), arguments));
  }

  bool exchange(const wire::raft_message& message) {
    grpc::ClientContext context;
    context.set_deadline(system_clock::now() + exchange_deadline);
    wire::raft_message answer;
    const auto status = stub_->Exchange(&context, message, &answer);
    if (!status.ok()) return false;
    if (answer.from() != 0) on_answer_(std::move(answer));
    return true;
  }

  void run() {
    connect();
    int failures = 0;
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
      if (queue_.empty()) {
        changed_.wait(lock);
        continue;
      }
      const auto [message, queued] = std::move(queue_.front());
      queue_.pop_front();
      // The contact to a quorum that a message reports would look more recent
      // than it is after a wait for a silent member.
      if (monotonic_now() - queued > exchange_deadline) continue;
      lock.unlock();
      failures = exchange(message) ? 0 : failures + 1;
      if (failures == silent_after_failures) {
        connect();
        failures = 0;
      }
      lock.lock();
    }
  }

  std::string address_;
  answer_handler on_answer_;
  std::unique_ptr<wire::replication::Stub> stub_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<queued_message> queue_;
  bool is_stopping_ = false;
  std::thread worker_;
};

class server_impl final : public control_server,
                          public wire::operations::Service,
                          public wire::distribution::Service,
                          public wire::replication::Service,
                          public wire::telemetry::Service {
public:
  explicit server_impl(control_host host) : host_(std::move(host)) {}
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
    server_ = builder.BuildAndStart();
    return server_ != nullptr && port != 0;
  }

  std::optional<error> tick() override {
    const std::lock_guard lock(mutex_);
    host_.tick(monotonic_now());
    carry_out();
    return host_.fault();
  }

  void stop() override {
    if (server_) server_->Shutdown(system_clock::now() + operation_wait);
    server_.reset();
    std::map<std::uint64_t, std::unique_ptr<peer>> peers;
    std::vector<std::unique_ptr<peer>> retired;
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
      peers.swap(peers_);
      retired.swap(retired_);
    }
  }

  grpc::Status Apply(grpc::ServerContext* /*context*/, const wire::apply_request* request,
                     wire::apply_reply* reply) override {
    *reply = run<wire::apply_reply>(
        [&](auto now) { return host_.apply(now, wall_ms(), *request); },
        [&](const auto& ticket) { return host_.apply_answer(ticket, *request); },
        [&] { return host_.unconfirmed_apply(); });
    return grpc::Status::OK;
  }

  grpc::Status Drain(grpc::ServerContext* /*context*/, const wire::drain_request* request,
                     wire::apply_reply* reply) override {
    *reply = run<wire::apply_reply>([&](auto now) { return host_.drain(now, wall_ms(), *request); },
                                    [&](const auto& ticket) { return host_.drain_answer(ticket); },
                                    [&] { return host_.unconfirmed_apply(); });
    return grpc::Status::OK;
  }

  grpc::Status ChangeMembers(grpc::ServerContext* /*context*/, const wire::members_request* request,
                             wire::members_reply* reply) override {
    *reply = run<wire::members_reply>(
        [&](auto now) { return host_.change_members(now, wall_ms(), *request); },
        [&](const auto& ticket) { return host_.members_answer(ticket); },
        [&] { return host_.unconfirmed_members(); });
    return grpc::Status::OK;
  }

  grpc::Status Diff(grpc::ServerContext* /*context*/, const wire::apply_request* request,
                    wire::diff_reply* reply) override {
    const std::lock_guard lock(mutex_);
    *reply = host_.diff(*request);
    return grpc::Status::OK;
  }

  grpc::Status Status(grpc::ServerContext* /*context*/, const wire::status_request* /*request*/,
                      wire::status_reply* reply) override {
    const std::lock_guard lock(mutex_);
    *reply = host_.status(monotonic_now());
    return grpc::Status::OK;
  }

  grpc::Status Audit(grpc::ServerContext* /*context*/, const wire::audit_request* request,
                     wire::audit_reply* reply) override {
    const std::lock_guard lock(mutex_);
    *reply = host_.audit(*request);
    return grpc::Status::OK;
  }

  grpc::Status Metrics(grpc::ServerContext* /*context*/, const wire::metrics_request* /*request*/,
                       wire::metrics_reply* reply) override {
    const std::lock_guard lock(mutex_);
    *reply = host_.metrics(monotonic_now());
    return grpc::Status::OK;
  }

  grpc::Status Sync(grpc::ServerContext* /*context*/, const wire::sync_request* request,
                    wire::sync_reply* reply) override {
    const std::lock_guard lock(mutex_);
    *reply = host_.sync(monotonic_now(), *request);
    return grpc::Status::OK;
  }

  // The answer to the sender goes back on its own call, because a host that is
  // about to join does not know the sender's address.
  grpc::Status Exchange(grpc::ServerContext* /*context*/, const wire::raft_message* request,
                        wire::raft_message* reply) override {
    const std::lock_guard lock(mutex_);
    host_.receive(monotonic_now(), *request);
    carry_out(request->from(), reply);
    return grpc::Status::OK;
  }

private:
  void carry_out(std::uint64_t asking = 0, wire::raft_message* answer = nullptr) {
    for (const auto& it : host_.take_complaints())
      log_complaint(it);
    for (auto& message : host_.take_messages()) {
      if (answer != nullptr && message.to() == asking) {
        *answer = std::move(message);
        answer = nullptr;
      } else {
        send(std::move(message));
      }
    }
    changed_.notify_all();
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
    const auto address = host_.address_of(message.to());
    if (address.empty() || is_stopping_) return;
    auto& slot = peers_[message.to()];
    if (!slot || slot->address() != address) {
      // This may run on the old peer's own thread, which cannot wait for itself.
      if (slot) retired_.push_back(std::move(slot));
      slot = std::make_unique<peer>(address, [this](wire::raft_message answer) {
        const std::lock_guard lock(mutex_);
        host_.receive(monotonic_now(), std::move(answer));
        carry_out();
      });
    }
    slot->send(std::move(message));
  }

  template <class Reply, class Submit, class Answer, class Unconfirmed>
  Reply run(const Submit& submit, const Answer& answer, const Unconfirmed& unconfirmed) {
    std::unique_lock lock(mutex_);
    if (waiting_ >= max_waiting_operations) return unconfirmed();
    const auto submitted = submit(monotonic_now());
    carry_out();
    if (submitted.answer) return *submitted.answer;
    ++waiting_;
    std::optional<Reply> out;
    changed_.wait_for(lock, operation_wait, [&] {
      out = answer(submitted.pending);
      return out.has_value();
    });
    --waiting_;
    return out ? *out : unconfirmed();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  control_host host_;
  std::map<std::uint64_t, std::unique_ptr<peer>> peers_;
  std::vector<std::unique_ptr<peer>> retired_;
  std::map<std::string, time_point> complained_;
  int waiting_ = 0;
  bool is_stopping_ = false;
  std::unique_ptr<grpc::Server> server_;
};

} // namespace

result<std::unique_ptr<control_server>> control_server::start(control_host host,
                                                              const std::string& address) {
  auto server = std::make_unique<server_impl>(std::move(host));
  if (!server->listen(address))
    return failure(error_kind::io, address, "cannot be bound for serving");
  return std::unique_ptr<control_server>(std::move(server));
}

} // namespace zinnia::controld
