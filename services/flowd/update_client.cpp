#include "update_client.h"

#include "shared/control_channel.h"
#include "zinniarelay/flow/compact_replies.h"
#include "zinniarelay/observe/log_line.h"

#include <algorithm>

namespace zinnia::flowd {
namespace {

using std::chrono::system_clock;

constexpr milliseconds update_wait{500};
// A reply that takes this much longer than its permitted wait means a lost connection.
constexpr milliseconds reply_slack{700};
// A control host may take seconds to reply while hundreds of hosts search at the same time. A
// request that is given up earlier and repeated would add to its load.
constexpr milliseconds search_wait{1'000};
constexpr milliseconds search_slack{2'000};
constexpr milliseconds attempt_timeout = search_wait + search_slack;
// A host without power does not answer at all. One whose process has not started yet refuses the
// connection within a round trip.
constexpr milliseconds max_refusal_time{100};
// How often a request is checked for a stop, and a search also for control hosts that have started.
constexpr milliseconds stop_check_interval{200};
constexpr milliseconds start_check_interval{20};
constexpr std::size_t max_sources = 256; // control hosts
constexpr std::uint32_t max_quorum_age_ms = 1'000;
constexpr std::size_t max_waiting_replies = 64;

} // namespace

update_client::update_client(identity self, std::vector<std::string> seeds, random_engine engine,
                             metric_registry& metrics)
    : self_(std::move(self)), metrics_(metrics),
      reply_durations_(metrics.distribution_of("update_reply_ms")),
      reply_bytes_(metrics.distribution_of("update_reply_bytes")), engine_(engine),
      hosts_(shuffled(std::move(seeds))), worker_([this] { run(); }) {}

update_client::~update_client() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  worker_.join();
  queue_.Shutdown();
}

std::vector<update_client::update> update_client::take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(updates_, {});
}

void update_client::set_seeds(std::vector<std::string> seeds) {
  const std::lock_guard lock(mutex_);
  hosts_.set_seeds(shuffled(std::move(seeds)));
}

// All hosts get the same seeds in the same order. Without another order on each, the first seed
// would receive the requests of all hosts.
std::vector<std::string> update_client::shuffled(std::vector<std::string> addresses) {
  std::shuffle(addresses.begin(), addresses.end(), engine_);
  return addresses;
}

random_engine update_client::derived_engine() {
  const std::lock_guard lock(mutex_);
  return random_engine(engine_());
}

std::vector<std::string> update_client::candidates() {
  const std::lock_guard lock(mutex_);
  return hosts_.candidates(monotonic_now());
}

bool update_client::is_stopping() {
  const std::lock_guard lock(mutex_);
  return is_stopping_;
}

void update_client::run() {
  std::string preferred;
  while (!is_stopping()) {
    const bool is_fetched = fetch(preferred);
    const std::lock_guard lock(mutex_);
    preferred = is_fetched ? hosts_.preferred(monotonic_now()) : "";
  }
}

wire::news_request update_client::request_for(const std::string& address, milliseconds wait) {
  const auto& received = positions_[address];
  wire::news_request out;
  out.set_host(self_.host);
  out.set_zone(self_.zone);
  out.set_version(version_);
  out.set_evacuations_version(evacuations_version_);
  out.set_accepts_changes(true);
  out.set_accepts_parts(true);
  out.set_overdue_after_ms(static_cast<std::uint32_t>(self_.report_timeout.count()));
  out.set_warmup_holder(warmup_holder_);
  declaration_parts_.describe(out);
  out.set_source(received.source);
  out.set_position(received.position);
  out.set_accepts_loads(self_.accepts_loads);
  out.set_suspects_position(received.suspects_position);
  out.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
  return out;
}

void update_client::begin_attempt(const control_host_search::request& due, bool is_search) {
  auto& connection = stubs_[due.address];
  if (!connection)
    connection =
        wire::flow_control::NewStub(open_control_channel(due.address, due.connect_timeout));
  auto& started = attempts_[due.address];
  started = std::make_unique<attempt>();
  started->address = due.address;
  started->requested = monotonic_now();
  started->stub = connection;
  started->context.set_deadline(system_clock::now() + attempt_timeout);
  auto wait = is_search ? search_wait : update_wait;
  if (is_immediate_reply_required_.exchange(false)) wait = milliseconds(0);
  auto request = request_for(due.address, wait);
  request.set_quorum_required(is_search);
  started->reader = connection->AsyncNews(&started->context, request, &queue_);
  started->reader->Finish(&started->reply, &started->status, started.get());
}

update_client::attempt* update_client::next_ended(time_point until) {
  void* tag = nullptr;
  bool is_ok = false;
  const auto wait = std::max<time_point::duration>(until - monotonic_now(), microseconds(0));
  const auto deadline =
      system_clock::now() + std::chrono::duration_cast<system_clock::duration>(wait);
  const bool has_event =
      queue_.AsyncNext(&tag, &is_ok, deadline) == grpc::CompletionQueue::GOT_EVENT;
  if (!has_event) return nullptr;
  auto* const ended = static_cast<attempt*>(tag);
  ended->is_decoded = is_ok;
  return ended;
}

bool update_client::finish_attempt(attempt& ended) {
  if (ended.has_reply()) {
    ended.reply_bytes = ended.reply.ByteSizeLong();
    const auto is_intact = complete(ended.reply);
    if (is_intact.has_value()) {
      const bool has_quorum = accept(ended);
      measure(ended, has_quorum ? "accepted" : "no_quorum");
      return has_quorum;
    }
    log_warning("update_refused").with("control_host", ended.address).with(is_intact.error());
  }
  measure(ended, ended.is_repeated ? "repeated" : "failed");
  stubs_.erase(ended.address);
  record_failure(ended.address);
  return false;
}

// Replaces the part of a declaration by the declaration when it is the last one.
result<void> update_client::complete(wire::news_reply& reply) {
  ZINNIA_TRY(expand(reply));
  if (!reply.has_declaration_part()) return success();
  ZINNIA_TRY(content, declaration_parts_.add(reply.declaration_part()));
  reply.clear_declaration_part();
  if (!content) return success();
  return expand_declaration(*content, reply);
}

void update_client::measure(const attempt& ended, const char* outcome) {
  metrics_.counter_of("update_requests", std::string("outcome=") + outcome).add();
  if (!ended.has_reply()) return;
  const std::chrono::duration<double, std::milli> duration = monotonic_now() - ended.requested;
  reply_durations_.record(duration.count());
  reply_bytes_.record(static_cast<double>(ended.reply_bytes));
}

bool update_client::is_refusal(const attempt& ended) {
  return ended.status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         monotonic_now() - ended.requested < max_refusal_time;
}

// Sends requests to several hosts in parallel, because after a loss of all power the first
// candidates may restart last.
bool update_client::fetch(const std::string& preferred) {
  control_host_search schedule(monotonic_now(), derived_engine(), preferred,
                               update_wait + reply_slack);
  std::string found;
  while (found.empty() && !is_stopping()) {
    schedule.add(candidates());
    if (preferred.empty()) ask_started(schedule);
    const auto now = monotonic_now();
    while (const auto due = schedule.take_due(now))
      begin_attempt(*due, due->address != preferred);
    const auto next_check = now + (preferred.empty() ? start_check_interval : stop_check_interval);
    auto* ended = next_ended(std::min(next_check, schedule.next_due().value_or(next_check)));
    if (ended == nullptr) continue;
    if (finish_attempt(*ended)) found = ended->address;
    record_end(schedule, *ended);
    attempts_.erase(std::string(ended->address));
  }
  cancel_attempts();
  if (!preferred.empty() && found != preferred) record_failure(preferred);
  std::erase_if(stubs_, [&](const auto& it) { return it.first != found; });
  return !found.empty();
}

void update_client::record_end(control_host_search& schedule, const attempt& ended) {
  const auto now = monotonic_now();
  if (ended.is_repeated)
    schedule.record_start(now, ended.address);
  else if (is_refusal(ended))
    schedule.record_refusal(now, ended.address);
  else
    schedule.record_failure(now, ended.address);
}

void update_client::ask_started(control_host_search& schedule) {
  std::vector<std::string> started;
  {
    const std::lock_guard lock(mutex_);
    started.swap(started_);
  }
  for (const auto& it : started) {
    const auto outstanding = attempts_.find(it);
    if (outstanding == attempts_.end()) {
      schedule.record_start(monotonic_now(), it);
      continue;
    }
    outstanding->second->is_repeated = true;
    outstanding->second->context.TryCancel();
  }
}

void update_client::record_start(const std::string& address, std::uint64_t source) {
  const std::lock_guard lock(mutex_);
  if (sources_.size() >= max_sources) sources_.clear();
  auto& last = sources_[address];
  if (last == source) return;
  last = source;
  if (started_.size() < max_sources) started_.push_back(address);
}

void update_client::cancel_attempts() {
  for (auto& [address, it] : attempts_)
    it->context.TryCancel();
  while (!attempts_.empty()) {
    void* tag = nullptr;
    bool is_ok = false;
    if (!queue_.Next(&tag, &is_ok)) return;
    measure(*static_cast<attempt*>(tag), "abandoned");
    attempts_.erase(std::string(static_cast<attempt*>(tag)->address));
  }
}

bool update_client::accept(const attempt& ended) {
  const auto& address = ended.address;
  const auto& reply = ended.reply;
  const bool is_stale = reply.quorum_age_ms() > max_quorum_age_ms;
  if (is_stale) record_failure(address);
  record_position(address, reply);
  // The next request does not wait until the owner has put the declaration in force.
  if (!is_stale && reply.has_declaration()) version_ = reply.declaration().version();
  if (!is_stale && reply.has_change()) version_ = reply.change().version();
  if (!is_stale && reply.has_evacuations()) evacuations_version_ = reply.evacuations().version();
  const std::lock_guard lock(mutex_);
  if (!is_stale && hosts_.record_success(address))
    log_info("control_host_regained").with("control_host", address);
  hosts_.set_reported({reply.control_hosts().begin(), reply.control_hosts().end()});
  // The owner has stopped calling take(). Without the positions, the next reply is complete again
  // and fills the gap of the dropped replies.
  if (updates_.size() >= max_waiting_replies) {
    updates_.clear();
    positions_.clear();
    list_source_ = 0;
    return !is_stale;
  }
  updates_.push_back({reply, ended.requested});
  return !is_stale;
}

// The account of upstreams that report applies to the list of one process. After a reply of another
// one, the next request begins a new list.
void update_client::record_position(const std::string& address, const wire::news_reply& reply) {
  // A reply without suspects leaves those of earlier replies of its process.
  const auto previous = positions_.find(address);
  const bool is_same = previous != positions_.end() && previous->second.source == reply.source();
  const auto suspects_position = reply.has_suspects() ? reply.suspects().position()
                                 : is_same            ? previous->second.suspects_position
                                                      : 0;
  positions_.clear();
  if (reply.from_position() == 0) list_source_ = reply.source();
  if (reply.source() == list_source_)
    positions_[address] = {reply.source(), reply.position(), suspects_position};
}

void update_client::record_failure(const std::string& address) {
  const std::lock_guard lock(mutex_);
  if (hosts_.record_failure(monotonic_now(), address))
    log_warning("control_host_lost").with("control_host", address);
}

} // namespace zinnia::flowd
