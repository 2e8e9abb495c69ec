#pragma once

#include "child_process.h"
#include "common/tcp_proxy.h"
#include "udp_proxy.h"
#include "zinniarelay/core/time.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::soak {

enum class role { control, entry, upstream, caller };

/// A process of the installation and its state.
struct member {
  role kind = role::control;
  std::uint32_t number = 1;
  std::vector<std::string> arguments;
  std::optional<child_process> process;
  bool is_ending = false;            ///< was sent SIGTERM or SIGKILL
  std::optional<time_point> restart; ///< time of the next start
  time_point may_fail_until;         ///< its writes fail, so it may exit by itself until then
  time_point last_fault;

  std::string name() const;
};

struct installation_options {
  std::filesystem::path programs; ///< folder of the programs of hosts, upstreams and callers
  std::filesystem::path work;     ///< folder of settings, data and logs
  std::uint32_t network = 0;      ///< second and third byte of all addresses in 127.0.0.0/8
  std::uint64_t seed = 1;
};

/// Control hosts, entry hosts, upstreams and callers as processes on loopback, with proxies in
/// front of the hosts.
class installation {
public:
  static constexpr std::uint32_t controls = 4;
  static constexpr std::uint32_t entries = 4;
  static constexpr std::uint32_t upstreams = 6;
  static constexpr std::uint16_t service_port = 443;

  /// Returns the zone of the host or upstream with this number.
  static std::string zone_of(std::uint32_t number);

  static result<std::unique_ptr<installation>> create(const installation_options& options);

  /// Starts the processes whose restart is due and checks which processes have ended. Records an
  /// unexpected exit if a process ended without a request.
  void supervise(time_point now);

  member& get(role kind, std::uint32_t number);
  tcp_proxy& control_proxy(std::uint32_t number) { return *control_proxies_.at(number - 1); }
  tcp_proxy& operator_proxy(std::uint32_t number) { return *operator_proxies_.at(number - 1); }
  udp_proxy& packet_proxy(std::uint32_t number) { return *packet_proxies_.at(number - 1); }

  /// Sends SIGTERM or SIGKILL to a process, which starts again at the given time.
  void stop(member& target, int signal, time_point restart);
  /// Returns true when a control host has written a part of the files of its first start.
  bool is_bootstrapping() const;
  /// Deletes the data of a control host that is down.
  void wipe_data(std::uint32_t control);
  /// Appends an incomplete entry to the log of a control host that is down.
  void append_torn_entry(std::uint32_t control);
  /// Gives the next upstream with this number a new id. The first two numbers keep the service
  /// registry and the last two catalogue; the others get the random service.
  void replace_upstream(std::uint32_t number, const std::string& random_service);
  /// Rotates the order of the control hosts in the settings of an entry host.
  void rotate_seeds(std::uint32_t entry, std::uint32_t by);

  std::vector<endpoint> operator_addresses() const;
  static endpoint service_address(const std::string& service, std::uint16_t port = service_port);
  bool is_ready(std::uint32_t entry) const;
  /// Runs a caller until it ends and returns its summary line.
  result<std::string> call(const std::string& service, std::uint16_t port, std::uint32_t flows);
  /// Starts callers that open flows until stop_callers().
  void start_callers();
  void stop_callers();

  std::filesystem::path log_of(const std::string& name) const;
  const std::vector<std::string>& unexpected_exits() const { return unexpected_exits_; }
  std::vector<member>& members() { return members_; }

private:
  explicit installation(const installation_options& options) : options_(options) {}

  result<void> build();
  result<void> add_proxies(random_engine& engine);
  endpoint address(std::uint32_t last, std::uint16_t port) const;
  void write_control_settings(std::uint32_t number, bool is_first_start) const;
  void write_entry_settings(std::uint32_t number, std::uint32_t rotation) const;
  std::vector<std::string> caller_arguments(std::uint32_t number, const std::string& service,
                                            std::uint16_t port) const;
  void add(role kind, std::uint32_t number, std::vector<std::string> arguments);

  installation_options options_;
  std::vector<member> members_;
  std::vector<std::unique_ptr<tcp_proxy>> control_proxies_;
  std::vector<std::unique_ptr<tcp_proxy>> operator_proxies_;
  std::vector<std::unique_ptr<udp_proxy>> packet_proxies_;
  std::vector<std::string> unexpected_exits_;
  std::uint32_t next_upstream_id_ = 0x100;
  std::uint32_t probe_count_ = 0;
};

} // namespace zinnia::soak
