#include "peer_link.h"

#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

namespace zinnia::controld {
namespace {

constexpr milliseconds exchange_deadline{500};
constexpr std::size_t max_queued_messages = 64;
// After this many calls without an answer the connection counts as silent (P10).
constexpr int silent_after_failures = 3;

} // namespace

peer_link::peer_link(std::string address, answer_handler on_answer)
    : address_(std::move(address)), on_answer_(std::move(on_answer)), worker_([this] { run(); }) {}

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
  // Later messages repeat what earlier ones said, so that the oldest can go.
  if (queue_.size() == max_queued_messages) queue_.pop_front();
  queue_.push_back({std::move(message), monotonic_now()});
  changed_.notify_all();
}

void peer_link::connect() {
  stub_ = wire::replication::NewStub(open_control_channel(address_));
}

bool peer_link::exchange(const wire::raft_message& message) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + exchange_deadline);
  wire::raft_message answer;
  const auto status = stub_->Exchange(&context, message, &answer);
  if (!status.ok()) return false;
  if (answer.from() != 0) on_answer_(std::move(answer));
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
    const auto [message, queued] = std::move(queue_.front());
    queue_.pop_front();
    // The contact to a quorum that a message reports would look more recent
    // than it is after a wait for a silent member.
    if (monotonic_now() - queued > exchange_deadline) continue;
    lock.unlock();
    const bool was_lost = failures > 0;
    failures = exchange(message) ? 0 : failures + 1;
    if (failures == 1 && !was_lost) log_warning("member_lost").with("control_host", address_);
    if (failures == 0 && was_lost) log_info("member_regained").with("control_host", address_);
    if (failures == silent_after_failures) {
      connect();
      failures = 1;
    }
    lock.lock();
  }
}

} // namespace zinnia::controld
