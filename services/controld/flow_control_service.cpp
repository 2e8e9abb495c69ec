#include "flow_control_service.h"

#include "shared/control_channel.h"
#include "update_call.h"
#include "upstream_replicator.h"
#include "zinniarelay/observe/log_line.h"

#include <algorithm>

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

constexpr milliseconds join_timeout{400};
constexpr milliseconds join_interval{300};
constexpr milliseconds replicator_refresh_interval{200};
// A failed zone makes many upstreams suspect at once.
constexpr std::uint32_t suspect_lines_per_second = 10;

} // namespace

flow_control_service::flow_control_service(host_state& shared,
                                           flow_control_service_settings settings,
                                           std::function<void()> execute_effects)
    : shared_(shared), settings_(std::move(settings)), execute_effects_(std::move(execute_effects)),
      suspect_lines_(suspect_lines_per_second),
      reply_bytes_(metrics_.distribution_of("control_update_reply_bytes")) {}

flow_control_service::~flow_control_service() {
  stop();
}

void flow_control_service::start() {
  restore_saved_view();
  workers_.emplace_back([this] { run_replicators(); });
  workers_.emplace_back([this] { run_joining(); });
  workers_.emplace_back([this] { run_warmup(); });
}

void flow_control_service::stop() {
  std::map<std::uint64_t, update_call*> waiting;
  {
    const std::lock_guard lock(shared_.mutex);
    is_stopping_ = true;
    update_queue_.take_all();
    waiting.swap(update_calls_);
  }
  for (const auto& [ticket, call] : waiting)
    call->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
  stopped_.notify_all();
  shared_.changed.notify_all();
  for (auto& it : workers_)
    it.join();
  workers_.clear();
  replicators_.clear();
  view_writer_.reset();
}

// Without a usable view the host still runs, but begins to serve later after a restart.
void flow_control_service::restore_saved_view() {
  if (settings_.view_folder.empty()) return;
  auto files = file_storage::open(settings_.view_folder);
  if (!files.has_value()) {
    log_warning("recall_unavailable").with(files.error());
    return;
  }
  auto view = view_store(files.value()).load(wall_ms());
  if (!view.has_value()) {
    log_warning("recall_unavailable").with(view.error());
  } else if (view.value()) {
    log_info("recalled")
        .with("version", view.value()->declaration().version())
        .with("upstreams", view.value()->upstreams_size())
        .with("saved_ms", view.value()->saved_ms());
    const std::lock_guard lock(shared_.mutex);
    shared_.host.restore_view(monotonic_now(), std::move(*view.value()));
  }
  view_writer_ = std::make_unique<view_writer>(shared_, std::move(files.value()));
}

void flow_control_service::on_progress() {
  log_zone_changes();
  const auto version = shared_.host.flows().declaration().version();
  if (version == announced_version_) return;
  announced_version_ = version;
  log_info("declaration_applied")
      .with("version", version)
      .with("routes", shared_.host.flows().declaration().routes_size())
      .with("applied_index", shared_.host.applied_index());
  if (view_writer_) view_writer_->wake();
}

void flow_control_service::set_seeds(std::vector<std::string> seeds) {
  const std::lock_guard lock(shared_.mutex);
  settings_.seeds = std::move(seeds);
}

// Connections to other control hosts.

std::shared_ptr<flow_control_service::stub>
flow_control_service::stub_of(const std::string& address) {
  const std::lock_guard lock(stub_mutex_);
  auto& slot = stubs_[address];
  if (!slot) slot = wire::flow_control::NewStub(open_control_channel(address));
  return slot;
}

// The next call opens a new connection. A connection that has stopped responding never recovers
// (P10).
void flow_control_service::remove_stub(const std::string& address) {
  const std::lock_guard lock(stub_mutex_);
  stubs_.erase(address);
}

void flow_control_service::run_replicators() {
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    lock.unlock();
    refresh_replicators();
    lock.lock();
    stopped_.wait_for(lock, replicator_refresh_interval);
  }
}

void flow_control_service::refresh_replicators() {
  // Declared before the lock, so their threads are joined after it is released.
  std::vector<std::unique_ptr<upstream_replicator>> removed;
  const std::lock_guard lock(shared_.mutex);
  const auto members = shared_.host.member_addresses(0);
  for (const auto& it : members) {
    if (it == settings_.address || replicators_.count(it) > 0) continue;
    replicators_[it] = std::make_unique<upstream_replicator>(
        shared_, it, [this] { shared_.changed.notify_all(); });
  }
  for (auto it = replicators_.begin(); it != replicators_.end();) {
    if (std::find(members.begin(), members.end(), it->first) != members.end()) {
      ++it;
      continue;
    }
    removed.push_back(std::move(it->second));
    it = replicators_.erase(it);
  }
}

// Joining.

grpc::Status flow_control_service::Join(grpc::ServerContext* /*context*/,
                                        const wire::join_request* request,
                                        wire::join_reply* reply) {
  const std::lock_guard lock(shared_.mutex);
  *reply = shared_.host.join(monotonic_now(), *request);
  return grpc::Status::OK;
}

void flow_control_service::run_joining() {
  std::unique_lock lock(shared_.mutex);
  while (!is_stopping_) {
    const auto request = shared_.host.join_request_due(monotonic_now());
    if (request) {
      auto targets = settings_.seeds;
      for (auto& it : shared_.host.member_addresses(0))
        targets.push_back(std::move(it));
      lock.unlock();
      std::vector<std::string> contacted{settings_.address};
      for (std::size_t n = 0; n < targets.size(); ++n) {
        if (std::find(contacted.begin(), contacted.end(), targets[n]) != contacted.end()) continue;
        contacted.push_back(targets[n]);
        const auto reply = send_join_request(targets[n], *request);
        if (!reply) continue;
        if (!reply->leader_address().empty()) targets.push_back(reply->leader_address());
      }
      lock.lock();
    }
    if (is_stopping_) return;
    stopped_.wait_for(lock, join_interval);
  }
}

std::optional<wire::join_reply>
flow_control_service::send_join_request(const std::string& address,
                                        const wire::join_request& request) {
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + join_timeout);
  wire::join_reply reply;
  if (stub_of(address)->Join(&context, request, &reply).ok()) return reply;
  remove_stub(address);
  return std::nullopt;
}

} // namespace zinnia::controld
