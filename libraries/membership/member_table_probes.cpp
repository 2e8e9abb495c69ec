#include "zinniarelay/membership/member_table.h"

#include <algorithm>

// Probes of member_table, by which it detects hosts that have failed.

namespace zinnia {

void member_table::expire_probes(time_point now, member_effects& out) {
  std::erase_if(relayed_probes_,
                [&](const auto& it) { return now - it.second.sent_at >= settings_.probe_period; });
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, it] : pending_probes_)
    sequences.push_back(sequence);
  std::sort(sequences.begin(), sequences.end());
  for (const auto sequence : sequences) {
    auto& probe = pending_probes_.at(sequence);
    if (now - probe.sent_at >= settings_.probe_period) {
      const auto existing = members_.find(probe.target);
      if (!probe.is_verification && existing != members_.end() &&
          existing->second.state == member_state::alive) {
        set_state(now, existing->second, member_state::suspect, out);
        raised_suspicions_.push_back(probe.target);
      }
      pending_probes_.erase(sequence);
      continue;
    }
    if (probe.is_indirect_sent || probe.is_verification ||
        now - probe.sent_at < settings_.ack_timeout)
      continue;
    probe.is_indirect_sent = true;
    for (unsigned n = 0; n < settings_.indirect_probes; ++n) {
      const auto helper = random_live(probe.target, std::nullopt, false);
      if (!helper) break;
      auto packet = make_packet();
      packet.mutable_indirect()->set_sequence(sequence);
      packet.mutable_indirect()->set_target(probe.target.value);
      out.push_back(send_probe{members_.at(*helper).address, std::move(packet)});
    }
  }
}

void member_table::probe_next(time_point now, member_effects& out) {
  // Probing in shuffled rounds bounds the time until each host is probed.
  if (probe_round_.empty()) {
    for (const auto& [id, it] : members_)
      if (id != self_.id && it.is_live()) probe_round_.push_back(id);
    std::sort(probe_round_.begin(), probe_round_.end());
    std::shuffle(probe_round_.begin(), probe_round_.end(), engine_);
  }
  while (!probe_round_.empty()) {
    const auto id = probe_round_.back();
    probe_round_.pop_back();
    const auto existing = members_.find(id);
    if (existing == members_.end() || !existing->second.is_live()) continue;
    probe(now, id, existing->second.address, false, out);
    return;
  }
  probe_dead_or_unknown(now, out);
}

void member_table::probe_dead_or_unknown(time_point now, member_effects& out) {
  std::vector<host_address> candidates;
  for (const auto& it : addresses_) {
    const auto* existing = find(it.id);
    if (it.id != self_.id && (existing == nullptr || existing->state == member_state::dead))
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

// A suspect can refute a suspicion only after receiving it, and the disseminated update may arrive
// too late. The host that raised the suspicion therefore probes the suspect in every period. Other
// hosts do not, because one suspicion would then cost a packet from every host.
void member_table::probe_suspect(time_point now, member_effects& out) {
  std::erase_if(raised_suspicions_, [&](host_id id) {
    const auto* existing = find(id);
    return existing == nullptr || existing->state != member_state::suspect;
  });
  if (raised_suspicions_.empty()) return;
  const auto id = raised_suspicions_[periods_ % raised_suspicions_.size()];
  probe(now, id, members_.at(id).address, true, out);
}

std::uint64_t member_table::probe(time_point now, host_id target, endpoint to, bool is_verification,
                                  member_effects& out) {
  const auto sequence = next_sequence_++;
  pending_probes_[sequence] = {target, now, false, is_verification};
  auto packet = make_packet();
  packet.mutable_probe()->set_sequence(sequence);
  add_updates(*packet.mutable_probe(), target);
  out.push_back(send_probe{to, std::move(packet)});
  return sequence;
}

void member_table::verify_incarnation(time_point now, host_id id, endpoint address,
                                      member_effects& out) {
  const bool is_verifying =
      std::any_of(pending_probes_.begin(), pending_probes_.end(), [&](const auto& it) {
        return it.second.target == id && it.second.is_verification;
      });
  if (!is_verifying) probe(now, id, address, true, out);
}

} // namespace zinnia
