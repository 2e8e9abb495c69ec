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
  /// Indirect probes are sent when a direct probe was not acknowledged for this long.
  milliseconds ack_timeout{200};
  /// Time in which a suspect can refute the suspicion before it is declared dead.
  milliseconds suspicion_timeout{3000};
  /// A dead or departed host is removed after this time.
  milliseconds removal_delay{60'000};
  unsigned indirect_probes = 2;
  /// Maximum size of the member updates in one packet. It bounds the traffic per host
  /// independently of the number of hosts.
  std::size_t max_update_bytes = 400;
  /// Minimum interval between load summaries sent outside of probes. They are sent only after a
  /// change.
  milliseconds load_period{100};
  unsigned load_fanout = 2; ///< hosts of other zones that receive a changed summary
};

/// The identity of this host in the membership protocol.
struct local_member {
  host_id id;
  incarnation_id incarnation;
  zone_id zone;
  endpoint address;
};

/// Membership and failure detection of entry hosts in the manner of SWIM: randomized probes,
/// indirect probes, suspicion and refutation. Member updates and load summaries are disseminated
/// in the same packets.
class member_table {
public:
  member_table(local_member self, member_settings settings, std::uint64_t seed);

  /// Handles an event and returns the effects that the owner has to execute.
  member_effects step(time_point now, const member_event& event);

  /// Returns a member in any state, this host included, or null when the host is not in the table.
  const member* find(host_id id) const;

  /// Returns the live hosts of a zone, this host included, ordered by id.
  std::vector<host_id> live_hosts(zone_id zone) const;

  const std::unordered_map<host_id, member>& members() const { return members_; }
  const local_member& self() const { return self_; }

private:
  struct pending_probe {
    host_id target;
    time_point sent_at;
    bool is_indirect_sent = false;
    bool is_verification = false; ///< checks an incarnation or reachability; raises no suspicion
  };
  struct relayed_probe {
    host_id target;
    endpoint origin;
    std::uint64_t origin_sequence = 0;
    time_point sent_at;
  };
  struct pending_update {
    host_id id;
    unsigned transmissions = 0;
  };

  void on(time_point now, const membership_tick&, member_effects& out);
  void on(time_point now, const probe_received& event, member_effects& out);
  void on(time_point now, const load_measured& event, member_effects& out);
  void on(time_point now, const addresses_updated& event, member_effects& out);
  void on(time_point now, const departure_requested&, member_effects& out);

  void on_ack(time_point now, const probe_received& event, member_effects& out);
  void relay_probe(time_point now, const probe_received& event, member_effects& out);
  void expire_probes(time_point now, member_effects& out);
  void expire_members(time_point now, member_effects& out);
  void probe_next(time_point now, member_effects& out);
  void probe_dead_or_unknown(time_point now, member_effects& out);
  void probe_suspect(time_point now, member_effects& out);
  void send_load(time_point now, member_effects& out);
  std::uint64_t probe(time_point now, host_id target, endpoint to, bool is_verification,
                      member_effects& out);
  void verify_incarnation(time_point now, host_id id, endpoint address, member_effects& out);
  /// `is_first_hand` is true for a member's update about itself in the reply to a pending probe.
  void apply(time_point now, const wire::member_update& update, bool is_first_hand,
             member_effects& out);
  void apply_to_self(const wire::member_update& update);
  void merge(time_point now, member& existing, const wire::member_update& update,
             member_effects& out);
  void set_state(time_point now, member& existing, member_state state, member_effects& out);
  void disseminate(host_id id);
  wire::peer_packet make_packet() const;
  void add_updates(wire::probe_packet& body, std::optional<host_id> receiver);
  /// Returns a random live host other than this host and `except`. With `zone`, the host is inside
  /// or outside of that zone, as `is_in_zone` says. Empty when there is no such host.
  std::optional<host_id> random_live(std::optional<host_id> except, std::optional<zone_id> zone,
                                     bool is_in_zone);

  local_member self_;
  member_settings settings_;
  random_engine engine_;
  std::unordered_map<host_id, member> members_;
  std::vector<host_address> addresses_;
  std::vector<host_id> probe_round_; ///< hosts still to be probed in this round, last first
  std::unordered_map<std::uint64_t, pending_probe> pending_probes_;
  std::unordered_map<std::uint64_t, relayed_probe> relayed_probes_;
  std::deque<pending_update> pending_updates_;
  std::vector<host_id> raised_suspicions_; ///< hosts whose suspicion was raised by this host
  std::vector<host_id> load_rotation_; ///< hosts whose load is still to be sent in this rotation
  std::uint64_t next_sequence_ = 1;
  std::uint64_t periods_ = 0;
  time_point now_{};
  time_point next_probe_{};
  time_point next_load_{};
  bool is_load_unsent_ = false;
};

} // namespace zinnia
