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
  early ///< the token names an upstream, chosen by the same summaries at open
};

/// Settings of the decision classes; the defaults are the library's.
struct relay_tuning {
  member_settings members;
  upstream_settings pool;
  router_settings router;
  dispatch_settings queue;
  binding_time binding = binding_time::late;
};

/// Entry hosts made of the library's decision classes, which exchange real messages over
/// a network with delay, loss and cuts.
class relay_model : public model {
public:
  relay_model(user_profile user, scenario what, std::uint64_t seed, relay_tuning tuning = {});
  ~relay_model() override;
  relay_model(const relay_model&) = delete;
  relay_model& operator=(const relay_model&) = delete;

protected:
  void start() override;
  void submit(const request_ref& it) override;
  void on_target_joined(unsigned index) override;
  void on_target_leaving(unsigned index) override;
  void on_host_state(unsigned host, bool is_up) override;
  void on_host_draining(unsigned host) override;
  double queued_for(const target& it) const override;
  double control_bytes() const override;

private:
  struct node;
  struct route {
    unsigned host = 0;
    incarnation_id incarnation;
    unsigned target = 0; ///< with early binding
    incarnation_id target_incarnation;
  };

  bool is_early() const { return tuning_.binding == binding_time::early; }
  service_id service_of(const target& it) const;
  std::vector<service_load> loads(const node& it) const;
  void bind(route& to, const request& it) const;
  node& at(unsigned host) { return *nodes_[host]; }
  unsigned zone_of(unsigned host) const { return host % user_.zones; }
  bool is_connected(unsigned zone_a, unsigned zone_b) const;
  std::optional<unsigned> any_host(unsigned caller_zone);
  microseconds trip(unsigned zone_a, unsigned zone_b) const;
  void boot(unsigned host);
  void tick(unsigned host, incarnation_id run);
  void send(unsigned from, endpoint to, const wire::peer_packet& packet);
  void receive(unsigned host, unsigned from, const wire::peer_packet& packet);
  void apply(unsigned host, const member_effects& effects);
  void apply(unsigned host, const dispatch_effects& effects);
  void open(const request_ref& it);
  void send_request(const request_ref& it);
  void run_on(unsigned host, const request_ref& it);
  void call(unsigned host, const start_work& begin);
  void finished(unsigned host, incarnation_id run, const work_key& key, call_result result,
                bool is_answered);
  void retry_later(const request_ref& it);
  void announce(unsigned index, incarnation_id run);
  void announce_to(unsigned index, unsigned host, bool is_redirected);
  void count_sent(unsigned host, std::size_t bytes);
  void count_received(unsigned host, std::size_t bytes);

  relay_tuning tuning_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::unordered_map<std::uint64_t, route> routes_; ///< by flow: what its token names
  std::vector<unsigned> dispatcher_;                ///< by target: where it renews
  std::vector<std::uint64_t> marks_;                ///< by target: lease mark to echo
  std::unordered_map<std::uint64_t, unsigned> target_of_;
  std::vector<double> sent_;     ///< bytes of control traffic by host
  std::vector<double> received_; ///< bytes of control traffic by host
};

} // namespace zinnia::bench
