#pragma once

#include "flow.pb.h"

#include <cstdint>
#include <deque>
#include <map>

namespace zinnia {

/// Returns a digest of the routes, the idle timeout and the warm-up limits of a declaration,
/// independent of their order. Without limits it is the same as that of earlier releases.
std::uint64_t digest_of(const wire::flow_declaration& declaration);
/// Returns the part of a digest for one route. The digest is the sum of its parts.
std::uint64_t digest_of(const wire::flow_route& route);
std::uint64_t digest_of_idle_timeout(std::uint32_t idle_timeout_ms);

/// Returns the routes by which a declaration differs from an earlier one, and all services with a
/// warm-up limit.
wire::flow_declaration_change change_between(const wire::flow_declaration& base,
                                             const wire::flow_declaration& next);

/// The latest declarations, and the changes from each of the earlier ones to the last. With it, a
/// change of one route among thousands costs each entry host one route.
class declaration_history {
public:
  /// Adds a declaration. Its version is higher than those recorded before.
  void record(const wire::flow_declaration& declaration);
  /// Returns the change from a version to the last declaration; null when the version is not
  /// recorded. Valid until the next call of record().
  const wire::flow_declaration_change* change_since(std::uint64_t version);

private:
  std::deque<wire::flow_declaration> declarations_;
  std::map<std::uint64_t, wire::flow_declaration_change> changes_; ///< by base version
};

} // namespace zinnia
