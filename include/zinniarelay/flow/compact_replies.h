#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_directory.h"

#include <cstdint>
#include <string>

namespace zinnia {

/// The compressed parts of complete replies to entry hosts (docs/design.md R34), which are built
/// once for many replies. Answers the load pattern in which hundreds of entry hosts start at the
/// same time, and each gets the complete declaration and all upstreams from several control hosts
/// over a slow link.
class compact_replies {
public:
  /// Adds all upstreams to a reply, compressed unless they are few.
  void add_upstreams(time_point now, const upstream_directory& upstreams, wire::news_reply& reply);
  /// Adds a declaration to a reply, compressed unless it is small.
  void add_declaration(const wire::flow_declaration& declaration, wire::news_reply& reply);

private:
  struct compressed_upstreams {
    std::string content;
    std::uint64_t position = 0; ///< of the directory when it was built
    time_point built;
  };

  bool is_usable(time_point now, std::size_t later_changes) const;

  compressed_upstreams upstreams_;
  std::uint64_t declaration_version_ = 0; ///< 0: none
  std::string declaration_;
};

/// Replaces the compressed fields of a reply by their content. Fails with error_kind::corrupted
/// when one is damaged.
result<void> expand(wire::news_reply& reply);

} // namespace zinnia
