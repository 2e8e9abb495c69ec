#pragma once

#include "common/generated_content.h"
#include "request_journal.h"
#include "zinniarelay/core/time.h"

#include "upstream.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace zinnia::utilities {

/// The work of a simulated upstream, limited to its slots.
class simulated_service final : public wire::service_endpoint::Service {
public:
  /// What happens to a request that arrives while all slots are busy.
  enum class overload_behaviour { wait_for_slot, shed };

  struct options {
    std::string service;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    milliseconds service_time{0};
    std::uint32_t cold_start = 0; ///< requests until the full speed is reached
    overload_behaviour overload = overload_behaviour::wait_for_slot;
    bool reports_healthy = true;
    std::uint64_t content_bytes = 0;
    std::string content_version = "1";
  };

  struct counters {
    std::uint64_t done = 0;
    std::uint64_t cancelled = 0; ///< started, then cancelled or past the deadline
    std::uint64_t wrong_identity = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused_leaving = 0;
    std::uint64_t cancelled_before_start = 0;
    std::uint64_t over_slots = 0;  ///< calls that found all slots busy
    std::uint64_t after_lease = 0; ///< calls that arrived after end_lease()
  };

  simulated_service(options chosen, request_journal& journal);

  grpc::Status Serve(grpc::ServerContext* context, const wire::serve_request* request,
                     wire::serve_reply* reply) override;
  grpc::Status CheckConnection(grpc::ServerContext* context, const wire::connection_check* request,
                               wire::connection_status* reply) override;

  /// New calls are refused before start; running ones complete.
  void start_leaving();
  /// From here on, no host may hold a lease to send new calls.
  void end_lease();
  /// Calls on connections seen so far get no answer any more; new connections work.
  void silence_connections();

  std::uint32_t outstanding() const; ///< running calls and calls that wait for a slot
  counters counted() const;

private:
  using handler = void (simulated_service::*)(const wire::serve_request&, wire::serve_reply&);

  static handler handler_of(const std::string& method);

  wire::serve_reply::status refuse_before_start(const wire::serve_request& request);
  wire::serve_reply::status run(grpc::ServerContext& context, const wire::serve_request& request,
                                wire::serve_reply& reply, handler work, time_point deadline);
  bool wait_for_slot(grpc::ServerContext& context, std::unique_lock<std::mutex>& lock,
                     time_point deadline);
  milliseconds next_service_time();
  void answer(const wire::serve_request& request, wire::serve_reply& reply);
  void answer_range(const wire::serve_request& request, wire::serve_reply& reply);
  bool is_silent(const std::string& peer);
  static void wait_until_cancelled(grpc::ServerContext& context);

  const options options_;
  request_journal& journal_;
  const generated_content content_;
  const std::string content_digest_;

  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t started_ = 0;
  bool leaving_ = false;
  bool lease_ended_ = false;
  std::set<std::string> seen_peers_;
  std::set<std::string> silent_peers_;
  counters counters_;
};

} // namespace zinnia::utilities
