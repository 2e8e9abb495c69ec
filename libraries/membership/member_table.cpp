#include "zinniarelay/membership/member_table.h"

#include "membership/wire_conversion.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace zinnia {
namespace {

// A rumour is repeated this often times the logarithm of the number of hosts; with
// that, every host hears of it with high probability although packets are lost.
constexpr unsigned repeats_per_doubling = 3;
// Every this many periods a dead host or one that was never heard is probed too, so that
// the two sides of a healed partition find each other.
constexpr std::uint64_t periods_between_reunions = 4;
// Tag and length of one update inside a packet, in bytes.
constexpr std::size_t update_overhead = 3;
// Loads older than this are not passed on, because they no longer help a choice.
constexpr milliseconds load_relevance{2000};

unsigned repeats(std::size_t hosts) {
  return repeats_per_doubling * static_cast<unsigned>(std::bit_width(hosts));
}

endpoint address_of(const wire::member_update& update) {
  return {update.address(), static_cast<std::uint16_t>(update.port())};
}

bool overrides(const wire::member_update& update, const member& known) {
  const auto state = from_wire(update.state());
  if (known.state == member_state::left) return false;
  if (state == member_state::left) return true;
  if (update.refutation() != known.refutation) return update.refutation() > known.refutation;
  return state > known.state;
}

} // namespace

member_table::member_table(local_member self, member_settings settings, std::uint64_t seed)
    : self_(self), settings_(settings), engine_(seed) {
  member own;
  own.id = self.id;
  own.incarnation = self.incarnation;
  own.zone = self.zone;
  own.address = self.address;
  members_.emplace(self.id, own);
  spread(self.id);
}

member_effects member_table::step(time_point now, const member_event& event) {
  member_effects out;
  now_ = now;
  std::visit([&](const auto& it) { on(now, it, out); }, event);
  return out;
}

const member* member_table::find(host_id id) const {
  const auto at = members_.find(id);
  return at == members_.end() ? nullptr : &at->second;
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
  // After a long pause one probe is sent, not one for every missed period.
  next_probe_ = now + settings_.probe_period;
  ++periods_;
  probe_next(now, out);
  probe_suspect(now, out);
  if (periods_ % periods_between_reunions == 0) probe_unreached(now, out);
}

void member_table::on(time_point now, const probe_received& event, member_effects& out) {
  const auto& packet = event.packet;
  if (packet.from_host() == self_.id.value) return;
  if (packet.body_case() == wire::peer_packet::kIndirect) return relay(now, event, out);
  if (packet.body_case() != wire::peer_packet::kProbe &&
      packet.body_case() != wire::peer_packet::kProbeAck)
    return;
  const bool is_ack = packet.body_case() == wire::peer_packet::kProbeAck;
  const auto& body = is_ack ? packet.probe_ack() : packet.probe();
  if (is_ack) on_ack(now, event, out);
  for (const auto& it : body.updates())
    apply(now, it, false, out);
  if (is_ack) return;
  auto answer = this->packet();
  answer.mutable_probe_ack()->set_sequence(body.sequence());
  add_updates(*answer.mutable_probe_ack(), host_id{packet.from_host()});
  out.push_back(send_probe{event.from, std::move(answer)});
}

void member_table::on_ack(time_point now, const probe_received& event, member_effects& out) {
  const auto& ack = event.packet.probe_ack();
  const auto relayed = relayed_.find(ack.sequence());
  if (relayed != relayed_.end() && relayed->second.target.value == event.packet.from_host()) {
    // The answer is passed on unchanged, so that it proves the target's incarnation.
    auto passed = event.packet;
    passed.mutable_probe_ack()->set_sequence(relayed->second.origin_sequence);
    out.push_back(send_probe{relayed->second.origin, std::move(passed)});
    relayed_.erase(relayed);
    return;
  }
  const auto probe = pending_.find(ack.sequence());
  if (probe == pending_.end() || probe->second.target.value != event.packet.from_host()) return;
  pending_.erase(probe);
  // The sender's own update comes first; the fresh sequence proves that this
  // incarnation is running now.
  if (ack.updates_size() > 0 && ack.updates(0).host() == event.packet.from_host() &&
      ack.updates(0).incarnation() == event.packet.from_incarnation())
    apply(now, ack.updates(0), true, out);
}

void member_table::relay(time_point now, const probe_received& event, member_effects& out) {
  const host_id target{event.packet.indirect().target()};
  const auto* known = find(target);
  if (known == nullptr || target == self_.id) return;
  const auto sequence = next_sequence_++;
  relayed_[sequence] = {target, event.from, event.packet.indirect().sequence(), now};
  auto packet = this->packet();
  packet.mutable_probe()->set_sequence(sequence);
  add_updates(*packet.mutable_probe(), target);
  out.push_back(send_probe{known->address, std::move(packet)});
}

void member_table::on(time_point now, const load_measured& event, member_effects& out) {
  auto& own = members_.at(self_.id);
  auto load = event.load;
  load.sequence = own.load.sequence;
  if (load == own.load && load.sequence > 0) return;
  ++load.sequence;
  own.load = std::move(load);
  own.load_received = now;
  is_load_unsent_ = true;
  out.push_back(member_changed{own});
}

void member_table::on(time_point, const addresses_known& event, member_effects&) {
  addresses_ = event.hosts;
}

void member_table::on(time_point now, const departure_requested&, member_effects& out) {
  set_state(now, members_.at(self_.id), member_state::left, out);
  std::vector<host_id> receivers;
  for (const auto& [id, it] : members_)
    if (it.is_live() && id != self_.id) receivers.push_back(id);
  std::sort(receivers.begin(), receivers.end());
  std::shuffle(receivers.begin(), receivers.end(), engine_);
  // Rumours carry the departure on from these hosts, so that the cost does not grow
  // with the number of hosts.
  receivers.resize(std::min<std::size_t>(receivers.size(), repeats(members_.size())));
  for (const auto id : receivers) {
    auto packet = this->packet();
    add_updates(*packet.mutable_probe_ack(), id);
    out.push_back(send_probe{members_.at(id).address, std::move(packet)});
  }
}

void member_table::expire_probes(time_point now, member_effects& out) {
  std::erase_if(relayed_,
                [&](const auto& it) { return now - it.second.sent >= settings_.probe_period; });
  std::vector<std::uint64_t> order;
  for (const auto& [sequence, it] : pending_)
    order.push_back(sequence);
  std::sort(order.begin(), order.end());
  for (const auto sequence : order) {
    auto& it = pending_.at(sequence);
    if (now - it.sent >= settings_.probe_period) {
      const auto known = members_.find(it.target);
      if (!it.is_verification && known != members_.end() &&
          known->second.state == member_state::alive) {
        set_state(now, known->second, member_state::suspect, out);
        own_suspicions_.push_back(it.target);
      }
      pending_.erase(sequence);
      continue;
    }
    if (it.is_indirect_sent || it.is_verification || now - it.sent < settings_.answer_timeout)
      continue;
    it.is_indirect_sent = true;
    for (unsigned n = 0; n < settings_.indirect_probes; ++n) {
      const auto helper = random_live(it.target, std::nullopt, false);
      if (!helper) break;
      auto packet = this->packet();
      packet.mutable_indirect()->set_sequence(sequence);
      packet.mutable_indirect()->set_target(it.target.value);
      out.push_back(send_probe{members_.at(*helper).address, std::move(packet)});
    }
  }
}

void member_table::expire_members(time_point now, member_effects& out) {
  std::vector<host_id> order;
  for (const auto& [id, it] : members_)
    if (id != self_.id && it.state != member_state::alive) order.push_back(id);
  std::sort(order.begin(), order.end());
  for (const auto id : order) {
    auto& it = members_.at(id);
    if (it.state == member_state::suspect && now - it.state_since >= settings_.suspicion)
      set_state(now, it, member_state::dead, out);
    if (!it.is_live() && now - it.state_since >= settings_.forget_after) {
      members_.erase(id);
      std::erase_if(rumours_, [&](const rumour& r) { return r.id == id; });
      out.push_back(member_forgotten{id});
    }
  }
}

void member_table::probe_next(time_point now, member_effects& out) {
  // A shuffled round bounds the time in which every host is probed once.
  if (round_.empty()) {
    for (const auto& [id, it] : members_)
      if (id != self_.id && it.is_live()) round_.push_back(id);
    std::sort(round_.begin(), round_.end());
    std::shuffle(round_.begin(), round_.end(), engine_);
  }
  while (!round_.empty()) {
    const auto id = round_.back();
    round_.pop_back();
    const auto known = members_.find(id);
    if (known == members_.end() || !known->second.is_live()) continue;
    probe(now, id, known->second.address, false, out);
    return;
  }
  probe_unreached(now, out);
}

void member_table::probe_unreached(time_point now, member_effects& out) {
  std::vector<host_address> candidates;
  for (const auto& it : addresses_) {
    const auto* known = find(it.id);
    if (it.id != self_.id && (known == nullptr || known->state == member_state::dead))
      candidates.push_back(it);
  }
  if (candidates.empty()) {
    for (const auto& [id, it] : members_)
      if (it.state == member_state::dead) candidates.push_back({id, it.zone, it.address});
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
  }
  if (candidates.empty()) return;
  const auto& chosen = candidates[engine_() % candidates.size()];
  probe(now, chosen.id, chosen.address, true, out);
}

// A suspect can refute only what it hears. The host that raised the suspicion tells it in
// every period, because rumours may reach it too late; other hosts do not, so that one
// suspicion does not cost a packet from every host.
void member_table::probe_suspect(time_point now, member_effects& out) {
  std::erase_if(own_suspicions_, [&](host_id id) {
    const auto* known = find(id);
    return known == nullptr || known->state != member_state::suspect;
  });
  if (own_suspicions_.empty()) return;
  const auto id = own_suspicions_[periods_ % own_suspicions_.size()];
  probe(now, id, members_.at(id).address, true, out);
}

void member_table::send_load(time_point now, member_effects& out) {
  is_load_unsent_ = false;
  next_load_ = now + settings_.load_period;
  std::vector<host_id> receivers;
  if (const auto mate = random_live(std::nullopt, self_.zone, true)) receivers.push_back(*mate);
  for (unsigned n = 0; n < settings_.load_fanout; ++n)
    if (const auto other = random_live(std::nullopt, self_.zone, false))
      receivers.push_back(*other);
  std::sort(receivers.begin(), receivers.end());
  receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
  for (const auto id : receivers) {
    auto packet = this->packet();
    to_wire(members_.at(self_.id), *packet.mutable_probe_ack()->add_updates());
    out.push_back(send_probe{members_.at(id).address, std::move(packet)});
  }
}

std::uint64_t member_table::probe(time_point now, host_id target, endpoint to, bool is_verification,
                                  member_effects& out) {
  const auto sequence = next_sequence_++;
  pending_[sequence] = {target, now, false, is_verification};
  auto packet = this->packet();
  packet.mutable_probe()->set_sequence(sequence);
  add_updates(*packet.mutable_probe(), target);
  out.push_back(send_probe{to, std::move(packet)});
  return sequence;
}

void member_table::verify(time_point now, host_id id, endpoint address, member_effects& out) {
  const bool is_under_way = std::any_of(pending_.begin(), pending_.end(), [&](const auto& it) {
    return it.second.target == id && it.second.is_verification;
  });
  if (!is_under_way) probe(now, id, address, true, out);
}

void member_table::apply(time_point now, const wire::member_update& update, bool is_proven,
                         member_effects& out) {
  const host_id id{update.host()};
  if (id == self_.id) return apply_to_self(update);
  if (update.port() == 0 || update.port() > std::numeric_limits<std::uint16_t>::max() ||
      update.zone() > std::numeric_limits<std::uint16_t>::max())
    return;
  const auto state = from_wire(update.state());
  const auto known = members_.find(id);
  const bool is_other =
      known != members_.end() && known->second.incarnation.value != update.incarnation();
  if (is_other && !is_proven) {
    // Incarnations have no order, so hearsay cannot tell which of two is running; the
    // host itself can. A late report of an old one must not replace the new one.
    if (state == member_state::alive) verify(now, id, address_of(update), out);
    return;
  }
  if (known == members_.end() || is_other) {
    // A late answer to an earlier probe may come from the incarnation that is replaced.
    std::erase_if(pending_, [&](const auto& it) { return it.second.target == id; });
    // A host that is already gone is not worth an entry.
    if (known == members_.end() && (state == member_state::dead || state == member_state::left))
      return;
    member fresh;
    fresh.id = id;
    fresh.incarnation = incarnation_id{update.incarnation()};
    fresh.zone = zone_id{static_cast<std::uint16_t>(update.zone())};
    fresh.address = address_of(update);
    fresh.state = state;
    fresh.refutation = update.refutation();
    fresh.state_since = now;
    fresh.load = from_wire(update.load());
    fresh.load_received = now;
    members_[id] = fresh;
    spread(id);
    out.push_back(member_changed{fresh});
    return;
  }
  merge(now, known->second, update, out);
}

void member_table::apply_to_self(const wire::member_update& update) {
  auto& own = members_.at(self_.id);
  const auto state = from_wire(update.state());
  if (update.incarnation() != self_.incarnation.value || state == member_state::alive ||
      own.state == member_state::left || update.refutation() < own.refutation)
    return;
  own.refutation = update.refutation() + 1;
  spread(self_.id);
}

void member_table::merge(time_point now, member& known, const wire::member_update& update,
                         member_effects& out) {
  bool is_changed = false;
  if (overrides(update, known)) {
    const auto state = from_wire(update.state());
    known.refutation = update.refutation();
    if (known.state != state) {
      known.state = state;
      known.state_since = now;
      is_changed = true;
    }
    spread(known.id);
  }
  if (update.has_load() && update.load().sequence() > known.load.sequence) {
    known.load = from_wire(update.load());
    known.load_received = now;
    is_changed = true;
  }
  if (is_changed) out.push_back(member_changed{known});
}

void member_table::set_state(time_point now, member& known, member_state state,
                             member_effects& out) {
  known.state = state;
  known.state_since = now;
  spread(known.id);
  out.push_back(member_changed{known});
}

void member_table::spread(host_id id) {
  std::erase_if(rumours_, [&](const rumour& it) { return it.id == id; });
  rumours_.push_front({id, 0});
}

wire::peer_packet member_table::packet() const {
  wire::peer_packet packet;
  packet.set_from_host(self_.id.value);
  packet.set_from_incarnation(self_.incarnation.value);
  return packet;
}

// The own update comes first, then what is wrong about the receiver, so that it can
// refute, then rumours, then fresh loads in turn while the budget lasts.
void member_table::add_updates(wire::probe_packet& body, std::optional<host_id> receiver) {
  const auto& own = members_.at(self_.id);
  to_wire(own, *body.add_updates());
  std::size_t used = 0;
  std::vector<host_id> added{self_.id};
  const auto add = [&](const member& it) {
    if (std::find(added.begin(), added.end(), it.id) != added.end()) return false;
    wire::member_update update;
    to_wire(it, update);
    const auto size = update.ByteSizeLong() + update_overhead;
    if (used + size > settings_.update_budget) return false;
    used += size;
    added.push_back(it.id);
    *body.add_updates() = std::move(update);
    return true;
  };
  if (receiver)
    if (const auto* known = find(*receiver);
        known != nullptr && known->state != member_state::alive)
      add(*known);
  const auto limit = repeats(members_.size());
  std::stable_sort(rumours_.begin(), rumours_.end(),
                   [](const rumour& a, const rumour& b) { return a.sent < b.sent; });
  for (auto& it : rumours_) {
    const auto* known = find(it.id);
    if (it.id == self_.id || (known != nullptr && add(*known))) ++it.sent;
  }
  std::erase_if(rumours_, [&](const rumour& it) { return it.sent >= limit; });
  if (load_turns_.empty()) {
    for (const auto& [id, it] : members_)
      if (id != self_.id) load_turns_.push_back(id);
    std::sort(load_turns_.begin(), load_turns_.end());
    std::shuffle(load_turns_.begin(), load_turns_.end(), engine_);
  }
  while (!load_turns_.empty()) {
    const auto* known = find(load_turns_.back());
    const bool is_useful = known != nullptr && known->is_live() && known->id != receiver &&
                           now_ - known->load_received < load_relevance;
    if (is_useful && !add(*known)) break;
    load_turns_.pop_back();
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
