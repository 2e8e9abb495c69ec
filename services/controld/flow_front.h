#pragma once

#include "flow.grpc.pb.h"
#include "host_state.h"
#include "recall_writer.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/control/flow_operations.h"
#include "zinniarelay/observe/metric_registry.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::controld {

struct flow_front_settings {
  std::string address;            ///< gRPC of this host
  std::vector<std::string> seeds; ///< gRPC of control hosts that may know the group
  std::string recall_folder;      ///< empty: nothing is kept for the next start
};

class spread_link;

/// Serves packet flows on a control host: declarations, reports of upstreams, news
/// for entry hosts, and the exchange of both with the other control hosts.
class flow_front final : public wire::flow_control::Service, public flow_operations {
public:
  /// `carry_out` sends what the host has produced; it is called with the mutex held.
  flow_front(host_state& shared, flow_front_settings settings, std::function<void()> carry_out);
  flow_front(const flow_front&) = delete;
  flow_front& operator=(const flow_front&) = delete;
  ~flow_front() override;

  void start();
  void stop();
  /// Replaces the addresses that a host without a group asks.
  void set_seeds(std::vector<std::string> seeds);
  const metric_registry& metrics() const { return metrics_; }
  /// Called with the mutex held after the host may have applied entries.
  void note_progress();

  answer apply_version(const wire::versioned_declaration& proposed) override;
  std::optional<std::string> read_document() override;
  answer report(const upstream_report& value) override;
  std::optional<upstream_report> find_upstream(const std::string& id) override;

  grpc::Status News(grpc::ServerContext* context, const wire::news_request* request,
                    wire::news_reply* reply) override;
  grpc::Status Spread(grpc::ServerContext* context, const wire::spread_request* request,
                      wire::spread_reply* reply) override;
  grpc::Status Read(grpc::ServerContext* context, const wire::read_request* request,
                    wire::read_reply* reply) override;
  grpc::Status Join(grpc::ServerContext* context, const wire::join_request* request,
                    wire::join_reply* reply) override;
  grpc::Status ApplyVersion(grpc::ServerContext* context, const wire::version_request* request,
                            wire::version_reply* reply) override;

private:
  using stub = wire::flow_control::Stub;

  std::shared_ptr<stub> stub_of(const std::string& address);
  void forget_stub(const std::string& address);
  wire::version_reply apply_here(const wire::version_request& request);
  wire::read_reply read_here();
  wire::read_reply read_index();
  bool is_safe_to_confirm(std::uint64_t position) const;
  bool is_known_elsewhere(std::uint64_t position) const;
  void run_links();
  void refresh_links();
  void run_joining();
  void start_recalling();
  std::optional<wire::join_reply> ask_to_join(const std::string& address,
                                              const wire::join_request& request);

  host_state& shared_;
  flow_front_settings settings_;
  std::function<void()> carry_out_;
  std::condition_variable news_; ///< urgent news, or a declaration
  std::condition_variable stopped_;
  bool is_stopping_ = false;
  std::mutex stub_mutex_;
  std::map<std::string, std::shared_ptr<stub>> stubs_;
  std::map<std::string, std::unique_ptr<spread_link>> links_;
  std::unique_ptr<recall_writer> recall_;
  std::vector<std::thread> workers_;
  std::uint64_t announced_version_ = 0;
  metric_registry metrics_;
};

} // namespace zinnia::controld
