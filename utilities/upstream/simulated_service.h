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

/// Serves the requests of a simulated upstream, at most as many at a time as it has slots.
class simulated_service final : public wire::service_endpoint::Service {
public:
  /// What happens to a request that arrives while all slots are busy.
  enum class overload_behaviour { wait_for_slot, shed };

  struct options {
    std::string service;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    milliseconds service_time{0};
    std::uint32_t cold_start = 0; ///< requests until the upstream reaches its full speed
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

  simulated_service(options opts, request_journal& journal);

  grpc::Status Serve(grpc::ServerContext* context, const wire::serve_request* request,
                     wire::serve_reply* reply) override;
  grpc::Status CheckConnection(grpc::ServerContext* context, const wire::connection_check* request,
                               wire::connection_status* reply) override;

  /// Refuses new calls before start. Running calls complete.
  void start_leaving();
  /// Marks the leases of all hosts as ended. Later calls are counted in after_lease.
  void end_lease();
  /// Stops answering on all connections that have sent a call so far. New connections work.
  void stop_answering_connections();

  std::uint32_t outstanding() const; ///< running calls and calls that wait for a slot
  counters current_counters() const;

private:
  using handler = void (simulated_service::*)(const wire::serve_request&, wire::serve_reply&);

  static handler find_handler(const std::string& method);

  wire::serve_reply::status refuse_before_start(const wire::serve_request& request);
  wire::serve_reply::status run(grpc::ServerContext& context, const wire::serve_request& request,
                                wire::serve_reply& reply, handler handle, time_point deadline);
  bool wait_for_slot(grpc::ServerContext& context, std::unique_lock<std::mutex>& lock,
                     time_point deadline);
  milliseconds next_service_time();
  void answer(const wire::serve_request& request, wire::serve_reply& reply);
  void answer_range(const wire::serve_request& request, wire::serve_reply& reply);
  /// Returns true when calls of a peer get no answer. Also records the peer for
  /// stop_answering_connections().
  bool is_unanswered(const std::string& peer);
  static void wait_until_cancelled(grpc::ServerContext& context);

  const options options_;
  request_journal& journal_;
  const generated_content content_;
  const std::string content_digest_;

  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t started_requests_ = 0;
  bool is_leaving_ = false;
  bool is_lease_ended_ = false;
  std::set<std::string> peers_; ///< that have sent a call
  std::set<std::string> unanswered_peers_;
  counters counters_;
};

} // namespace zinnia::utilities
