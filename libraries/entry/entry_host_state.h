#pragma once

#include "entry/request_dispatcher.h"
#include "zinniarelay/balance/host_router.h"
#include "zinniarelay/core/content_assembler.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/entry/control_poller.h"
#include "zinniarelay/entry/entry_host.h"
#include "zinniarelay/entry/host_drain.h"
#include "zinniarelay/entry/packet_router.h"
#include "zinniarelay/membership/member_table.h"
#include "zinniarelay/observe/metric_registry.h"

#include "caller.pb.h"
#include "fabric.pb.h"
#include "peer.pb.h"

namespace zinnia {

// Bytes that the IPv4 and UDP headers add to a datagram.
inline constexpr std::uint64_t datagram_overhead = 28;
// Bytes that HTTP/2, TCP and IP add to a call and its reply.
inline constexpr std::uint64_t call_overhead = 400;

/// A caller's packet that this host has received, from the fabric or from another host.
struct received_packet {
  wire::fabric_frame frame;
  wire::caller_packet packet;
  endpoint fabric;          ///< the fabric node that the reply is sent to
  std::uint32_t hops = 0;   ///< how often entry hosts have forwarded the packet
  bool is_takeover = false; ///< run an idempotent request here, whichever host the token names

  endpoint service_address() const {
    return {frame.service_address(), static_cast<std::uint16_t>(frame.service_port())};
  }
  reply_route route() const {
    return {{frame.caller_address(), static_cast<std::uint16_t>(frame.caller_port())},
            service_address(),
            fabric};
  }
};

struct entry_counters {
  std::uint64_t opened = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t dropped = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_announcements = 0;
  std::uint64_t failed_polls = 0;
  std::uint64_t control_bytes_in = 0;
  std::uint64_t control_bytes_out = 0;
};

class entry_host::state {
public:
  state(const entry_settings& settings, key_ring keys, incarnation_id incarnation, host_drain drain,
        random_engine engine);

  entry_effects step(time_point now, const entry_event& event);
  result<void> restore(const wire::configuration& configuration);
  bool is_drained() const { return has_departed_; }
  wire::metrics_reply metrics(time_point now) const;
  wire::host_status status(time_point now) const;

private:
  request_executor make_executor();
  dispatch_queue make_queue();

  void on(time_point now, const fabric_datagram& event, entry_effects& out);
  void on(time_point now, const peer_datagram& event, entry_effects& out);
  void on(time_point now, const announcement_received& event, entry_effects& out);
  void on(time_point now, const call_finished& event, entry_effects& out);
  void on(time_point now, const connection_checked& event, entry_effects& out);
  void on(time_point now, const sync_finished& event, entry_effects& out);
  void receive_part(time_point now, const wire::content_part& part, entry_effects& out);
  void on(time_point now, const keys_loaded& event, entry_effects& out);
  void on(time_point now, const drain_requested& event, entry_effects& out);
  void on(time_point now, const timer_tick& event, entry_effects& out);

  void on_packet(time_point now, received_packet received, entry_effects& out);
  void on_open(time_point now, const received_packet& received, entry_effects& out);
  void on_request(time_point now, const received_packet& received, entry_effects& out);
  void on_ack(time_point now, const received_packet& received, entry_effects& out);
  void run_locally(time_point now, const received_packet& received, const flow_token& token,
                   const service_policy& policy, takeover_mode mode, entry_effects& out);
  void forward(const received_packet& received, host_id to, bool is_takeover, entry_effects& out);
  void refuse(const received_packet& received, wire::refusal_cause cause, entry_effects& out);
  void reply(const received_packet& received, const wire::caller_packet& packet,
             entry_effects& out);
  std::optional<flow_token> open_token(const received_packet& received, const std::string& sealed,
                                       entry_effects& out);

  std::optional<host_id> choose_other_host(time_point now, service_id service, std::uint64_t key);
  flow_token token_for(const wire::service_entry& service, host_id host, flow_id flow) const;
  flow_token renewed_token(const flow_token& token);
  wire::announcement_reply handle_announcement(time_point now,
                                               const wire::announcement& announcement);
  host_id dispatching_host(const wire::announcement& announcement) const;

  void execute(time_point now, const member_effects& effects, entry_effects& out);
  void execute(const std::vector<connection_action>& actions, entry_effects& out);
  void send_to_host(host_id to, wire::peer_packet packet, entry_effects& out);
  void measure_load(time_point now, entry_effects& out);
  void apply_configuration(time_point now, const wire::configuration& update, entry_effects& out);
  void update_drains(entry_effects& out);
  void step_drain(drain_event event, entry_effects& out);
  bool is_draining() const { return !drain_.is_serving(); }
  void poll(time_point now, entry_effects& out);
  void advance_drain(time_point now, entry_effects& out);

  entry_settings settings_;
  key_ring keys_;
  incarnation_id incarnation_;
  random_engine engine_;
  service_directory directory_;
  member_table members_;
  host_router router_;
  upstream_pool pool_;
  metric_registry metrics_;
  request_dispatcher dispatcher_;
  packet_router packet_router_;
  control_poller poller_;
  content_assembler configuration_parts_;
  host_drain drain_;
  entry_counters counters_;
  time_point now_{};
  time_point next_load_{};
  time_point last_fabric_packet_{};
  time_point next_membership_{};
  bool is_stopping_ = false;
  bool has_departed_ = false;
};

} // namespace zinnia
