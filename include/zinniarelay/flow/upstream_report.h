#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace zinnia {

/// What one upstream incarnation says of itself.
struct upstream_report {
  enum class state { ready, draining, gone };

  std::string id;
  std::uint64_t started_ms = 0; ///< Unix time; tells incarnations of one id apart
  std::uint64_t sequence = 0;   ///< of the report, from the upstream's start on
  std::string service;
  endpoint address;
  std::string zone;
  std::string version; ///< of its software
  std::uint32_t slots = 1;
  state condition = state::ready;
  milliseconds warmup{0}; ///< how much longer it is slow after its start

  /// Names the incarnation on all hosts alike.
  std::uint64_t incarnation() const;
  /// Names the incarnation in packets; never 0.
  std::uint32_t route_tag() const;
  /// True when nothing but the sequence and the remaining warm-up differ.
  bool has_same_content(const upstream_report& other) const;

  wire::upstream_report to_wire() const;
  /// Fails with error_kind::malformed when no upstream can be told from it.
  static result<upstream_report> from_wire(const wire::upstream_report& message);

  friend auto operator<=>(const upstream_report&, const upstream_report&) = default;
};

} // namespace zinnia
