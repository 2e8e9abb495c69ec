#include "membership/wire_conversion.h"

namespace zinnia {

wire::member_state to_wire(member_state state) {
  switch (state) {
  case member_state::suspect:
    return wire::member_suspect;
  case member_state::dead:
    return wire::member_dead;
  case member_state::left:
    return wire::member_left;
  case member_state::alive:
    break;
  }
  return wire::member_alive;
}

member_state from_wire(wire::member_state state) {
  switch (state) {
  case wire::member_suspect:
    return member_state::suspect;
  case wire::member_dead:
    return member_state::dead;
  case wire::member_left:
    return member_state::left;
  default:
    return member_state::alive;
  }
}

void to_wire(const host_load& load, wire::host_load& out) {
  out.set_sequence(load.sequence);
  out.set_record_epoch(load.record_epoch);
  out.set_revision(load.revision);
  out.set_draining(load.draining);
  out.set_fabric_silent(load.is_without_fabric_packets);
  out.set_registration_address(load.registration.address);
  out.set_registration_port(load.registration.port);
  for (const auto& it : load.services) {
    auto& entry = *out.add_services();
    entry.set_service_id(it.service.value);
    entry.set_slots(it.slots);
    entry.set_outstanding(it.outstanding);
    entry.set_queued(it.queued);
    entry.set_service_us(static_cast<std::uint32_t>(it.service_time.count()));
  }
}

host_load from_wire(const wire::host_load& load) {
  host_load out{load.sequence(),
                load.record_epoch(),
                load.revision(),
                load.draining(),
                {},
                {load.registration_address(), static_cast<std::uint16_t>(load.registration_port())},
                load.fabric_silent()};
  out.services.reserve(static_cast<std::size_t>(load.services_size()));
  for (const auto& it : load.services())
    out.services.push_back({service_id{it.service_id()}, it.slots(), it.outstanding(), it.queued(),
                            microseconds(it.service_us())});
  return out;
}

void to_wire(const member& value, wire::member_update& out) {
  out.set_host(value.id.value);
  out.set_incarnation(value.incarnation.value);
  out.set_refutation(value.refutation);
  out.set_state(to_wire(value.state));
  out.set_zone(value.zone.value);
  out.set_address(value.address.address);
  out.set_port(value.address.port);
  if (value.load.sequence > 0) to_wire(value.load, *out.mutable_load());
}

} // namespace zinnia
