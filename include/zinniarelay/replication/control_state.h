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

/// The state that the replicated log produces: services, drains, results of
/// operations and the audit trail. Equal entries in equal order give equal states.
class control_state {
public:
  /// Audit records and operation results that are kept (docs/design.md R31).
  static constexpr std::size_t kept_records = 10'000;
  /// Removed services and ended drains that are kept for changes_since().
  static constexpr std::size_t kept_removals = 4'096;

  /// Applies a committed command and returns the result of its operation, which
  /// is the first result when the operation identifier was applied before.
  wire::operation_result apply(std::uint64_t index, const wire::control_command& command);

  /// The same action with only what differs from the present state, so that the
  /// log need not carry every service with each change.
  wire::apply_action reduced(const wire::apply_action& action) const;

  /// Null when no operation of this identifier was applied.
  const wire::operation_result* find_result(const std::string& operation_id) const;

  std::uint64_t revision() const { return revision_; }
  std::uint64_t digest() const;
  std::size_t service_count() const { return services_.size(); }

  /// The declaration of packet flows in force; version 0 before the first.
  const wire::versioned_action& flows() const { return flows_; }

  /// All services and active drains.
  wire::configuration complete() const;

  /// What a host at the given revision lacks: nothing when it is as new as this
  /// state, the changes, or the complete configuration when it reports revision 0,
  /// another digest, or a revision whose successors are no longer known.
  wire::configuration changes_since(std::uint64_t revision, std::uint64_t digest) const;

  /// The audit records after an index, oldest first.
  std::vector<wire::audit_record> audit(std::uint64_t after_index, std::size_t limit) const;

  std::string encode() const;
  static result<control_state> decode(std::string_view bytes);

private:
  using drain_key = std::pair<int, std::uint64_t>;
  struct change {
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::string refusal; ///< empty when accepted
    bool is_stale = false;
  };

  change apply(const wire::apply_action& action);
  change apply(const wire::drain_entry& action);
  change apply(const wire::versioned_action& action);
  void put(const wire::service_declaration& declared, std::uint32_t id, change& seen);
  void remove(std::uint32_t id, change& seen);
  void store(wire::service_entry entry);
  void store(wire::drain_entry entry);
  void forget_old_removals();
  void record(std::uint64_t index, const wire::control_command& command,
              const wire::operation_result& result, std::uint64_t revision_before, change seen);
  void remember(wire::operation_result result);

  std::uint64_t revision_ = 0;
  std::uint64_t sum_of_items_ = 0;
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
};

} // namespace zinnia
