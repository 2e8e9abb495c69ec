#pragma once

#include "control.pb.h"
#include "zinniarelay/core/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// The state machine of the replicated log: services, drains, results of operations and
/// the audit trail. The same entries in the same order give the same state on every host.
class control_state {
public:
  /// Number of audit records and of operation results that are kept (docs/design.md R31).
  static constexpr std::size_t max_records = 10'000;
  /// Number of removed services and of ended drains that are kept for changes_since().
  static constexpr std::size_t max_removals = 4'096;

  /// Applies a committed command and returns the result of its operation. A command whose
  /// operation identifier was applied before gets the first result.
  wire::operation_result apply(std::uint64_t index, const wire::control_command& command);

  /// Returns an equivalent action with only the services that differ from the current
  /// state. The log then need not store every service with each change.
  wire::apply_action minimal_action(const wire::apply_action& action) const;

  /// Returns null when no operation with this identifier was applied.
  const wire::operation_result* find_result(const std::string& operation_id) const;

  std::uint64_t revision() const { return revision_; }
  /// Returns a digest of the revision, the services and the drains. It is the same on all
  /// hosts with the same configuration.
  std::uint64_t digest() const;
  std::size_t service_count() const { return services_.size(); }

  /// Returns the declaration of packet flows in force; version 0 before the first.
  const wire::versioned_action& flows() const { return flows_; }

  /// Returns the zones that were ever evacuated; version 0 before the first evacuation.
  const wire::zone_evacuations& evacuations() const { return evacuations_; }
  /// Returns the version of the evacuations at the last change of a zone; 0 if there was none.
  std::uint64_t changed_version_of(const std::string& zone) const;

  /// Returns all services and active drains.
  wire::configuration complete() const;

  /// Returns the changes that a host at the given revision does not have yet: none when
  /// the host is up to date, or the complete configuration when the host reports
  /// revision 0, another digest, or a revision before the kept removals.
  wire::configuration changes_since(std::uint64_t revision, std::uint64_t digest) const;

  /// Returns at most `limit` audit records after an index, oldest first.
  std::vector<wire::audit_record> audit(std::uint64_t after_index, std::size_t limit) const;

  /// Returns the state as the bytes of a snapshot.
  std::string encode() const;
  /// Restores a state from encode(). Fails with error_kind::corrupted when the bytes cannot be
  /// parsed or the digest of the configuration differs.
  static result<control_state> decode(std::string_view bytes);

private:
  using drain_key = std::pair<int, std::uint64_t>;
  struct state_change {
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::string refusal; ///< empty when accepted
    bool is_stale = false;
  };

  state_change apply(const wire::apply_action& action);
  state_change apply(const wire::drain_entry& action);
  state_change apply(const wire::versioned_action& action);
  state_change apply(const wire::evacuation_action& action);
  /// Stores a declared service; `id` is 0 for a new service.
  void put(const wire::service_declaration& declared, std::uint32_t id, state_change& change);
  void remove(std::uint32_t id, state_change& change);
  void store(wire::service_entry entry);
  void store(wire::drain_entry entry);
  void trim_removals();
  void record_audit(std::uint64_t index, const wire::control_command& command,
                    const wire::operation_result& result, std::uint64_t revision_before,
                    state_change change);
  void record_result(wire::operation_result result);

  std::uint64_t revision_ = 0;
  std::uint64_t digest_sum_ = 0; ///< sum of the digests of all services and drains
  /// Hosts at an earlier revision get the complete configuration instead of the changes.
  std::uint64_t oldest_delta_base_ = 1;
  std::uint32_t next_service_id_ = 1;
  std::uint32_t next_generation_ = 1;
  std::map<std::uint32_t, wire::service_entry> services_;
  std::map<std::string, std::uint32_t> by_name_;
  std::set<std::pair<std::uint64_t, std::uint32_t>> by_revision_;
  std::deque<wire::removed_service> removed_;
  std::map<drain_key, wire::drain_entry> drains_;
  std::map<std::string, wire::operation_result> results_;
  std::deque<std::string> result_order_;
  std::deque<wire::audit_record> audit_;
  std::uint64_t last_digest_ = 0;
  wire::versioned_action flows_;
  wire::zone_evacuations evacuations_;
};

} // namespace zinnia
