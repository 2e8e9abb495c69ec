#pragma once

#include "model/model.h"
#include "zinniarelay/balance/dispatch_queue.h"
#include "zinniarelay/balance/host_router.h"
#include "zinniarelay/membership/member_table.h"
#include "zinniarelay/upstream/upstream_pool.h"

#include <map>
#include <unordered_map>

namespace zinnia::bench {

/// When a flow's upstream is chosen.
enum class binding_time {
  late, ///< the token names a host, which binds at dispatch (docs/design.md R4)
  early ///< the token names an upstream, chosen from the same load summaries at open
};

/// Settings of the decision classes; the defaults are the library's.
struct relay_tuning {
  member_settings members;
  upstream_settings pool;
  router_settings router;
  dispatch_settings queue;
  binding_time binding = binding_time::late;
};

/// Simulates entry hosts with the decision classes of the library. They exchange real messages
/// over a simulated network with delay, loss and cuts.
class relay_model : public model {
public:
  relay_model(user_profile user, scenario scenario, std::uint64_t seed, relay_tuning tuning = {});
  ~relay_model() override;
  relay_model(const relay_model&) = delete;
  relay_model& operator=(const relay_model&) = delete;

protected:
  void start() override;
  void submit(const request_ref& request) override;
  void on_target_joined(unsigned index) override;
  void on_target_leaving(unsigned index) override;
  void on_host_state(unsigned host, bool is_up) override;
  void on_host_draining(unsigned host) override;
  double queue_share_of(const target& target) const override;
  double control_bytes() const override;

private:
  struct entry_host;
  struct route {
    unsigned host = 0;
    incarnation_id incarnation;
    unsigned target = 0; ///< with early binding
    incarnation_id target_incarnation;
  };

  bool is_early_binding() const { return tuning_.binding == binding_time::early; }
  service_id service_of(const target& target) const;
  std::vector<service_load> summarize_loads(const entry_host& entry) const;
  void bind(route& route, const request& request) const;
  entry_host& host_at(unsigned host) { return *hosts_[host]; }
  unsigned zone_of(unsigned host) const { return host % user_.zones; }
  bool is_connected(unsigned zone_a, unsigned zone_b) const;
  std::optional<unsigned> random_host(unsigned caller_zone);
  microseconds one_way_delay(unsigned zone_a, unsigned zone_b) const;
  void start_host(unsigned host);
  void tick(unsigned host, incarnation_id incarnation);
  void send(unsigned from, endpoint to, const wire::peer_packet& packet);
  void receive(unsigned host, unsigned from, const wire::peer_packet& packet);
  void apply(unsigned host, const member_effects& effects);
  void apply(unsigned host, const dispatch_effects& effects);
  void open_flow(const request_ref& request);
  void send_request(const request_ref& request);
  void enqueue_on(unsigned host, const request_ref& request);
  void start_call(unsigned host, const start_work& start);
  void on_call_end(unsigned host, incarnation_id incarnation, const work_key& key,
                   call_result result, bool is_answered);
  void retry_later(const request_ref& request);
  void renew_lease(unsigned index, incarnation_id incarnation);
  void announce_to(unsigned index, unsigned host, bool is_redirected);
  void count_sent(unsigned host, std::size_t bytes);
  void count_received(unsigned host, std::size_t bytes);

  relay_tuning tuning_;
  std::vector<std::unique_ptr<entry_host>> hosts_;
  /// By flow: the host or upstream that its token names.
  std::unordered_map<std::uint64_t, route> routes_;
  /// By target: the host with which the target renews its lease.
  std::vector<unsigned> dispatching_host_;
  /// By target: the lease mark that its next renewal echoes.
  std::vector<std::uint64_t> lease_marks_;
  std::unordered_map<std::uint64_t, unsigned> target_by_incarnation_;
  std::vector<double> sent_;     ///< bytes of control traffic by host
  std::vector<double> received_; ///< bytes of control traffic by host
};

} // namespace zinnia::bench
