#pragma once

#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/membership/host_load.h"

namespace zinnia {

enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// The membership record of an entry host.
struct member {
  host_id id;
  incarnation_id incarnation;
  zone_id zone;
  endpoint address; ///< receives peer packets
  member_state state = member_state::alive;
  std::uint32_t refutation = 0; ///< incremented by the member itself to refute a suspicion
  host_load load;
  time_point load_received; ///< when this host received the load
  time_point state_since;

  /// A suspect counts as live, because most suspicions are caused by lost packets.
  bool is_live() const { return state == member_state::alive || state == member_state::suspect; }
};

} // namespace zinnia
