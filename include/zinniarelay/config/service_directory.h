#pragma once

#include "control.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace zinnia {

/// The configuration in force on a host. Its revision only increases
/// (docs/design.md R28).
class service_directory {
public:
  /// The result of applying a received configuration.
  enum class outcome {
    applied,
    not_newer, ///< same or earlier revision; nothing changed
  };

  /// Applies a complete configuration, or the changes since the revision in force.
  /// On failure nothing changes and is_complete_update_needed() returns true. The error is
  /// error_kind::conflict when the changes start from another revision,
  /// error_kind::corrupted when the digest of the result differs, and
  /// error_kind::malformed for an unreadable address or a repeated entry.
  result<outcome> apply(const wire::configuration& update);

  /// Returns the revision and digest to report in the next Sync; a revision of 0
  /// requests the complete configuration.
  wire::sync_request request() const;

  const wire::service_entry* find(service_id id) const;
  const wire::service_entry* find(std::string_view name) const;
  const wire::service_entry* find(endpoint address) const;
  bool is_draining(host_id host) const;
  bool is_draining(incarnation_id upstream) const;

  std::uint64_t revision() const { return revision_; }
  std::uint64_t digest() const;
  std::size_t size() const { return services_.size(); }
  bool is_complete_update_needed() const { return is_complete_update_needed_; }

  /// Returns the complete configuration in the form of the durable copy.
  wire::configuration complete() const;

private:
  using drain_key = std::pair<int, std::uint64_t>;

  result<outcome> reject(error_kind kind, const std::string& cause);
  result<std::uint64_t> item_digest_sum_after(const wire::configuration& update) const;
  void clear();
  void put(const wire::service_entry& entry);
  void erase(std::uint32_t id);
  void put(const wire::drain_entry& entry);
  bool has_drain(wire::drain_entry::target_kind kind, std::uint64_t target) const;

  std::uint64_t revision_ = 0;
  std::uint64_t item_digest_sum_ = 0;
  bool is_complete_update_needed_ = false;
  std::map<std::uint32_t, wire::service_entry> services_;
  std::map<std::string, std::uint32_t, std::less<>> by_name_;
  std::unordered_map<endpoint, std::uint32_t> by_address_;
  std::map<drain_key, wire::drain_entry> drains_;
};

} // namespace zinnia
