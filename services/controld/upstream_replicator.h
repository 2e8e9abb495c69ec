#pragma once

#include "flow.grpc.pb.h"
#include "flow_control_service.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace zinnia::controld {

/// Replicates the reports of upstreams from this control host to another one.
class upstream_replicator {
public:
  /// `on_confirmed` is called with the shared mutex held.
  upstream_replicator(host_state& shared, std::string address, std::function<void()> on_confirmed);
  upstream_replicator(const upstream_replicator&) = delete;
  upstream_replicator& operator=(const upstream_replicator&) = delete;
  ~upstream_replicator();

  /// Requests replication without delay. Called with the shared mutex held, after a change of
  /// content.
  void wake() { changed_.notify_all(); }
  /// Returns the position up to which the other host has all updates. Called with the shared
  /// mutex held.
  std::uint64_t confirmed() const { return confirmed_; }

private:
  void run();
  /// Logs the result of a request when it differs from the previous result.
  void log_result(bool is_sent);
  /// Returns false when the request failed. The next request then opens a new connection.
  bool send(const wire::spread_request& request, wire::spread_reply& reply);

  host_state& shared_;
  std::string address_;
  std::function<void()> on_confirmed_;
  std::unique_ptr<wire::flow_control::Stub> stub_;
  std::condition_variable changed_;
  std::uint64_t confirmed_ = 0;
  std::uint64_t peer_source_ = 0; ///< process that confirmed; 0: replicate all upstreams
  bool is_up_ = true;             ///< the last request succeeded
  bool is_stopping_ = false;
  std::thread worker_;
};

} // namespace zinnia::controld
