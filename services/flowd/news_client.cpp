#include "news_client.h"

#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

#include <grpcpp/grpcpp.h>

namespace zinnia::flowd {
namespace {

constexpr milliseconds news_wait{500};
// An answer that takes this much longer than it may wait means a lost connection.
constexpr milliseconds answer_slack{700};
// A control host that failed, or has lost its quorum, is left alone for this long.
constexpr milliseconds avoidance{2'000};
constexpr milliseconds retry_interval{100};
constexpr std::uint32_t stale_quorum_ms = 1'000;
constexpr std::size_t most_waiting_replies = 64;

} // namespace

news_client::news_client(identity self, std::vector<std::string> seeds)
    : self_(std::move(self)), seeds_(std::move(seeds)), worker_([this] { run(); }) {}

news_client::~news_client() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

std::vector<wire::news_reply> news_client::take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(replies_, {});
}

void news_client::set_seeds(std::vector<std::string> seeds) {
  const std::lock_guard lock(mutex_);
  seeds_ = std::move(seeds);
}

bool news_client::is_avoided(const std::string& address) const {
  const auto it = failed_.find(address);
  return it != failed_.end() && monotonic_now() - it->second < avoidance;
}

// The nearest control host that works; when none does, all of them in turn.
std::string news_client::choose() {
  const std::lock_guard lock(mutex_);
  for (const auto* list : {&learnt_, &seeds_})
    for (const auto& it : *list)
      if (!is_avoided(it)) return it;
  std::vector<std::string> all = learnt_;
  all.insert(all.end(), seeds_.begin(), seeds_.end());
  return all[turn_ % all.size()];
}

void news_client::run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    lock.unlock();
    const auto address = choose();
    const bool is_fetched = fetch(address);
    lock.lock();
    if (is_fetched || is_stopping_) continue;
    ++turn_;
    changed_.wait_for(lock, retry_interval);
  }
}

bool news_client::fetch(const std::string& address) {
  if (connected_ != address || !stub_) {
    stub_ = wire::flow_control::NewStub(open_control_channel(address));
    connected_ = address;
  }
  auto& known = positions_[address];
  wire::news_request request;
  request.set_host(self_.host);
  request.set_zone(self_.zone);
  request.set_version(version_);
  request.set_source(known.source);
  request.set_position(known.position);
  request.set_wait_ms(static_cast<std::uint32_t>(news_wait.count()));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + news_wait + answer_slack);
  wire::news_reply reply;
  const auto status = stub_->News(&context, request, &reply);
  if (!status.ok()) {
    note_failure(address);
    return false;
  }
  known = {reply.source(), reply.position()};
  const bool is_stale = reply.quorum_age_ms() > stale_quorum_ms;
  if (is_stale)
    note_failure(address);
  else if (failed_.erase(address) > 0)
    log_info("control_host_regained").with("control_host", address);
  if (reply.control_hosts_size() > 0)
    learnt_.assign(reply.control_hosts().begin(), reply.control_hosts().end());
  const std::lock_guard lock(mutex_);
  // The reader has stopped reading; the next reply after a gap must be complete.
  if (replies_.size() >= most_waiting_replies) {
    replies_.clear();
    positions_.clear();
    return !is_stale;
  }
  replies_.push_back(std::move(reply));
  return !is_stale;
}

void news_client::note_failure(const std::string& address) {
  if (!is_avoided(address)) log_warning("control_host_lost").with("control_host", address);
  failed_[address] = monotonic_now();
  stub_.reset();
}

} // namespace zinnia::flowd
