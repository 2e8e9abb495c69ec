#pragma once

#include "flow.grpc.pb.h"
#include "zinniarelay/core/content_assembler.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/control_host_choice.h"
#include "zinniarelay/flow/control_host_search.h"
#include "zinniarelay/observe/metric_registry.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::flowd {

/// Fetches declarations and updates of upstreams from one control host at a time, by calls that
/// wait for an urgent update (docs/design.md R34).
class update_client {
public:
  struct identity {
    std::string host;
    std::uint32_t zone = 0;
    milliseconds report_timeout; ///< an upstream without a report for longer is overdue
    bool accepts_loads = false;  ///< replies may contain the suspects and sums of load
  };

  /// The engine orders the seeds and varies the pauses, so that entry hosts which start at the
  /// same time spread their requests.
  update_client(identity self, std::vector<std::string> seeds, random_engine engine,
                metric_registry& metrics);
  update_client(const update_client&) = delete;
  update_client& operator=(const update_client&) = delete;
  ~update_client();

  /// Replaces the seeds; the control hosts named by replies stay.
  void set_seeds(std::vector<std::string> seeds);
  /// A reply of a control host.
  struct update {
    wire::news_reply reply;
    time_point requested; ///< when the request was sent
  };

  /// Returns the replies since the last call, oldest first.
  std::vector<update> take();
  /// Returns the known control hosts.
  std::vector<std::string> control_hosts() { return candidates(); }
  /// Records that a control host has started; `source` is the number of its process. A search then
  /// sends a request to it at once.
  void record_start(const std::string& address, std::uint64_t source);
  /// Makes the next request ask for an immediate reply.
  void request_immediate_reply() { is_immediate_reply_required_ = true; }
  /// Sets the number of this process in requests for warm-up grants; 0 requests none.
  void set_warmup_holder(std::uint64_t holder) { warmup_holder_ = holder; }
  /// Sets the version of the declaration in force, which the next request names.
  void set_version(std::uint64_t version) { version_ = version; }
  /// Sets the version of the evacuations in force, which the next request names.
  void set_evacuations_version(std::uint64_t version) { evacuations_version_ = version; }

private:
  struct received_position {
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    std::uint64_t suspects_position = 0;
  };

  using stub = wire::flow_control::Stub;

  /// One of the parallel requests for updates.
  struct attempt {
    std::string address;
    time_point requested;
    bool is_repeated = false; ///< cancelled because its host has started
    std::shared_ptr<wire::flow_control::Stub> stub;
    grpc::ClientContext context;
    wire::news_reply reply;
    std::size_t reply_bytes = 0; ///< as received
    grpc::Status status;
    bool is_decoded = false; ///< the reply; gRPC does not show a failure to decode in the status
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::news_reply>> reader;

    bool has_reply() const { return status.ok() && is_decoded; }
  };

  void run();
  /// Requests updates from the preferred host; when it does not reply in time, and when there is
  /// none, from all hosts in the order and with the pauses of control_host_search, until one with a
  /// quorum replies. Returns false when this client stops before.
  bool fetch(const std::string& preferred);
  /// A request of a search may wait for a quorum.
  void begin_attempt(const control_host_search::request& due, bool is_search);
  /// Returns the next request that has ended; null when there is none until the given time.
  attempt* next_ended(time_point until);
  /// Makes the search ask the control hosts that have started, in place of requests that were sent
  /// before the start.
  void ask_started(control_host_search& schedule);
  /// Records the end of a request, after which its host is asked again when the search goes on.
  void record_end(control_host_search& schedule, const attempt& ended);
  void cancel_attempts();
  /// Adds what is complete to a reply: the content of compressed fields, and the declaration of
  /// which the reply contains the last part. Fails with error_kind::corrupted.
  result<void> complete(wire::news_reply& reply);
  /// Handles the end of a request. Returns true when its host has a quorum.
  bool finish_attempt(attempt& ended);
  /// Returns true when the host refused the connection.
  static bool is_refusal(const attempt& ended);
  wire::news_request request_for(const std::string& address, milliseconds wait);
  random_engine derived_engine();
  std::vector<std::string> candidates();
  std::vector<std::string> shuffled(std::vector<std::string> addresses);
  /// Stores a reply for take(). Returns false when its sender has lost its quorum.
  bool accept(const attempt& ended);
  void record_position(const std::string& address, const wire::news_reply& reply);
  void record_failure(const std::string& address);
  /// Counts the end of a request, and the duration and size of its reply.
  void measure(const attempt& ended, const char* outcome);
  bool is_stopping();

  identity self_;
  metric_registry& metrics_;
  distribution& reply_durations_;
  distribution& reply_bytes_;
  content_assembler declaration_parts_;
  std::uint64_t list_source_ = 0; ///< process whose list of upstreams was received last
  std::map<std::string, received_position> positions_;       ///< by address
  std::map<std::string, std::unique_ptr<attempt>> attempts_; ///< of a search, by address
  /// Connections by address. A search keeps those to hosts that reply without a quorum.
  std::map<std::string, std::shared_ptr<stub>> stubs_;
  grpc::CompletionQueue queue_;

  std::mutex mutex_;
  random_engine engine_;
  control_host_choice hosts_;
  std::vector<update> updates_;
  std::map<std::string, std::uint64_t> sources_; ///< of the latest notices, by control host
  std::vector<std::string> started_;             ///< control hosts, since the last take
  bool is_stopping_ = false;
  std::atomic<std::uint64_t> version_{0};
  std::atomic<std::uint64_t> evacuations_version_{0};
  std::atomic<std::uint64_t> warmup_holder_{0};
  std::atomic<bool> is_immediate_reply_required_{false};
  std::thread worker_;
};

} // namespace zinnia::flowd
