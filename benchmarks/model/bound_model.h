#pragma once

#include "model/model.h"

#include <unordered_map>

namespace zinnia::bench {

/// Known ways to balance, which bind a flow to an upstream at its first request, and the
/// lower bound: one queue per service that knows every slot at once.
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

/// Upstreams that queue, with the given policy in front of them. The baselines are given
/// tokens that name the upstream, so that they survive the spraying fabric, and a list of
/// upstreams that lags as the leases do.
class bound_model : public model {
public:
  bound_model(user_profile user, scenario what, std::uint64_t seed, baseline policy);

protected:
  void start() override;
  void submit(const request_ref& it) override;
  void on_target_joined(unsigned index) override;
  void on_target_leaving(unsigned index) override;
  void on_target_gone(unsigned index) override;
  double queued_for(const target& it) const override;

private:
  struct binding {
    unsigned index = 0;
    incarnation_id incarnation;
    unsigned host = 0;
  };

  std::vector<unsigned> candidates(const request& it) const;
  unsigned choose(const request& it, unsigned host, const std::vector<unsigned>& from);
  bool is_reachable(unsigned caller_zone, unsigned zone) const;
  void send(const request_ref& it, unsigned index);
  void arrive_at(const request_ref& it, unsigned index, incarnation_id incarnation);
  void pump(unsigned index);
  void pump_central(unsigned service);
  void report();
  void charge(const request_ref& it);
  void end(const request_ref& it, bool is_answered);
  double known_load(unsigned host, unsigned index) const;

  baseline policy_;
  std::vector<bool> listed_;
  std::vector<bool> cut_noticed_;
  std::vector<double> reported_;
  std::vector<std::vector<unsigned>> own_;   ///< by host and target: outstanding work it sent
  std::vector<std::vector<unsigned>> turns_; ///< by host and service
  std::unordered_map<std::uint64_t, binding> bindings_;
  std::vector<std::deque<request_ref>> central_; ///< by service
};

} // namespace zinnia::bench
