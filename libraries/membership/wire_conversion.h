#pragma once

#include "zinniarelay/membership/member.h"

#include "peer.pb.h"

namespace zinnia {

wire::member_state to_wire(member_state state);
member_state from_wire(wire::member_state state);
void to_wire(const host_load& load, wire::host_load& out);
host_load from_wire(const wire::host_load& load);
void to_wire(const member& value, wire::member_update& out);

} // namespace zinnia
