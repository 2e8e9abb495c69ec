#include "update_client.h"

#include "shared/control_channel.h"
#include "zinniarelay/observe/log_line.h"

#include <algorithm>

namespace zinnia::flowd {
namespace {

using std::chrono::system_clock;

constexpr milliseconds update_wait{500};
// A reply that takes this much longer than its permitted wait means a lost connection.
constexpr milliseconds reply_slack{700};
// The pause after a failed search, doubled each time. It limits the load of requests on control
// hosts that have lost their quorum.
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{800};
// A host without power sends no reply. A request to the next host therefore starts after this
// time. A complete table takes 60 ms on a link of 2 Mbit/s.
constexpr milliseconds hedge_interval{60};
constexpr std::uint32_t max_quorum_age_ms = 1'000;
constexpr std::size_t max_waiting_replies = 64;

} // namespace

update_client::update_client(identity self, std::vector<std::string> seeds)
    : self_(std::move(self)), hosts_(std::move(seeds)), worker_([this] { run(); }) {}

update_client::~update_client() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  worker_.join();
}

std::vector<wire::news_reply> update_client::take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(replies_, {});
}

void update_client::set_seeds(std::vector<std::string> seeds) {
  const std::lock_guard lock(mutex_);
  hosts_.set_seeds(std::move(seeds));
}

bool update_client::is_stopping() {
  const std::lock_guard lock(mutex_);
  return is_stopping_;
}

void update_client::run() {
  auto pause = min_pause;
  bool is_fetched = false;
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    const auto address = is_fetched ? hosts_.preferred(monotonic_now()) : std::string();
    lock.unlock();
    is_fetched = (!address.empty() && fetch(address)) || search();
    lock.lock();
    if (is_fetched) {
      pause = min_pause;
    } else if (!is_stopping_) {
      changed_.wait_for(lock, pause);
      pause = std::min(2 * pause, max_pause);
    }
  }
}

wire::news_request update_client::request_for(const std::string& address, milliseconds wait) {
  const auto& received = positions_[address];
  wire::news_request out;
  out.set_host(self_.host);
  out.set_zone(self_.zone);
  out.set_version(version_);
  out.set_source(received.source);
  out.set_position(received.position);
  out.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
  return out;
}

bool update_client::fetch(const std::string& address) {
  if (connected_ != address || !stub_) {
    stub_ = wire::flow_control::NewStub(open_control_channel(address));
    connected_ = address;
  }
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + update_wait + reply_slack);
  wire::news_reply reply;
  const auto status = stub_->News(&context, request_for(address, update_wait), &reply);
  if (status.ok()) return accept(address, std::move(reply));
  stub_.reset();
  record_failure(address);
  return false;
}

std::unique_ptr<update_client::attempt> update_client::begin_attempt(const std::string& address,
                                                                     grpc::CompletionQueue& queue) {
  auto out = std::make_unique<attempt>();
  out->address = address;
  out->stub = wire::flow_control::NewStub(open_control_channel(address));
  out->context.set_deadline(system_clock::now() + reply_slack);
  out->reader = out->stub->AsyncNews(&out->context, request_for(address, milliseconds(0)), &queue);
  out->reader->Finish(&out->reply, &out->status, out.get());
  return out;
}

// Sends requests to several hosts in parallel, because after a loss of all power the first
// candidates may restart last.
bool update_client::search() {
  std::vector<std::string> addresses;
  {
    const std::lock_guard lock(mutex_);
    addresses = hosts_.candidates(monotonic_now());
  }
  grpc::CompletionQueue queue;
  std::vector<std::unique_ptr<attempt>> attempts;
  std::size_t finished = 0;
  bool is_found = false;
  auto next_attempt = system_clock::now();
  while (!is_found && finished < addresses.size() && !is_stopping()) {
    const auto now = system_clock::now();
    const bool is_due = now >= next_attempt || finished == attempts.size();
    if (is_due && attempts.size() < addresses.size()) {
      attempts.push_back(begin_attempt(addresses[attempts.size()], queue));
      next_attempt = now + hedge_interval;
    }
    void* tag = nullptr;
    bool is_ok = false;
    const bool has_more = attempts.size() < addresses.size();
    const auto until = has_more ? next_attempt : now + reply_slack;
    if (queue.AsyncNext(&tag, &is_ok, until) != grpc::CompletionQueue::GOT_EVENT) continue;
    ++finished;
    auto& ended = *static_cast<attempt*>(tag);
    if (ended.status.ok())
      is_found = accept(ended.address, std::move(ended.reply));
    else
      record_failure(ended.address);
  }
  for (auto& it : attempts)
    it->context.TryCancel();
  queue.Shutdown();
  void* tag = nullptr;
  bool is_ok = false;
  while (queue.Next(&tag, &is_ok)) {
  }
  return is_found;
}

bool update_client::accept(const std::string& address, wire::news_reply reply) {
  const bool is_stale = reply.quorum_age_ms() > max_quorum_age_ms;
  if (is_stale) record_failure(address);
  positions_[address] = {reply.source(), reply.position()};
  const std::lock_guard lock(mutex_);
  if (!is_stale && hosts_.record_success(address))
    log_info("control_host_regained").with("control_host", address);
  hosts_.set_reported({reply.control_hosts().begin(), reply.control_hosts().end()});
  // The owner has stopped calling take(). Without the positions, the next reply is complete again
  // and fills the gap of the dropped replies.
  if (replies_.size() >= max_waiting_replies) {
    replies_.clear();
    positions_.clear();
    return !is_stale;
  }
  replies_.push_back(std::move(reply));
  return !is_stale;
}

void update_client::record_failure(const std::string& address) {
  const std::lock_guard lock(mutex_);
  if (hosts_.record_failure(monotonic_now(), address))
    log_warning("control_host_lost").with("control_host", address);
}

} // namespace zinnia::flowd
