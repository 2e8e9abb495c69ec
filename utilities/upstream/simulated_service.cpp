#include "simulated_service.h"

#include <map>
#include <thread>

namespace zinnia::utilities {
namespace {

// The synchronous gRPC server doesn't notify a waiting handler of a cancellation.
constexpr milliseconds cancellation_check_interval{2};
// The first request of a cold upstream takes this many times as long as one at full speed.
constexpr int cold_slowdown = 4;

} // namespace

simulated_service::simulated_service(options opts, request_journal& journal)
    : options_(std::move(opts)), journal_(journal),
      content_(options_.service + '@' + options_.content_version, options_.content_bytes),
      content_digest_(content_.digest()) {}

simulated_service::handler simulated_service::find_handler(const std::string& method) {
  static const std::map<std::string, handler> handlers{
      {"lookup", &simulated_service::answer},
      {"certify", &simulated_service::answer},
      {"download", &simulated_service::answer_range},
  };
  const auto found = handlers.find(method);
  return found == handlers.end() ? nullptr : found->second;
}

grpc::Status simulated_service::Serve(grpc::ServerContext* context,
                                      const wire::serve_request* request,
                                      wire::serve_reply* reply) {
  if (is_unanswered(context->peer())) {
    wait_until_cancelled(*context);
    return grpc::Status::CANCELLED;
  }
  const auto deadline = monotonic_now() + milliseconds(request->deadline_ms());
  const auto refused = refuse_before_start(*request);
  reply->set_result(
      refused != wire::serve_reply::done
          ? refused
          : run(*context, *request, *reply, find_handler(request->method()), deadline));
  return grpc::Status::OK;
}

wire::serve_reply::status
simulated_service::refuse_before_start(const wire::serve_request& request) {
  const std::lock_guard lock(mutex_);
  if (is_lease_ended_) ++counters_.after_lease;
  // Ports are reused, so the call may be intended for another upstream (R4).
  if (request.service() != options_.service ||
      request.upstream_incarnation() != options_.incarnation) {
    ++counters_.wrong_identity;
    return wire::serve_reply::wrong_identity;
  }
  if (find_handler(request.method()) == nullptr) return wire::serve_reply::unknown_method;
  if (is_leaving_) {
    ++counters_.refused_leaving;
    return wire::serve_reply::leaving;
  }
  if (running_ + waiting_ >= options_.slots) {
    ++counters_.over_slots;
    if (options_.overload == overload_behaviour::shed) {
      ++counters_.shed;
      return wire::serve_reply::shedding;
    }
  }
  return wire::serve_reply::done;
}

wire::serve_reply::status simulated_service::run(grpc::ServerContext& context,
                                                 const wire::serve_request& request,
                                                 wire::serve_reply& reply, handler handle,
                                                 time_point deadline) {
  std::unique_lock lock(mutex_);
  if (!wait_for_slot(context, lock, deadline)) {
    ++counters_.cancelled_before_start;
    return wire::serve_reply::cancelled_before_start;
  }
  ++running_;
  const auto end = monotonic_now() + next_service_time();
  lock.unlock();

  if (request.method() == "certify")
    journal_.add(request.flow(), request.request_number(), request.method(), request.payload());
  bool is_abandoned = false;
  for (auto now = monotonic_now(); now < end && !is_abandoned; now = monotonic_now()) {
    std::this_thread::sleep_for(std::min<microseconds>(cancellation_check_interval, end - now));
    is_abandoned = context.IsCancelled() || monotonic_now() > deadline;
  }
  if (!is_abandoned) (this->*handle)(request, reply);

  lock.lock();
  --running_;
  ++(is_abandoned ? counters_.cancelled : counters_.done);
  slot_free_.notify_one();
  if (is_abandoned) return wire::serve_reply::failed;
  return reply.result();
}

bool simulated_service::wait_for_slot(grpc::ServerContext& context,
                                      std::unique_lock<std::mutex>& lock, time_point deadline) {
  ++waiting_;
  bool is_abandoned = false;
  while (running_ >= options_.slots && !is_abandoned) {
    slot_free_.wait_for(lock, cancellation_check_interval);
    is_abandoned = context.IsCancelled() || monotonic_now() > deadline;
  }
  --waiting_;
  return !is_abandoned;
}

milliseconds simulated_service::next_service_time() {
  const auto previous = started_requests_++;
  if (previous >= options_.cold_start) return options_.service_time;
  const auto remaining = options_.cold_start - previous;
  return options_.service_time +
         options_.service_time * ((cold_slowdown - 1) * remaining) / options_.cold_start;
}

void simulated_service::answer(const wire::serve_request& request, wire::serve_reply& reply) {
  reply.set_payload(expected_answer(options_.service, request.method(), request.payload()));
  reply.set_result(wire::serve_reply::done);
}

void simulated_service::answer_range(const wire::serve_request& request, wire::serve_reply& reply) {
  const bool is_same_version =
      request.content_version().empty() || request.content_version() == options_.content_version;
  reply.set_content_version(options_.content_version);
  reply.set_content_length(content_.size());
  reply.set_content_digest(content_digest_);
  if (is_same_version)
    reply.set_payload(content_.bytes(request.range_offset(), request.range_length()));
  reply.set_result(is_same_version ? wire::serve_reply::done : wire::serve_reply::content_changed);
}

grpc::Status simulated_service::CheckConnection(grpc::ServerContext* context,
                                                const wire::connection_check* request,
                                                wire::connection_status* reply) {
  if (is_unanswered(context->peer())) {
    wait_until_cancelled(*context);
    return grpc::Status::CANCELLED;
  }
  reply->set_right_identity(request->upstream_incarnation() == options_.incarnation);
  reply->set_healthy(options_.reports_healthy);
  reply->set_outstanding(outstanding());
  return grpc::Status::OK;
}

bool simulated_service::is_unanswered(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  peers_.insert(peer);
  return unanswered_peers_.count(peer) > 0;
}

void simulated_service::wait_until_cancelled(grpc::ServerContext& context) {
  while (!context.IsCancelled())
    std::this_thread::sleep_for(cancellation_check_interval);
}

void simulated_service::start_leaving() {
  const std::lock_guard lock(mutex_);
  is_leaving_ = true;
}

void simulated_service::end_lease() {
  const std::lock_guard lock(mutex_);
  is_lease_ended_ = true;
}

void simulated_service::stop_answering_connections() {
  const std::lock_guard lock(mutex_);
  unanswered_peers_ = peers_;
}

std::uint32_t simulated_service::outstanding() const {
  const std::lock_guard lock(mutex_);
  return running_ + waiting_;
}

simulated_service::counters simulated_service::current_counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

} // namespace zinnia::utilities
