#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/packet_head.h"
#include "zinniarelay/flow/route_table.h"
#include "zinniarelay/flow/upstream_choice.h"
#include "zinniarelay/flow/upstream_directory.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

struct flow_router_settings {
  std::string zone;
  /// An upstream whose reports stopped for this long is taken for dead.
  milliseconds report_silence{4'000};
  /// An upstream that left opening packets unanswered is avoided for this long.
  milliseconds suspicion{1'000};
  choice_settings choice;
};

/// What is done with a packet.
struct flow_decision {
  enum class action { forward, reset, drop };
  /// Each reason has a counter.
  enum class reason {
    opened,       ///< a new flow was placed
    reopened,     ///< a copy of an opening packet, to the same upstream
    moved,        ///< a copy of an opening packet, to another upstream
    routed,       ///< by the tag of the packet
    no_route,     ///< the declaration has no such address
    no_upstream,  ///< no upstream of the service is known
    unknown_tag,  ///< the tag names no known upstream
    not_a_caller, ///< only upstreams send such a packet
    not_ready,    ///< no declaration is in force here yet
  };
  static constexpr std::size_t reason_count = 9;

  action what = action::drop;
  reason why = reason::not_ready;
  endpoint to;                     ///< forward: the upstream's address
  const std::string* id = nullptr; ///< forward: the upstream's id; valid until the next call
  std::uint32_t route_tag = 0;     ///< forward: written into the packet
  /// Set with the first packet by which the caller shows that it has an answer.
  std::optional<milliseconds> answered_after = std::nullopt;
};

/// "opened", "no_route" and so on.
const char* name_of(flow_decision::reason reason);

/// Decides on each packet of a caller. A packet of an open flow is routed by its
/// tag alone, so that any host carries any packet; only opening packets depend on
/// the declaration and on load.
class flow_router {
public:
  flow_router(flow_router_settings settings, random_engine engine)
      : settings_(std::move(settings)), engine_(engine) {}

  flow_decision route(time_point now, const packet_head& head);

  /// Puts a declaration in force; one that is not newer changes nothing.
  bool apply(const wire::flow_declaration& declaration);
  /// The declaration in force is at least as new as one that a quorum has confirmed.
  void confirm() { is_confirmed_ = true; }
  /// True when the content of the directory changed.
  bool learn(time_point now, const wire::upstream_news& news);
  void tick(time_point now);

  const route_table& routes() const { return routes_; }
  const upstream_directory& upstreams() const { return upstreams_; }
  const flow_table& flows() const { return flows_; }
  std::uint64_t count_of(flow_decision::reason reason) const;

private:
  struct evidence {
    time_point answered;      ///< when a caller last showed that it had an answer
    time_point unanswered;    ///< when an opening packet was last found unanswered
    std::uint32_t missed = 0; ///< opening packets without answer since the last answer
  };

  flow_decision open(time_point now, const packet_head& head);
  static bool is_opening(time_point now, const flow_table::flow& it);
  flow_decision carry(time_point now, const packet_head& head);
  flow_decision forward(const upstream_directory::entry& to, flow_decision::reason why) const;
  const upstream_directory::entry* choose(time_point now, const std::string& service,
                                          std::uint64_t avoided);
  bool is_suspect(time_point now, const upstream_directory::entry& it) const;
  void note_answer(time_point now, std::uint64_t upstream);
  void note_silence(time_point now, std::uint64_t upstream);
  void index_services();

  flow_router_settings settings_;
  random_engine engine_;
  route_table routes_;
  upstream_directory upstreams_;
  flow_table flows_;
  std::unordered_map<std::uint64_t, evidence> evidence_;
  std::map<std::string, std::vector<std::uint64_t>> ready_; ///< upstreams by service
  bool is_confirmed_ = false;                               ///< the declaration in force
  std::optional<time_point> last_news_;
  time_point next_expiry_;
  std::array<std::uint64_t, flow_decision::reason_count> counts_{};
};

} // namespace zinnia
