#pragma once

#include "flow.grpc.pb.h"
#include "host_state.h"
#include "view_writer.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/control/flow_operations.h"
#include "zinniarelay/control/update_queue.h"
#include "zinniarelay/observe/log_rate_limiter.h"
#include "zinniarelay/observe/metric_registry.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::controld {

struct flow_control_service_settings {
  std::string address;            ///< gRPC address of this host
  std::vector<std::string> seeds; ///< gRPC addresses of control hosts that may belong to the group
  std::string view_folder;        ///< folder of the saved view; empty: no view is saved
};

class update_call;
class upstream_replicator;

/// Implements the gRPC service flow_control on a control host: declarations of packet flows,
/// reports of upstreams, updates for entry hosts, and the exchange of declarations and reports
/// with the other control hosts.
class flow_control_service final
    : public wire::flow_control::WithCallbackMethod_News<wire::flow_control::Service>,
      public flow_operations {
public:
  /// `execute_effects` sends the pending messages of the host and logs its warnings. Called with
  /// the shared mutex held.
  flow_control_service(host_state& shared, flow_control_service_settings settings,
                       std::function<void()> execute_effects);
  flow_control_service(const flow_control_service&) = delete;
  flow_control_service& operator=(const flow_control_service&) = delete;
  ~flow_control_service() override;

  void start();
  void stop();
  /// Replaces the addresses to which a host without a group sends its join requests.
  void set_seeds(std::vector<std::string> seeds);
  metric_registry& metrics() { return metrics_; }
  /// Logs a newly applied declaration and wakes the view writer. Called with the shared mutex held,
  /// when the host may have applied entries.
  void on_progress();
  /// Records the load report of an entry host and logs upstreams that become suspect by it. Called
  /// without the shared mutex.
  void record_load(const endpoint& entry_host, const wire::flow_load& report);
  /// Sends the replies to entry hosts that are due. Called without the shared mutex.
  void send_updates();

  answer apply_version(const wire::versioned_declaration& proposed) override;
  std::optional<std::string> read_document() override;
  answer order_zone(const std::string& zone, zone_order order) override;
  answer report(const upstream_report& value) override;
  std::optional<upstream_report> find_upstream(const std::string& id) override;

  /// Executes an order here, or at the leader unless another control host has forwarded it.
  wire::apply_reply evacuate(wire::evacuation_request request);

  grpc::ServerUnaryReactor* News(grpc::CallbackServerContext* context,
                                 const wire::news_request* request,
                                 wire::news_reply* reply) override;
  grpc::Status Spread(grpc::ServerContext* context, const wire::spread_request* request,
                      wire::spread_reply* reply) override;
  grpc::Status Read(grpc::ServerContext* context, const wire::read_request* request,
                    wire::read_reply* reply) override;
  grpc::Status Join(grpc::ServerContext* context, const wire::join_request* request,
                    wire::join_reply* reply) override;
  grpc::Status GrantWarmup(grpc::ServerContext* context, const wire::grant_request* request,
                           wire::grant_reply* reply) override;
  grpc::Status ApplyVersion(grpc::ServerContext* context, const wire::version_request* request,
                            wire::version_reply* reply) override;

private:
  using stub = wire::flow_control::Stub;

  // Operators and upstreams retry at another control host after 1 s. A host replies to each
  // request before that.
  static constexpr milliseconds reply_timeout{850};

  std::shared_ptr<stub> stub_of(const std::string& address);
  void remove_stub(const std::string& address);
  wire::version_reply apply_locally(const wire::version_request& request);
  /// Returns no value when the host does not reply or is not the leader.
  static std::optional<wire::apply_reply> forward(const std::string& leader,
                                                  const wire::evacuation_request& request,
                                                  std::chrono::steady_clock::time_point until);
  /// Logs the zones evacuated and restored. Called with the shared mutex held.
  void log_zone_changes();
  wire::read_reply read_locally();
  /// Returns the index that this host must have applied to include all acknowledged entries. The
  /// reply is not confirmed when no leader with a quorum replies in time.
  wire::read_reply read_index();
  /// Returns true when all updates up to a position are replicated, and are in the saved view
  /// unless it cannot be written.
  bool is_safe_to_confirm(std::uint64_t position) const;
  /// Returns true when another control host has all updates up to a position, or when this host is
  /// the only member.
  bool is_replicated(std::uint64_t position) const;
  void run_replicators();
  void refresh_replicators();
  /// Ends the call of an entry host that no longer waits.
  void cancel_update(std::uint64_t ticket);
  void run_joining();
  /// Requests warm-up leases from the leader while upstreams are cold.
  void run_warmup();
  /// Returns no value when the leader is unknown or does not reply.
  std::optional<wire::grant_reply> request_warmup(const std::string& leader,
                                                  const wire::grant_request& request);
  wire::grant_reply grant_locally(const wire::grant_request& request);
  void publish_warmup();
  /// Restores the saved view and starts the view writer.
  void restore_saved_view();
  std::optional<wire::join_reply> send_join_request(const std::string& address,
                                                    const wire::join_request& request);

  host_state& shared_;
  flow_control_service_settings settings_;
  std::function<void()> execute_effects_;
  update_queue update_queue_;
  std::map<std::uint64_t, update_call*> update_calls_; ///< waiting calls, by ticket
  std::condition_variable stopped_;
  bool is_stopping_ = false;
  std::mutex stub_mutex_;
  std::map<std::string, std::shared_ptr<stub>> stubs_;                      ///< by address
  std::map<std::string, std::unique_ptr<upstream_replicator>> replicators_; ///< by address
  std::unique_ptr<view_writer> view_writer_;
  std::vector<std::thread> workers_;
  std::uint64_t announced_version_ = 0;
  std::uint64_t zone_orders_ = 0; ///< received without an operation identifier
  log_rate_limiter suspect_lines_;
  metric_registry metrics_;
  distribution& reply_bytes_; ///< sizes of the replies to entry hosts
};

} // namespace zinnia::controld
