#pragma once

#include "packet_socket.h"
#include "platform/packet_codec.h"
#include "shared/notice_socket.h"
#include "spillover_report.h"
#include "update_client.h"
#include "zinniarelay/config/flow_settings.h"
#include "zinniarelay/config/settings_watch.h"
#include "zinniarelay/flow/flow_host.h"
#include "zinniarelay/http/http_server.h"
#include "zinniarelay/observe/log_rate_limiter.h"
#include "zinniarelay/observe/metric_registry.h"

#include <array>
#include <atomic>
#include <filesystem>
#include <memory>
#include <span>

namespace zinnia::flowd {

/// Forwards the packets of callers to upstreams. Control hosts provide the declarations and the
/// upstreams.
class flow_daemon {
public:
  /// Fails with error_kind::io when an address cannot be bound.
  static result<std::unique_ptr<flow_daemon>> create(const flow_settings& settings,
                                                     random_engine engine);

  /// Set by signal handlers.
  struct requests {
    std::atomic<bool> stop{false};
    std::atomic<bool> reload{false};
  };

  /// Runs until a stop is requested. Then returns when no more packets of callers arrive, or when
  /// the grace period for stopping has passed.
  void run(requests& requested, const std::filesystem::path& settings_file);

private:
  flow_daemon(const flow_settings& settings, random_engine engine);

  result<void> bind();
  void reload(const std::filesystem::path& settings_file);
  /// Receives notices of control hosts that have started, and asks for the next ones.
  void exchange_notices(time_point now);
  /// Sends a load report to the control hosts when one is due.
  void send_load(time_point now);
  /// Detects that the process did not run for a while.
  void detect_suspension(time_point now);
  void apply_updates(time_point now);
  void log_declaration(const wire::news_reply& reply);
  void log_zones(const std::vector<evacuated_zones::change>& changes);
  void handle_packets(time_point now, std::size_t count);
  /// `bytes` is the packet, preceded by the headroom of packet_socket. It stays valid until
  /// flush().
  void handle_packet(time_point now, const packet_head& head, std::span<std::byte> bytes);
  /// Decides on the packets that waited for an update.
  void release_held_packets(time_point now);
  void flush();
  void queue_reset(const packet_head& head);
  void log_decision(time_point now, const packet_head& head, const flow_decision& decision);
  void log_status(time_point now);
  void publish(time_point now);
  void publish_warmup();
  /// Publishes the metrics of load reports.
  void publish_loads();
  http_response answer(const http_request& request);

  flow_settings settings_;
  random_engine engine_;
  flow_host host_;
  std::atomic<bool> is_ready_{false};
  log_rate_limiter log_rate_limiter_;
  metric_registry metrics_;
  distribution& answer_durations_;
  distribution& loop_gaps_; ///< times between iterations of the loop in run()
  spillover_report spillover_report_;
  std::unique_ptr<packet_socket> socket_;
  std::unique_ptr<update_client> updates_;
  std::unique_ptr<notice_socket> notices_;
  std::unique_ptr<http_server> ready_server_;
  std::unique_ptr<http_server> metrics_server_;
  std::array<std::array<std::byte, platform::head_size>, packet_socket::batch> resets_{};
  std::size_t reset_count_ = 0;
  time_point last_iteration_; ///< of the loop in run()
  time_point next_publish_;
  time_point next_status_;
  std::uint64_t warmup_holder_; ///< distinguishes this process from an earlier one of this host
  time_point next_presence_;
  std::uint64_t malformed_ = 0;
  std::uint64_t unsent_ = 0; ///< datagrams that the system refused
  std::uint64_t loads_sent_ = 0;
  std::uint64_t load_bytes_sent_ = 0;
};

} // namespace zinnia::flowd
