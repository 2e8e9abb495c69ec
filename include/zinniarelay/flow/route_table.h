#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/error.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/warmup_limit.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

/// A service of a route and its weight in the distribution of new flows.
struct service_share {
  std::string service;
  std::uint32_t weight = 1;

  friend auto operator<=>(const service_share&, const service_share&) = default;
};

/// The services for the new flows to one address.
struct route {
  std::string name;
  wire::request_kind kind = wire::request_kind_unset;
  milliseconds timeout{0};
  milliseconds latency_objective{0};
  std::uint32_t priority = 0;
  std::vector<service_share> services;

  /// Returns the service for a flow's hash. All hosts choose the same one.
  const std::string& service_of(std::uint64_t flow_hash) const;

  friend bool operator==(const route&, const route&) = default;
};

/// Returns all defects of a declaration of packet flows; empty when it is valid.
std::vector<error> flow_declaration_errors(const wire::flow_declaration& declaration);

/// The routes of one version of the declaration.
class route_table {
public:
  route_table() = default;
  explicit route_table(const wire::flow_declaration& declaration);

  /// Applies a change of the declaration. Fails with error_kind::conflict and changes nothing when
  /// the change is based on another version, or when the result would differ from the sender's. A
  /// change without limits for a table with limits fails too: control hosts of releases that do not
  /// know the limits send such changes, and a complete declaration has them.
  result<void> apply(const wire::flow_declaration_change& change);

  std::uint64_t version() const { return version_; }
  milliseconds idle_timeout() const { return idle_timeout_; }
  std::size_t size() const { return routes_.size(); }
  const warmup_limits& limits() const { return limits_; }
  /// Returns null when no route has this address.
  const route* find(const endpoint& address) const;

private:
  struct entry {
    route value;
    std::uint64_t digest = 0;
  };

  void set_idle_timeout(std::uint32_t value_ms);
  void set_route(const wire::flow_route& value);
  std::uint64_t digest_after(const wire::flow_declaration_change& change) const;

  std::uint64_t version_ = 0;
  milliseconds idle_timeout_{0};
  std::uint64_t digest_ = 0; ///< of all routes, without the idle timeout
  std::unordered_map<endpoint, entry> routes_;
  warmup_limits limits_;
};

} // namespace zinnia
