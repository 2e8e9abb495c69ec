#include "upstream_replicator.h"

#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

namespace zinnia::controld {
namespace {

// Reports that change no content are collected for this time and sent in one message.
constexpr milliseconds batch_interval{250};
constexpr milliseconds request_timeout{700};
constexpr milliseconds retry_interval{200};

} // namespace

upstream_replicator::upstream_replicator(host_state& shared, std::string address,
                                         std::function<void()> on_confirmed)
    : shared_(shared), address_(std::move(address)), on_confirmed_(std::move(on_confirmed)),
      worker_([this] { run(); }) {}

upstream_replicator::~upstream_replicator() {
  {
    const std::lock_guard lock(shared_.mutex);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

void upstream_replicator::run() {
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    const auto& upstreams = shared_.host.upstreams();
    if (upstreams.content_position() <= confirmed_) changed_.wait_for(lock, batch_interval);
    if (is_stopping_) return;
    if (upstreams.position() == confirmed_ && peer_source_ != 0) continue;
    const bool is_complete = peer_source_ == 0;
    const auto [request, position] = shared_.host.replication_since(confirmed_, is_complete);
    if (!is_complete && request.upstreams().reports().empty() &&
        request.upstreams().refreshed().empty()) {
      confirmed_ = position;
      continue;
    }
    lock.unlock();
    wire::spread_reply reply;
    const bool is_sent = send(request, reply);
    lock.lock();
    log_result(is_sent);
    if (!is_sent) {
      changed_.wait_for(lock, retry_interval);
      continue;
    }
    // A restarted process does not have the updates that the previous process confirmed.
    const bool is_same_process = is_complete || reply.source() == peer_source_;
    peer_source_ = is_same_process ? reply.source() : 0;
    confirmed_ = is_same_process ? position : 0;
    on_confirmed_();
  }
}

void upstream_replicator::log_result(bool is_sent) {
  if (is_sent == is_up_) return;
  is_up_ = is_sent;
  auto line = is_sent ? log_info("spread_regained") : log_warning("spread_lost");
  line.with("control_host", address_).with("confirmed", confirmed_);
  line.with("position", shared_.host.upstreams().position());
}

bool upstream_replicator::send(const wire::spread_request& request, wire::spread_reply& reply) {
  if (!stub_) stub_ = wire::flow_control::NewStub(open_control_channel(address_));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + request_timeout);
  if (stub_->Spread(&context, request, &reply).ok()) return true;
  // A connection that has stopped responding never recovers by itself (P10).
  stub_.reset();
  return false;
}

} // namespace zinnia::controld
