#include "flow_control_service.h"

#include "shared/control_channel.h"
#include "update_call.h"
#include "upstream_replicator.h"
#include "zinniarelay/flow/route_table.h"
#include "zinniarelay/observe/log_line.h"

#include <algorithm>
#include <sstream>

namespace zinnia::controld {
namespace {

using std::chrono::system_clock;

// Operators and upstreams retry at another control host after 1 s. A host replies to each request
// before that.
constexpr milliseconds reply_timeout{850};
constexpr milliseconds forward_timeout{800};
constexpr milliseconds join_timeout{400};
constexpr milliseconds join_interval{300};
constexpr milliseconds replicator_refresh_interval{200};

const char* name_of(flow_operations::outcome value) {
  switch (value) {
  case flow_operations::outcome::done:
    return "done";
  case flow_operations::outcome::invalid:
    return "invalid";
  case flow_operations::outcome::unconfirmed:
    return "unsure";
  }
  return "unknown";
}

/// Records the duration of an operation, in milliseconds, at the end of its scope.
class scoped_timer {
public:
  scoped_timer(metric_registry& metrics, const char* name)
      : durations_(metrics.distribution_of(name)), started_(monotonic_now()) {}
  scoped_timer(const scoped_timer&) = delete;
  scoped_timer& operator=(const scoped_timer&) = delete;
  ~scoped_timer() {
    const std::chrono::duration<double, std::milli> duration = monotonic_now() - started_;
    durations_.record(duration.count());
  }

private:
  distribution& durations_;
  time_point started_;
};

std::string text_of(const std::vector<error>& defects) {
  std::ostringstream out;
  for (const auto& it : defects)
    out << (out.tellp() > 0 ? "; " : "") << it;
  return out.str();
}

const char* name_of(upstream_report::state value) {
  switch (value) {
  case upstream_report::state::ready:
    return "ready";
  case upstream_report::state::draining:
    return "draining";
  case upstream_report::state::gone:
    return "gone";
  }
  return "unknown";
}

} // namespace

flow_control_service::flow_control_service(host_state& shared,
                                           flow_control_service_settings settings,
                                           std::function<void()> execute_effects)
    : shared_(shared), settings_(std::move(settings)),
      execute_effects_(std::move(execute_effects)) {}

flow_control_service::~flow_control_service() {
  stop();
}

void flow_control_service::start() {
  restore_saved_view();
  workers_.emplace_back([this] { run_replicators(); });
  workers_.emplace_back([this] { run_joining(); });
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

// Declarations.

flow_operations::answer
flow_control_service::apply_version(const wire::versioned_declaration& proposed) {
  const scoped_timer timer(metrics_, "control_apply_ms");
  const auto version = proposed.declaration().version();
  if (const auto defects = flow_declaration_errors(proposed.declaration()); !defects.empty()) {
    log_warning("declaration_refused").with("version", version).with("cause", text_of(defects));
    metrics_.counter_of("control_declarations", "outcome=invalid").add();
    return {outcome::invalid, text_of(defects)};
  }
  wire::version_request request;
  *request.mutable_proposed() = proposed;
  request.set_author("operator");
  auto reply = apply_locally(request);
  if (reply.result() == wire::version_reply::not_leader && !reply.leader_address().empty()) {
    const auto leader = reply.leader_address();
    grpc::ClientContext context;
    context.set_deadline(system_clock::now() + forward_timeout);
    const auto status = stub_of(leader)->ApplyVersion(&context, request, &reply);
    if (!status.ok()) {
      reply.set_result(wire::version_reply::not_confirmed);
      remove_stub(leader);
    }
  }
  const bool is_accepted = reply.result() == wire::version_reply::accepted;
  log_info("declaration_proposed")
      .with("version", version)
      .with("outcome", wire::version_reply::status_Name(reply.result()))
      .with("leader", reply.leader_address());
  const auto result = is_accepted ? outcome::done : outcome::unconfirmed;
  metrics_.counter_of("control_declarations", std::string("outcome=") + name_of(result)).add();
  if (is_accepted) return {outcome::done, ""};
  return {outcome::unconfirmed, "no quorum has confirmed the declaration in time"};
}

wire::version_reply flow_control_service::apply_locally(const wire::version_request& request) {
  std::unique_lock lock(shared_.mutex);
  const auto submitted = shared_.host.apply_version(monotonic_now(), wall_ms(), request);
  execute_effects_();
  if (submitted.reply) return *submitted.reply;
  std::optional<wire::version_reply> out;
  shared_.changed.wait_for(lock, reply_timeout, [&] {
    out = shared_.host.version_reply_for(submitted.pending);
    return out.has_value() || is_stopping_;
  });
  return out ? *out : shared_.host.unconfirmed_version();
}

grpc::Status flow_control_service::ApplyVersion(grpc::ServerContext* /*context*/,
                                                const wire::version_request* request,
                                                wire::version_reply* reply) {
  *reply = apply_locally(*request);
  return grpc::Status::OK;
}

// Reads.

wire::read_reply flow_control_service::read_locally() {
  std::unique_lock lock(shared_.mutex);
  const auto pending = shared_.host.begin_read(monotonic_now());
  execute_effects_();
  if (!pending) return {};
  std::optional<wire::read_reply> out;
  shared_.changed.wait_for(lock, reply_timeout, [&] {
    out = shared_.host.read_reply_for(*pending);
    return out.has_value() || is_stopping_;
  });
  return out.value_or(wire::read_reply());
}

wire::read_reply flow_control_service::read_index() {
  std::string leader;
  {
    const std::lock_guard lock(shared_.mutex);
    const auto& node = shared_.host.node();
    if (node.role() != raft_role::leader) leader = shared_.host.address_of(node.leader());
    if (node.role() != raft_role::leader && leader.empty()) return {};
  }
  if (leader.empty()) return read_locally();
  grpc::ClientContext context;
  context.set_deadline(system_clock::now() + forward_timeout);
  wire::read_reply reply;
  if (stub_of(leader)->Read(&context, wire::read_request(), &reply).ok()) return reply;
  remove_stub(leader);
  return {};
}

std::optional<std::string> flow_control_service::read_document() {
  const scoped_timer timer(metrics_, "control_read_ms");
  const auto until = std::chrono::steady_clock::now() + reply_timeout;
  const auto confirmed = read_index();
  std::unique_lock lock(shared_.mutex);
  const auto is_applied = [&] {
    return shared_.host.applied_index() >= confirmed.index() || is_stopping_;
  };
  if (!confirmed.confirmed() || !shared_.changed.wait_until(lock, until, is_applied)) {
    metrics_.counter_of("control_reads", "outcome=unconfirmed").add();
    log_warning("read_unconfirmed").with("applied_index", shared_.host.applied_index());
    return std::nullopt;
  }
  metrics_.counter_of("control_reads", "outcome=confirmed").add();
  if (shared_.host.flows().declaration().version() == 0) return std::nullopt;
  return shared_.host.flows().document();
}

grpc::Status flow_control_service::Read(grpc::ServerContext* /*context*/,
                                        const wire::read_request* /*request*/,
                                        wire::read_reply* reply) {
  *reply = read_locally();
  return grpc::Status::OK;
}

// Upstreams.

flow_operations::answer flow_control_service::report(const upstream_report& value) {
  using state = upstream_report::state;
  metrics_.counter_of("control_reports", std::string("state=") + name_of(value.condition)).add();
  std::unique_lock lock(shared_.mutex);
  const auto merged = shared_.host.merge_report(monotonic_now(), value);
  if (merged == upstream_directory::merge_result::changed) {
    log_info("upstream_changed")
        .with("upstream", value.id)
        .with("started_ms", value.started_ms)
        .with("sequence", value.sequence)
        .with("service", value.service)
        .with("address", value.address)
        .with("state", name_of(value.condition));
    if (view_writer_) view_writer_->wake();
    for (auto& [address, replicator] : replicators_)
      replicator->wake();
  }
  if (value.condition == state::ready) return {outcome::done, ""};
  // The acknowledgement is final for all hosts. It must survive a crash of this host, and the
  // view that this host restores after a restart must not revert it.
  const auto* reported = shared_.host.upstreams().find(value.incarnation());
  const auto position = reported == nullptr ? 0 : reported->content_position;
  const bool is_confirmed = shared_.changed.wait_for(
      lock, reply_timeout, [&] { return is_safe_to_confirm(position) || is_stopping_; });
  if (is_confirmed) return {outcome::done, ""};
  auto line = log_warning("upstream_leave_unconfirmed");
  line.with("upstream", value.id).with("position", position);
  line.with("is_saved", !view_writer_ || view_writer_->has_saved(position));
  for (const auto& [address, replicator] : replicators_)
    line.with("control_host", address).with("confirmed", replicator->confirmed());
  return {outcome::unconfirmed, "no other control host has confirmed the report"};
}

bool flow_control_service::is_safe_to_confirm(std::uint64_t position) const {
  return is_replicated(position) && (!view_writer_ || view_writer_->has_saved(position));
}

bool flow_control_service::is_replicated(std::uint64_t position) const {
  if (shared_.host.node().membership().all_members().size() <= 1) return true;
  return std::any_of(replicators_.begin(), replicators_.end(),
                     [&](const auto& it) { return it.second->confirmed() >= position; });
}

std::optional<upstream_report> flow_control_service::find_upstream(const std::string& id) {
  const std::lock_guard lock(shared_.mutex);
  const auto* found = shared_.host.upstreams().find_id(id);
  if (found == nullptr) return std::nullopt;
  return found->report;
}

grpc::Status flow_control_service::Spread(grpc::ServerContext* /*context*/,
                                          const wire::spread_request* request,
                                          wire::spread_reply* reply) {
  const std::lock_guard lock(shared_.mutex);
  const auto before = shared_.host.upstreams().content_position();
  *reply = shared_.host.merge_replicated(monotonic_now(), *request);
  if (shared_.host.upstreams().content_position() != before && view_writer_) view_writer_->wake();
  return grpc::Status::OK;
}

// A waiting call holds no thread: hundreds of entry hosts wait at the same time.
grpc::ServerUnaryReactor* flow_control_service::News(grpc::CallbackServerContext* /*context*/,
                                                     const wire::news_request* request,
                                                     wire::news_reply* reply) {
  const std::lock_guard lock(shared_.mutex);
  // gRPC owns the call until its OnDone().
  auto* call = new update_call(*request, *reply, [this](auto ticket) { cancel_update(ticket); });
  if (is_stopping_) {
    call->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    return call;
  }
  call->set_ticket(update_queue_.add(monotonic_now(), *request));
  update_calls_[call->ticket()] = call;
  return call;
}

void flow_control_service::send_updates() {
  std::vector<update_call*> due;
  {
    const std::lock_guard lock(shared_.mutex);
    const auto now = monotonic_now();
    const auto is_urgent = [&](const auto& it) { return shared_.host.has_urgent_update(now, it); };
    for (const auto ticket : update_queue_.take_due(now, is_urgent)) {
      auto* call = update_calls_.extract(ticket).mapped();
      call->reply() = shared_.host.updates(now, call->request());
      due.push_back(call);
    }
  }
  for (auto* it : due)
    it->Finish(grpc::Status::OK);
}

void flow_control_service::cancel_update(std::uint64_t ticket) {
  update_call* call = nullptr;
  {
    const std::lock_guard lock(shared_.mutex);
    if (update_queue_.remove(ticket)) call = update_calls_.extract(ticket).mapped();
  }
  if (call != nullptr) call->Finish(grpc::Status::CANCELLED);
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
