#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace zinnia {

/// The report of one upstream incarnation about itself.
struct upstream_report {
  enum class state { ready, draining, gone };

  std::string id;
  std::uint64_t started_ms = 0; ///< Unix time; distinguishes the incarnations of one id
  std::uint64_t sequence = 0;   ///< number of the report since the upstream's start
  std::string service;
  endpoint address;
  std::string zone;
  std::string version; ///< version of the upstream's software
  std::uint32_t slots = 1;
  state condition = state::ready;
  milliseconds warmup{0}; ///< remaining time of the slow phase after its start

  /// Returns the number of the incarnation, which is the same on all hosts.
  std::uint64_t incarnation() const;
  /// Returns the tag of the incarnation in packets; never 0.
  std::uint32_t route_tag() const;
  /// Returns true when at most the sequence and the remaining warm-up differ.
  bool has_same_content(const upstream_report& other) const;

  /// Returns false when the upstream cannot have started at the stated time; `wall_ms` is the Unix
  /// time.
  bool has_plausible_start(std::uint64_t wall_ms) const;

  wire::upstream_report to_wire() const;
  /// Fails with error_kind::malformed when the message does not identify a usable upstream.
  static result<upstream_report> from_wire(const wire::upstream_report& message);

  friend auto operator<=>(const upstream_report&, const upstream_report&) = default;
};

} // namespace zinnia
