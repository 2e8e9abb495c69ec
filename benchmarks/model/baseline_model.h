#pragma once

#include "model/model.h"

#include <unordered_map>

namespace zinnia::bench {

/// Known balancing policies, which bind a flow to an upstream at its first request, and the lower
/// bound: `central` has one queue per service and sees the state of every slot immediately.
enum class baseline {
  modulo,
  rendezvous,
  random,
  round_robin,
  least_reported,
  two_choices,
  central
};

inline constexpr baseline all_baselines[] = {baseline::modulo,         baseline::rendezvous,
                                             baseline::random,         baseline::round_robin,
                                             baseline::least_reported, baseline::two_choices};

const char* name_of(baseline policy);

/// Simulates hosts that balance by the given policy over upstreams that queue. Tokens name the
/// upstream, because the fabric sends the packets of a flow to any host. The list of upstreams
/// lags behind by the delays of leases.
class baseline_model : public model {
public:
  baseline_model(user_profile user, scenario scenario, std::uint64_t seed, baseline policy);

protected:
  void start() override;
  void submit(const request_ref& request) override;
  void on_target_joined(unsigned index) override;
  void on_target_leaving(unsigned index) override;
  void on_target_gone(unsigned index) override;
  double queue_share_of(const target& target) const override;

private:
  struct binding {
    unsigned index = 0;
    incarnation_id incarnation;
    unsigned host = 0;
  };

  std::vector<unsigned> candidates_for(const request& request) const;
  unsigned choose_target(const request& request, unsigned host,
                         const std::vector<unsigned>& candidates);
  bool is_reachable(unsigned caller_zone, unsigned zone) const;
  void send(const request_ref& request, unsigned index);
  void arrive_at(const request_ref& request, unsigned index, incarnation_id incarnation);
  void pump(unsigned index);
  void pump_central(unsigned service);
  void update_reports();
  void charge(const request_ref& request);
  void finish(const request_ref& request, bool is_answered);
  double local_load(unsigned host, unsigned index) const;

  baseline policy_;
  std::vector<bool> is_listed_;
  std::vector<bool> cut_noticed_;
  std::vector<double> reported_load_;
  /// By host and target: outstanding requests that the host sent.
  std::vector<std::vector<unsigned>> outstanding_;
  /// By host and service: next position of round robin.
  std::vector<std::vector<unsigned>> rotation_;
  std::unordered_map<std::uint64_t, binding> bindings_;
  std::vector<std::deque<request_ref>> central_queues_; ///< by service
};

} // namespace zinnia::bench
