#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_directory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace zinnia {

/// The upstreams in replies to entry hosts (docs/design.md R34, R42). The list of all upstreams is
/// compressed once for many replies, in pages of bounded size. Answers the load pattern in which
/// hundreds of entry hosts start at the same time, and each gets all upstreams from several control
/// hosts over a slow link.
class compact_replies {
public:
  /// Size of the upstreams in one reply, in bytes; the last one may exceed it.
  static constexpr std::size_t max_bytes = 10'000;

  /// Adds what a host with the updates up to a position lacks, and the position that it then has.
  void add_upstreams(time_point now, const upstream_directory& upstreams, std::uint64_t position,
                     wire::news_reply& reply);

private:
  struct compressed_page {
    std::uint64_t from = 0; ///< position of the receiver
    std::uint64_t to = 0;
    std::string content;
  };

  void build(time_point now, const upstream_directory& upstreams);
  bool is_usable(time_point now, const upstream_directory& upstreams) const;
  const compressed_page* find(time_point now, std::uint64_t position) const;

  std::vector<compressed_page> pages_;
  time_point built_;
};

/// Replaces the compressed fields of a reply by their content. Fails with error_kind::corrupted
/// when one is damaged.
result<void> expand(wire::news_reply& reply);
/// Adds the declaration or the change of a complete content to a reply. Fails with
/// error_kind::corrupted when the content is damaged.
result<void> expand_declaration(const std::string& content, wire::news_reply& reply);

} // namespace zinnia
