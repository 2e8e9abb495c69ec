#pragma once

#include "flow_control_service.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/control/flow_operations.h"
#include "zinniarelay/observe/metric_registry.h"

#include <memory>
#include <string>
#include <vector>

namespace zinnia::controld {

/// Serves a control_host by gRPC and sends its messages to the other members.
class control_server {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<control_server>>
  start(control_host host, const std::string& address, flow_control_service_settings settings);

  virtual ~control_server() = default;

  /// Advances time. Returns the error for which the process must stop, if any. After a failed
  /// write the process continues, because later writes may succeed.
  virtual std::optional<error> tick() = 0;
  virtual flow_operations& flows() = 0;
  virtual wire::metrics_reply metrics() = 0;
  /// Returns the metrics that metrics() reports in addition to those of the control_host.
  virtual metric_registry& flow_metrics() = 0;
  /// Replaces the addresses to which a host without a group sends its join requests.
  virtual void set_seeds(std::vector<std::string> seeds) = 0;
  /// Records that an entry host asks for notices of the next start.
  virtual void record_presence(const endpoint& entry_host) = 0;
  /// Records the load report of an entry host.
  virtual void record_load(const endpoint& entry_host, const wire::flow_load& report) = 0;
  /// Returns the entry hosts to notify now of the start of this host.
  virtual std::vector<endpoint> take_due_notices() = 0;
  /// Returns the random number of this process.
  virtual std::uint64_t source() = 0;
  virtual void stop() = 0;
};

} // namespace zinnia::controld
