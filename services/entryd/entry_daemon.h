#pragma once

#include "control_client.h"
#include "event_queue.h"
#include "registration_server.h"
#include "upstream_connections.h"
#include "zinniarelay/config/entry_settings.h"
#include "zinniarelay/entry/entry_host.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <filesystem>
#include <memory>
#include <mutex>

namespace zinnia::entryd {

/// Converts datagrams, gRPC calls and timers to events of an entry host, and executes the effects
/// that the host returns (docs/design.md R1).
class entry_daemon {
public:
  /// Fails with error_kind::io when an address cannot be bound.
  static result<std::unique_ptr<entry_daemon>> create(const entry_settings& settings,
                                                      entry_host host);

  /// Starts a planned stop when `drain` is set. Returns when the planned stop has finished, or when
  /// `stop_now` is set.
  void run(const std::atomic<bool>& drain, const std::atomic<bool>& stop_now);

private:
  entry_daemon(const entry_settings& settings, entry_host host);

  result<void> bind();
  void wait() const;
  void receive_from(Poco::Net::DatagramSocket& socket, bool is_fabric);
  void handle(const entry_event& event);
  void publish_metrics();
  void reload_keys();

  void execute(const send_to_fabric& effect);
  void execute(const send_to_peer& effect);
  void execute(const reply_to_announcement& effect) { registration_->execute(effect); }
  void execute(const start_call& effect) { connections_->execute(effect); }
  void execute(const cancel_call& effect) { connections_->execute(effect); }
  void execute(const open_connection& effect) { connections_->execute(effect); }
  void execute(const close_connection& effect) { connections_->execute(effect); }
  void execute(const check_connection& effect) { connections_->execute(effect); }
  void execute(const save_configuration& effect);
  static void execute(const report_drain& effect);
  void execute(const poll_control& effect) { control_->execute(effect); }

  entry_settings settings_;
  entry_host host_;
  event_queue events_;
  Poco::Net::DatagramSocket fabric_socket_;
  Poco::Net::DatagramSocket peer_socket_;
  std::vector<char> receive_buffer_;
  std::unique_ptr<upstream_connections> connections_;
  std::unique_ptr<control_client> control_;
  std::unique_ptr<registration_server> registration_;
  std::mutex metrics_mutex_;
  wire::metrics_reply metrics_;
  std::filesystem::file_time_type keys_modified_at_{};
};

} // namespace zinnia::entryd
