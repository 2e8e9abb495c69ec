#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/membership/member_event.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace zinnia {

struct member_settings {
  milliseconds probe_period{500};
  /// A probe without an answer for this long is repeated through other hosts.
  milliseconds answer_timeout{200};
  /// Time in which a suspect can refute before it counts as dead.
  milliseconds suspicion{3000};
  /// A dead or departed host is removed after this time.
  milliseconds forget_after{60'000};
  unsigned indirect_probes = 2;
  /// Updates in one packet, in bytes; bounds the traffic per host whatever the number of hosts.
  std::size_t update_budget = 400;
  /// The shortest time between summaries sent outside of probes; they are sent only on a change.
  milliseconds load_period{100};
  unsigned load_fanout = 2; ///< hosts of other zones that get a changed summary
};

/// This host as the others see it.
struct local_member {
  host_id id;
  incarnation_id incarnation;
  zone_id zone;
  endpoint address;
};

/// Failure detection of entry hosts: randomized probing, indirect probes, suspicion
/// and refutation, with updates and load summaries on the same packets.
class member_table {
public:
  member_table(local_member self, member_settings settings, std::uint64_t seed);

  member_effects step(time_point now, const member_event& event);

  /// A live or departed member; this host itself included.
  const member* find(host_id id) const;

  /// Live hosts of a zone, this host included, in the order of their ids.
  std::vector<host_id> live_hosts(zone_id zone) const;

  const std::unordered_map<host_id, member>& members() const { return members_; }
  const local_member& self() const { return self_; }

private:
  struct pending_probe {
    host_id target;
    time_point sent;
    bool is_indirect_sent = false;
    bool is_verification = false; ///< decides between incarnations; raises no suspicion
  };
  struct relayed_probe {
    host_id target;
    endpoint origin;
    std::uint64_t origin_sequence = 0;
    time_point sent;
  };
  struct rumour {
    host_id id;
    unsigned sent = 0;
  };

  void on(time_point now, const membership_tick&, member_effects& out);
  void on(time_point now, const probe_received& event, member_effects& out);
  void on(time_point now, const load_measured& event, member_effects& out);
  void on(time_point now, const addresses_known& event, member_effects& out);
  void on(time_point now, const departure_requested&, member_effects& out);

  void on_ack(time_point now, const probe_received& event, member_effects& out);
  void relay(time_point now, const probe_received& event, member_effects& out);
  void expire_probes(time_point now, member_effects& out);
  void expire_members(time_point now, member_effects& out);
  void probe_next(time_point now, member_effects& out);
  void probe_unreached(time_point now, member_effects& out);
  void probe_suspect(time_point now, member_effects& out);
  void send_load(time_point now, member_effects& out);
  std::uint64_t probe(time_point now, host_id target, endpoint to, bool is_verification,
                      member_effects& out);
  void verify(time_point now, host_id id, endpoint address, member_effects& out);
  void apply(time_point now, const wire::member_update& update, bool is_proven,
             member_effects& out);
  void apply_to_self(const wire::member_update& update);
  void merge(time_point now, member& known, const wire::member_update& update, member_effects& out);
  void set_state(time_point now, member& known, member_state state, member_effects& out);
  void spread(host_id id);
  wire::peer_packet packet() const;
  void add_updates(wire::probe_packet& body, std::optional<host_id> receiver);
  std::optional<host_id> random_live(std::optional<host_id> except, std::optional<zone_id> zone,
                                     bool is_in_zone);

  local_member self_;
  member_settings settings_;
  random_engine engine_;
  std::unordered_map<host_id, member> members_;
  std::vector<host_address> addresses_;
  std::vector<host_id> round_; ///< hosts still to be probed in this round, last first
  std::unordered_map<std::uint64_t, pending_probe> pending_;
  std::unordered_map<std::uint64_t, relayed_probe> relayed_;
  std::deque<rumour> rumours_;
  std::vector<host_id> own_suspicions_; ///< hosts that this host has suspected itself
  std::vector<host_id> load_turns_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t periods_ = 0;
  time_point now_{};
  time_point next_probe_{};
  time_point next_load_{};
  bool is_load_unsent_ = false;
};

} // namespace zinnia
