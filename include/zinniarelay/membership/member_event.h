#pragma once

#include "peer.pb.h"
#include "zinniarelay/membership/member.h"

#include <variant>
#include <vector>

namespace zinnia {

/// Time has passed; sent at least every 50 ms.
struct membership_tick {};

/// A peer packet with a probe, probe_ack or indirect body arrived.
struct probe_received {
  endpoint from;
  wire::peer_packet packet;
};

/// The host's own summary; its sequence is assigned by the table.
struct load_measured {
  host_load load;
};

/// Address of an entry host from settings or a control host.
struct host_address {
  host_id id;
  zone_id zone;
  endpoint address;
};

/// The known addresses, which replace those given before.
struct addresses_known {
  std::vector<host_address> hosts;
};

/// A planned stop: tells the other hosts at once instead of being suspected.
struct departure_requested {};

using member_event = std::variant<membership_tick, probe_received, load_measured, addresses_known,
                                  departure_requested>;

struct send_probe {
  endpoint to;
  wire::peer_packet packet;
};

/// A member is new, or its state, incarnation or load has changed.
struct member_changed {
  member value;
};

/// A departed member was removed from the table.
struct member_forgotten {
  host_id id;
};

using member_effect = std::variant<send_probe, member_changed, member_forgotten>;
using member_effects = std::vector<member_effect>;

} // namespace zinnia
