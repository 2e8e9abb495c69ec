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

/// Stands in for the network in front of the entry hosts: packets of callers go
/// to a random host, packets of hosts go to their callers.
class fabric {
public:
  struct options {
    std::vector<endpoint> services;
    std::vector<endpoint> hosts;
    endpoint listen;
    std::optional<endpoint> control; ///< takes the commands of execute() as datagrams
    impairments faults;
    std::uint64_t seed = 1;
  };

  struct counters {
    std::uint64_t to_hosts = 0;
    std::uint64_t to_callers = 0;
    std::uint64_t lost = 0;
    std::uint64_t cut = 0;       ///< dropped because the host is cut off
    std::uint64_t malformed = 0; ///< frames from hosts that do not parse or name no service
    std::uint64_t not_sent = 0;  ///< refused by the system
  };

  static result<fabric> create(options chosen);

  /// Delivers packets until a stop signal.
  void run();

  /// "cut HOST" drops the host's packets in both directions, "withdraw HOST" stops
  /// choosing it, "restore HOST" undoes both, "set loss|duplicate|reorder SHARE" and
  /// "set delay|jitter MS" change the faults, "counters" reports. HOST is ip:port.
  std::string execute(const std::string& command);

private:
  struct delivery {
    time_point due;
    std::uint64_t order = 0;
    std::size_t socket = 0;
    endpoint receiver;
    std::string payload;

    friend bool operator>(const delivery& a, const delivery& b) {
      return std::tie(a.due, a.order) > std::tie(b.due, b.order);
    }
  };

  fabric(options chosen, std::vector<udp_socket> sockets, std::optional<udp_socket> control);

  void take_from_callers(time_point now);
  void take_from_hosts(time_point now);
  void take_commands();
  void admit(time_point now, std::size_t socket, const endpoint& receiver,
             const std::string& payload);
  void deliver_due(time_point now);
  void send(const delivery& it);
  std::optional<endpoint> choose_host();
  std::string change_host(const std::string& verb, const std::string& host);
  std::string change_fault(const std::string& name, double value);
  std::string report() const;

  // sockets_[0] faces the hosts; sockets_[n + 1] is that of the nth service.
  static constexpr std::size_t host_side = 0;

  options options_;
  std::vector<udp_socket> sockets_;
  std::optional<udp_socket> control_;
  std::map<endpoint, std::size_t> socket_of_service_;
  std::set<endpoint> cut_;
  std::set<endpoint> withdrawn_;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> waiting_;
  std::uint64_t order_ = 0;
  random_engine random_;
  counters counters_;
};

} // namespace zinnia::utilities
