#pragma once

#include "peer.pb.h"
#include "zinniarelay/membership/member.h"

#include <variant>
#include <vector>

namespace zinnia {

/// Time has passed; sent at least every 50 ms.
struct membership_tick {};

/// A peer packet with a probe, probe_ack or indirect body was received.
struct probe_received {
  endpoint from;
  wire::peer_packet packet;
};

/// The load summary of this host; the member table assigns its sequence.
struct load_measured {
  host_load load;
};

/// Address of an entry host, from the settings or from a control host.
struct host_address {
  host_id id;
  zone_id zone;
  endpoint address;
};

/// The addresses of all configured entry hosts, which replace the previous ones.
struct addresses_updated {
  std::vector<host_address> hosts;
};

/// A planned stop. The other hosts are informed immediately, without a suspicion timeout.
struct departure_requested {};

using member_event = std::variant<membership_tick, probe_received, load_measured, addresses_updated,
                                  departure_requested>;

/// Sends a probe, probe_ack or indirect packet.
struct send_probe {
  endpoint to;
  wire::peer_packet packet;
};

/// A member is new, or its state, incarnation or load has changed.
struct member_changed {
  member value;
};

/// A dead or departed member was removed from the table.
struct member_removed {
  host_id id;
};

using member_effect = std::variant<send_probe, member_changed, member_removed>;
using member_effects = std::vector<member_effect>;

} // namespace zinnia
