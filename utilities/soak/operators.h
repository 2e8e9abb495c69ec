#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::soak {

/// Two operators that change the declaration and read it back from random control hosts. They check
/// the promises that hold for operators.
class operators {
public:
  operators(std::vector<endpoint> controls, std::uint64_t seed);
  operators(const operators&) = delete;
  operators& operator=(const operators&) = delete;
  ~operators() = default;

  /// Enables or disables periodic changes. Reads continue in both cases.
  void set_changing(bool is_changing);
  /// Sends a change until it is acknowledged, and returns its version; 0 after the timeout. Each
  /// version has a route that no other version has.
  std::uint64_t change(milliseconds timeout);
  /// Reads until a control host replies, and returns the version; 0 after the timeout.
  std::uint64_t read(milliseconds timeout);
  /// Returns the port of the route that only this version has.
  static std::uint16_t port_of(std::uint64_t version);

  void stop();
  std::vector<std::string> findings() const;
  std::uint64_t acknowledged() const;

private:
  void run(const std::stop_token& end, std::uint64_t seed);
  std::uint64_t prepare_change(wire::flow_declaration& out);
  bool send(const wire::flow_declaration& declaration, random_engine& engine);
  std::uint64_t read_once(random_engine& engine);
  endpoint random_control(random_engine& engine) const;
  void add_finding(const std::string& finding);

  std::vector<endpoint> controls_;
  mutable std::mutex mutex_;
  std::uint64_t next_version_ = 1;
  std::uint64_t acknowledged_ = 0;
  std::map<std::uint64_t, std::string> sent_; ///< document by version
  std::vector<std::string> findings_;
  bool is_changing_ = true;
  random_engine engine_;
  std::vector<std::jthread> workers_;
};

} // namespace zinnia::soak
