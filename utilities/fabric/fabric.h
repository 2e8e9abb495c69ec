#pragma once

#include "common/udp_socket.h"
#include "impairments.h"

#include "fabric.pb.h"

#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace zinnia::utilities {

/// Simulates the network in front of the entry hosts. Packets of callers go to a random host,
/// packets of hosts go to their callers.
class fabric {
public:
  struct options {
    std::vector<endpoint> services;
    std::vector<endpoint> hosts;
    endpoint listen;
    std::optional<endpoint> control; ///< receives the commands of execute() as datagrams
    impairments faults;
    std::uint64_t seed = 1;
  };

  struct counters {
    std::uint64_t to_hosts = 0;
    std::uint64_t to_callers = 0;
    std::uint64_t lost = 0;
    std::uint64_t cut = 0;       ///< dropped because the host is cut off
    std::uint64_t malformed = 0; ///< frames from hosts that are invalid or name an unknown service
    std::uint64_t not_sent = 0;  ///< datagrams that the system refused to send
  };

  static result<fabric> create(options opts);

  /// Delivers packets until a stop signal arrives.
  void run();

  /// Executes a command and returns the reply. HOST is ip:port.
  ///   "cut HOST" drops the host's packets in both directions.
  ///   "withdraw HOST" sends no more packets of callers to the host.
  ///   "restore HOST" undoes both.
  ///   "set loss|duplicate|reorder SHARE" and "set delay|jitter MS" change the faults.
  ///   "counters" returns the counters.
  std::string execute(const std::string& command);

private:
  struct delivery {
    time_point due;
    std::uint64_t sequence = 0; ///< orders deliveries that are due at the same time
    std::size_t socket = 0;     ///< index in sockets_
    endpoint receiver;
    std::string payload;

    friend bool operator>(const delivery& a, const delivery& b) {
      return std::tie(a.due, a.sequence) > std::tie(b.due, b.sequence);
    }
  };

  fabric(options opts, std::vector<udp_socket> sockets, std::optional<udp_socket> control);

  void receive_from_callers(time_point now);
  void receive_from_hosts(time_point now);
  void receive_commands();
  void schedule(time_point now, std::size_t socket, const endpoint& receiver,
                const std::string& payload);
  void send_due(time_point now);
  void send(const delivery& packet);
  std::optional<endpoint> choose_host();
  std::string change_host(const std::string& verb, const std::string& address);
  std::string change_fault(const std::string& fault, double value);
  std::string counters_text() const;

  // sockets_[0] exchanges frames with the hosts; sockets_[n + 1] exchanges packets with the
  // callers of services[n].
  static constexpr std::size_t host_socket = 0;

  options options_;
  std::vector<udp_socket> sockets_;
  std::optional<udp_socket> control_;
  std::map<endpoint, std::size_t> socket_of_service_;
  std::set<endpoint> cut_hosts_;
  std::set<endpoint> withdrawn_hosts_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> delayed_;
  std::uint64_t next_sequence_ = 0;
  random_engine random_;
  counters counters_;
};

} // namespace zinnia::utilities
