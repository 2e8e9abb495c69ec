#pragma once

#include "flow_front.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/control/flow_operations.h"

#include <memory>
#include <string>
#include <vector>

namespace zinnia::controld {

/// Serves a control_host by gRPC and carries its messages to the other members.
class control_server {
public:
  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<control_server>>
  start(control_host host, const std::string& address, flow_front_settings settings);

  virtual ~control_server() = default;

  /// Advances time and returns the fault that the process must stop for. A failed write is
  /// none: the disk may take writes again.
  virtual std::optional<error> tick() = 0;
  virtual flow_operations& flows() = 0;
  virtual wire::metrics_reply metrics() = 0;
  /// Replaces the addresses that a host without a group asks.
  virtual void set_seeds(std::vector<std::string> seeds) = 0;
  virtual void stop() = 0;
};

} // namespace zinnia::controld
