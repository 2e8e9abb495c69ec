#include "peer_link.h"

#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

namespace zinnia::controld {
namespace {

constexpr milliseconds exchange_timeout{500};
constexpr std::size_t max_queued_messages = 64;
// After this many failed calls in a row the connection counts as unresponsive and is replaced
// (P10).
constexpr int failures_before_reconnect = 3;

} // namespace

peer_link::peer_link(std::string address, reply_handler on_reply)
    : address_(std::move(address)), on_reply_(std::move(on_reply)), worker_([this] { run(); }) {}

peer_link::~peer_link() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

void peer_link::send(wire::raft_message message) {
  const std::lock_guard lock(mutex_);
  // Later messages repeat the content of earlier ones, so the oldest message can be dropped.
  if (queue_.size() == max_queued_messages) queue_.pop_front();
  queue_.push_back({std::move(message), monotonic_now()});
  changed_.notify_all();
}

void peer_link::connect() {
  stub_ = wire::replication::NewStub(open_control_channel(address_));
}

bool peer_link::exchange(const wire::raft_message& message) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + exchange_timeout);
  wire::raft_message reply;
  const auto status = stub_->Exchange(&context, message, &reply);
  if (!status.ok()) return false;
  if (reply.from() != 0) on_reply_(std::move(reply));
  return true;
}

void peer_link::run() {
  connect();
  int failures = 0;
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (queue_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto [message, queued_at] = std::move(queue_.front());
    queue_.pop_front();
    // Drops messages that waited too long for an unresponsive member. A message contains the age of
    // the contact with a quorum at the time of queueing; the receiver would use an age that is too
    // low by the wait.
    if (monotonic_now() - queued_at > exchange_timeout) continue;
    lock.unlock();
    const bool was_lost = failures > 0;
    failures = exchange(message) ? 0 : failures + 1;
    if (failures == 1 && !was_lost) log_warning("member_lost").with("control_host", address_);
    if (failures == 0 && was_lost) log_info("member_regained").with("control_host", address_);
    if (failures == failures_before_reconnect) {
      connect();
      failures = 1;
    }
    lock.lock();
  }
}

} // namespace zinnia::controld
