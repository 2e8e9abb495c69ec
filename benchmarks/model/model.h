#pragma once

#include "model/event_queue.h"
#include "model/measures.h"
#include "model/profile.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/identifiers.h"
#include "zinniarelay/core/random.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace zinnia::bench {

/// One request of a flow.
struct request {
  std::uint64_t flow = 0;
  std::uint32_t number = 0;
  unsigned service = 0;
  unsigned caller_zone = 0;
  std::uint32_t left = 0; ///< requests of the flow after this one
  microseconds demand{0};
  time_point deadline;
  std::optional<time_point> arrived; ///< at the first place where it queued
  bool is_done = false;              ///< answered or given up
  unsigned attempts = 1;
  /// Host and target whose count of outstanding work includes it; for baselines.
  std::optional<std::pair<unsigned, unsigned>> charged;
};

using request_ref = std::shared_ptr<request>;

/// How a call on an upstream ended.
enum class served { in_time, late, lost };
using served_action = std::function<void(served)>;

/// A stand-in for an upstream process: slots, queue, cold start, shedding, drain.
struct target {
  unsigned index = 0;
  unsigned service = 0;
  unsigned zone = 0;
  unsigned slots = 0;
  incarnation_id incarnation;
  endpoint address;
  bool is_up = true;
  bool is_leaving = false;
  bool is_shedding = false;
  bool is_misreporting = false;
  unsigned busy = 0;
  unsigned served = 0;
  std::deque<request_ref> queue; ///< of policies that let upstreams queue
  std::map<std::uint64_t, served_action> running;

  unsigned open_slots() const { return is_shedding ? 1 : slots; }
};

/// Workload, targets, faults and measures in virtual time; the policy is in derived classes.
/// Runs with equal seeds see the same arrivals, demands and faults.
class model {
public:
  model(user_profile user, scenario what, std::uint64_t seed);
  virtual ~model() = default;
  model(const model&) = delete;
  model& operator=(const model&) = delete;

  measures run();

protected:
  /// A request is ready at the caller; its flow is new when its number is 0.
  virtual void submit(const request_ref& it) = 0;
  virtual void on_target_joined(unsigned) {}
  virtual void on_target_leaving(unsigned) {}
  virtual void on_target_gone(unsigned) {}
  virtual void on_host_state(unsigned /*host*/, bool /*is_up*/) {}
  virtual void on_host_draining(unsigned /*host*/) {}
  virtual void start() {}
  /// Requests that wait outside of targets, spread per slot over this target.
  virtual double queued_for(const target&) const { return 0; }
  virtual double control_bytes() const { return 0; }

  /// Begins a call on a free slot; done is called when the slot is free again or the
  /// target has died.
  void serve(target& at, const request_ref& it, served_action done);
  void note_arrival(const request_ref& it);
  void answered(const request_ref& it);
  void gave_up(const request_ref& it);
  void note_retry();
  bool is_measured() const;

  event_queue events_;
  user_profile user_;
  scenario what_;
  random_engine policy_engine_;
  std::vector<target> targets_;
  std::vector<bool> host_up_;
  std::optional<unsigned> cut_zone_;
  measures seen_;

private:
  void note_request();
  void arrive(unsigned service);
  void next_request(const request_ref& previous);
  microseconds demand_of(std::uint64_t flow, std::uint32_t number, unsigned service) const;
  void sample();
  void schedule_faults();
  void kill_target(unsigned index);
  void replace_target(unsigned index);
  void take_zone_down(unsigned zone);
  void bring_zone_up(unsigned zone);
  void renew(target& it);

  std::uint64_t seed_;
  std::vector<random_engine> arrivals_;
  random_engine faults_;
  std::uint64_t next_flow_ = 1;
  std::uint64_t next_call_ = 1;
  bool is_outage_ = false;
  std::uint16_t next_port_ = 1000;
};

} // namespace zinnia::bench
