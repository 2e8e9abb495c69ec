#pragma once

#include "entry/borrowed_connections.h"
#include "zinniarelay/balance/dispatch_queue.h"
#include "zinniarelay/config/service_directory.h"
#include "zinniarelay/entry/entry_effect.h"
#include "zinniarelay/entry/entry_event.h"
#include "zinniarelay/observe/metric_registry.h"
#include "zinniarelay/request/request_executor.h"
#include "zinniarelay/upstream/upstream_pool.h"

#include <functional>
#include <unordered_map>

namespace zinnia {

/// Connects the request executor to the dispatch queue and to the calls to upstreams.
class request_dispatcher {
public:
  /// Sends a message to another host and fills in the sender fields.
  using peer_sender = std::function<void(host_id, wire::peer_packet, entry_effects&)>;

  request_dispatcher(const service_directory& directory, request_executor executor,
                     dispatch_queue queue, peer_sender send_to_host, metric_registry& metrics);

  request_executor& executor() { return executor_; }
  const request_executor& executor() const { return executor_; }
  const dispatch_queue& queue() const { return queue_; }

  void execute(time_point now, const request_effects& effects, entry_effects& out);
  void on_call_finished(time_point now, const call_finished& event, entry_effects& out);
  void on_peer_message(time_point now, const wire::peer_packet& packet, entry_effects& out);
  void on_host_gone(time_point now, host_id host, entry_effects& out);
  void on_tick(time_point now, entry_effects& out);

  bool has_no_requests() const;

private:
  struct running_call {
    attempt_key attempt;
    work_key key;
    bool is_cancelled = false;
    time_point started_at;
  };

  void execute(time_point now, const dispatch_effects& effects, entry_effects& out);
  void start(time_point now, const start_work& effect, entry_effects& out);
  void reject(time_point now, const reject_work& effect, entry_effects& out);
  void cancel(const attempt_key& key, entry_effects& out);
  void send(const send_packet& effect, entry_effects& out);
  void count_sent(const wire::caller_packet& packet);

  const service_directory& directory_;
  request_executor executor_;
  dispatch_queue queue_;
  peer_sender send_to_host_;
  metric_registry& metrics_;
  borrowed_connections borrowed_;
  std::unordered_map<work_key, dispatch_request> attempts_;
  std::unordered_map<std::uint64_t, running_call> calls_;
  std::uint64_t next_call_ = 1;
};

} // namespace zinnia
