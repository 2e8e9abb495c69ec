#pragma once

#include "event_queue.h"
#include "zinniarelay/entry/entry_effect.h"

#include "operator.pb.h"

#include <functional>
#include <memory>

namespace zinnia::entryd {

/// Serves the announcements of upstreams and the metrics requests of operators by gRPC.
class registration_server {
public:
  /// Returns the metrics of the host. Called from the threads of gRPC.
  using metrics_reader = std::function<wire::metrics_reply()>;

  /// Fails with error_kind::io when the address cannot be bound.
  static result<std::unique_ptr<registration_server>>
  create(const std::string& address, event_queue& events, metrics_reader read_metrics);
  ~registration_server();
  registration_server(const registration_server&) = delete;
  registration_server& operator=(const registration_server&) = delete;

  void execute(const reply_to_announcement& effect);

private:
  struct implementation;
  explicit registration_server(std::unique_ptr<implementation> state);
  std::unique_ptr<implementation> implementation_;
};

} // namespace zinnia::entryd
