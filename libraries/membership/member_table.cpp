#include "zinniarelay/membership/member_table.h"

#include "membership/wire_conversion.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace zinnia {
namespace {

// A member update is sent this many times the base-2 logarithm of the number of hosts. Every host
// then receives the update with high probability although packets are lost.
constexpr unsigned transmissions_per_doubling = 3;
// Once in this many periods, a host that is dead or from which no packet was received is probed
// too. This reunites the two sides of a healed partition.
constexpr std::uint64_t periods_per_partition_probe = 4;
// Bytes of the tag and length of one update inside a packet.
constexpr std::size_t update_overhead = 3;
// Older load summaries are not disseminated, because they are of no use for choosing a host.
constexpr milliseconds max_load_age{2000};

unsigned max_transmissions(std::size_t hosts) {
  return transmissions_per_doubling * static_cast<unsigned>(std::bit_width(hosts));
}

endpoint address_of(const wire::member_update& update) {
  return {update.address(), static_cast<std::uint16_t>(update.port())};
}

bool overrides(const wire::member_update& update, const member& existing) {
  const auto state = from_wire(update.state());
  if (existing.state == member_state::left) return false;
  if (state == member_state::left) return true;
  if (update.refutation() != existing.refutation) return update.refutation() > existing.refutation;
  return state > existing.state;
}

} // namespace

member_table::member_table(local_member self, member_settings settings, std::uint64_t seed)
    : self_(self), settings_(settings), engine_(seed) {
  member local;
  local.id = self.id;
  local.incarnation = self.incarnation;
  local.zone = self.zone;
  local.address = self.address;
  members_.emplace(self.id, local);
  disseminate(self.id);
}

member_effects member_table::step(time_point now, const member_event& event) {
  member_effects out;
  now_ = now;
  std::visit([&](const auto& it) { on(now, it, out); }, event);
  return out;
}

const member* member_table::find(host_id id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<host_id> member_table::live_hosts(zone_id zone) const {
  std::vector<host_id> list;
  for (const auto& [id, it] : members_)
    if (it.zone == zone && it.is_live()) list.push_back(id);
  std::sort(list.begin(), list.end());
  return list;
}

void member_table::on(time_point now, const membership_tick&, member_effects& out) {
  expire_probes(now, out);
  expire_members(now, out);
  if (now >= next_load_ && is_load_unsent_) send_load(now, out);
  if (now < next_probe_) return;
  // After a long pause, a single probe is sent instead of one for each missed period.
  next_probe_ = now + settings_.probe_period;
  ++periods_;
  probe_next(now, out);
  probe_suspect(now, out);
  if (periods_ % periods_per_partition_probe == 0) probe_dead_or_unknown(now, out);
}

void member_table::on(time_point now, const probe_received& event, member_effects& out) {
  const auto& packet = event.packet;
  if (packet.from_host() == self_.id.value) return;
  if (packet.body_case() == wire::peer_packet::kIndirect) return relay_probe(now, event, out);
  if (packet.body_case() != wire::peer_packet::kProbe &&
      packet.body_case() != wire::peer_packet::kProbeAck)
    return;
  const bool is_ack = packet.body_case() == wire::peer_packet::kProbeAck;
  const auto& body = is_ack ? packet.probe_ack() : packet.probe();
  if (is_ack) on_ack(now, event, out);
  for (const auto& it : body.updates())
    apply(now, it, false, out);
  if (is_ack) return;
  auto ack = make_packet();
  ack.mutable_probe_ack()->set_sequence(body.sequence());
  add_updates(*ack.mutable_probe_ack(), host_id{packet.from_host()});
  out.push_back(send_probe{event.from, std::move(ack)});
}

void member_table::on_ack(time_point now, const probe_received& event, member_effects& out) {
  const auto& ack = event.packet.probe_ack();
  const auto relayed = relayed_probes_.find(ack.sequence());
  if (relayed != relayed_probes_.end() &&
      relayed->second.target.value == event.packet.from_host()) {
    // The acknowledgement is forwarded with only its sequence changed, because its sender fields
    // prove the target's incarnation.
    auto forwarded = event.packet;
    forwarded.mutable_probe_ack()->set_sequence(relayed->second.origin_sequence);
    out.push_back(send_probe{relayed->second.origin, std::move(forwarded)});
    relayed_probes_.erase(relayed);
    return;
  }
  const auto probe = pending_probes_.find(ack.sequence());
  if (probe == pending_probes_.end() || probe->second.target.value != event.packet.from_host())
    return;
  pending_probes_.erase(probe);
  // The first update is that of the sender. The acknowledged sequence of a pending probe proves
  // that this incarnation is running now.
  if (ack.updates_size() > 0 && ack.updates(0).host() == event.packet.from_host() &&
      ack.updates(0).incarnation() == event.packet.from_incarnation())
    apply(now, ack.updates(0), true, out);
}

void member_table::relay_probe(time_point now, const probe_received& event, member_effects& out) {
  const host_id target{event.packet.indirect().target()};
  const auto* existing = find(target);
  if (existing == nullptr || target == self_.id) return;
  const auto sequence = next_sequence_++;
  relayed_probes_[sequence] = {target, event.from, event.packet.indirect().sequence(), now};
  auto packet = make_packet();
  packet.mutable_probe()->set_sequence(sequence);
  add_updates(*packet.mutable_probe(), target);
  out.push_back(send_probe{existing->address, std::move(packet)});
}

void member_table::on(time_point now, const load_measured& event, member_effects& out) {
  auto& local = members_.at(self_.id);
  auto load = event.load;
  load.sequence = local.load.sequence;
  if (load == local.load && load.sequence > 0) return;
  ++load.sequence;
  local.load = std::move(load);
  local.load_received = now;
  is_load_unsent_ = true;
  out.push_back(member_changed{local});
}

void member_table::on(time_point, const addresses_updated& event, member_effects&) {
  addresses_ = event.hosts;
}

void member_table::on(time_point now, const departure_requested&, member_effects& out) {
  set_state(now, members_.at(self_.id), member_state::left, out);
  std::vector<host_id> receivers;
  for (const auto& [id, it] : members_)
    if (it.is_live() && id != self_.id) receivers.push_back(id);
  std::sort(receivers.begin(), receivers.end());
  std::shuffle(receivers.begin(), receivers.end(), engine_);
  // Only a few hosts are informed directly, because the cost must not grow linearly with the
  // number of hosts. These hosts disseminate the departure to the others.
  receivers.resize(std::min<std::size_t>(receivers.size(), max_transmissions(members_.size())));
  for (const auto id : receivers) {
    auto packet = make_packet();
    add_updates(*packet.mutable_probe_ack(), id);
    out.push_back(send_probe{members_.at(id).address, std::move(packet)});
  }
}

void member_table::expire_members(time_point now, member_effects& out) {
  std::vector<host_id> ids;
  for (const auto& [id, it] : members_)
    if (id != self_.id && it.state != member_state::alive) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids) {
    auto& member = members_.at(id);
    if (member.state == member_state::suspect &&
        now - member.state_since >= settings_.suspicion_timeout)
      set_state(now, member, member_state::dead, out);
    if (!member.is_live() && now - member.state_since >= settings_.removal_delay) {
      members_.erase(id);
      std::erase_if(pending_updates_,
                    [&](const pending_update& update) { return update.id == id; });
      out.push_back(member_removed{id});
    }
  }
}

void member_table::send_load(time_point now, member_effects& out) {
  is_load_unsent_ = false;
  next_load_ = now + settings_.load_period;
  std::vector<host_id> receivers;
  if (const auto same_zone = random_live(std::nullopt, self_.zone, true))
    receivers.push_back(*same_zone);
  for (unsigned n = 0; n < settings_.load_fanout; ++n)
    if (const auto other_zone = random_live(std::nullopt, self_.zone, false))
      receivers.push_back(*other_zone);
  std::sort(receivers.begin(), receivers.end());
  receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
  for (const auto id : receivers) {
    auto packet = make_packet();
    to_wire(members_.at(self_.id), *packet.mutable_probe_ack()->add_updates());
    out.push_back(send_probe{members_.at(id).address, std::move(packet)});
  }
}

void member_table::apply(time_point now, const wire::member_update& update, bool is_first_hand,
                         member_effects& out) {
  const host_id id{update.host()};
  if (id == self_.id) return apply_to_self(update);
  if (update.port() == 0 || update.port() > std::numeric_limits<std::uint16_t>::max() ||
      update.zone() > std::numeric_limits<std::uint16_t>::max())
    return;
  const auto state = from_wire(update.state());
  const auto existing = members_.find(id);
  const bool is_other_incarnation =
      existing != members_.end() && existing->second.incarnation.value != update.incarnation();
  if (is_other_incarnation && !is_first_hand) {
    // Incarnations are not ordered, so an update from a third host does not show which of two
    // incarnations is running. Only a reply of the host itself does. A late update about an old
    // incarnation must not replace the new one.
    if (state == member_state::alive) verify_incarnation(now, id, address_of(update), out);
    return;
  }
  if (existing == members_.end() || is_other_incarnation) {
    // A late reply to an earlier probe may come from the incarnation that is replaced.
    std::erase_if(pending_probes_, [&](const auto& it) { return it.second.target == id; });
    // No entry is added for a host that is already dead or has left.
    if (existing == members_.end() && (state == member_state::dead || state == member_state::left))
      return;
    member added;
    added.id = id;
    added.incarnation = incarnation_id{update.incarnation()};
    added.zone = zone_id{static_cast<std::uint16_t>(update.zone())};
    added.address = address_of(update);
    added.state = state;
    added.refutation = update.refutation();
    added.state_since = now;
    added.load = from_wire(update.load());
    added.load_received = now;
    members_[id] = added;
    disseminate(id);
    out.push_back(member_changed{added});
    return;
  }
  merge(now, existing->second, update, out);
}

void member_table::apply_to_self(const wire::member_update& update) {
  auto& local = members_.at(self_.id);
  const auto state = from_wire(update.state());
  if (update.incarnation() != self_.incarnation.value || state == member_state::alive ||
      local.state == member_state::left || update.refutation() < local.refutation)
    return;
  local.refutation = update.refutation() + 1;
  disseminate(self_.id);
}

void member_table::merge(time_point now, member& existing, const wire::member_update& update,
                         member_effects& out) {
  bool is_changed = false;
  if (overrides(update, existing)) {
    const auto state = from_wire(update.state());
    existing.refutation = update.refutation();
    if (existing.state != state) {
      existing.state = state;
      existing.state_since = now;
      is_changed = true;
    }
    disseminate(existing.id);
  }
  if (update.has_load() && update.load().sequence() > existing.load.sequence) {
    existing.load = from_wire(update.load());
    existing.load_received = now;
    is_changed = true;
  }
  if (is_changed) out.push_back(member_changed{existing});
}

void member_table::set_state(time_point now, member& existing, member_state state,
                             member_effects& out) {
  existing.state = state;
  existing.state_since = now;
  disseminate(existing.id);
  out.push_back(member_changed{existing});
}

void member_table::disseminate(host_id id) {
  std::erase_if(pending_updates_, [&](const pending_update& update) { return update.id == id; });
  pending_updates_.push_front({id, 0});
}

wire::peer_packet member_table::make_packet() const {
  wire::peer_packet packet;
  packet.set_from_host(self_.id.value);
  packet.set_from_incarnation(self_.incarnation.value);
  return packet;
}

// Adds the update of this host first. The following updates are added while their total size
// permits: the update of the receiver if its state is not alive, which allows it to refute, then
// pending updates, then recent loads in rotation.
void member_table::add_updates(wire::probe_packet& body, std::optional<host_id> receiver) {
  const auto& local = members_.at(self_.id);
  to_wire(local, *body.add_updates());
  std::size_t used_bytes = 0;
  std::vector<host_id> added{self_.id};
  const auto add = [&](const member& it) {
    if (std::find(added.begin(), added.end(), it.id) != added.end()) return false;
    wire::member_update update;
    to_wire(it, update);
    const auto size = update.ByteSizeLong() + update_overhead;
    if (used_bytes + size > settings_.max_update_bytes) return false;
    used_bytes += size;
    added.push_back(it.id);
    *body.add_updates() = std::move(update);
    return true;
  };
  if (receiver)
    if (const auto* existing = find(*receiver);
        existing != nullptr && existing->state != member_state::alive)
      add(*existing);
  const auto transmission_limit = max_transmissions(members_.size());
  std::stable_sort(pending_updates_.begin(), pending_updates_.end(),
                   [](const pending_update& a, const pending_update& b) {
                     return a.transmissions < b.transmissions;
                   });
  for (auto& it : pending_updates_) {
    const auto* existing = find(it.id);
    if (it.id == self_.id || (existing != nullptr && add(*existing))) ++it.transmissions;
  }
  std::erase_if(pending_updates_,
                [&](const pending_update& it) { return it.transmissions >= transmission_limit; });
  if (load_rotation_.empty()) {
    for (const auto& [id, it] : members_)
      if (id != self_.id) load_rotation_.push_back(id);
    std::sort(load_rotation_.begin(), load_rotation_.end());
    std::shuffle(load_rotation_.begin(), load_rotation_.end(), engine_);
  }
  while (!load_rotation_.empty()) {
    const auto* existing = find(load_rotation_.back());
    const bool is_useful = existing != nullptr && existing->is_live() && existing->id != receiver &&
                           now_ - existing->load_received < max_load_age;
    if (is_useful && !add(*existing)) break;
    load_rotation_.pop_back();
  }
}

std::optional<host_id> member_table::random_live(std::optional<host_id> except,
                                                 std::optional<zone_id> zone, bool is_in_zone) {
  std::vector<host_id> list;
  for (const auto& [id, it] : members_)
    if (id != self_.id && id != except && it.is_live() &&
        (!zone || (it.zone == *zone) == is_in_zone))
      list.push_back(id);
  if (list.empty()) return std::nullopt;
  std::sort(list.begin(), list.end());
  return list[engine_() % list.size()];
}

} // namespace zinnia
