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
  std::uint32_t remaining = 0; ///< requests of the flow after this one
  microseconds demand{0};
  time_point deadline;
  std::optional<time_point> arrived; ///< when the request first joined a queue
  bool is_done = false;              ///< answered or failed
  unsigned attempts = 1;
  /// Host and target whose outstanding work includes this request; set by baselines only.
  std::optional<std::pair<unsigned, unsigned>> charged_to;
};

using request_ref = std::shared_ptr<request>;

/// The outcome of a call to a target.
enum class call_outcome { in_time, late, lost };
using call_handler = std::function<void(call_outcome)>;

/// The model of an upstream process: slots, queue, cold start, shedding and drain.
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
  unsigned started_calls = 0;
  std::deque<request_ref> queue; ///< used by policies that queue at the upstream
  std::map<std::uint64_t, call_handler> running;

  unsigned open_slots() const { return is_shedding ? 1 : slots; }
};

/// Simulates workload, targets and faults in virtual time and collects measures. Derived classes
/// implement the balancing policy. Runs with equal seeds have the same arrivals, demands and
/// faults.
class model {
public:
  model(user_profile user, scenario scenario, std::uint64_t seed);
  virtual ~model() = default;
  model(const model&) = delete;
  model& operator=(const model&) = delete;

  /// Simulates the whole scenario and returns its measures.
  measures run();

protected:
  /// Sends a request from its caller. Number 0 is the first request of a new flow.
  virtual void submit(const request_ref& request) = 0;
  virtual void on_target_joined(unsigned) {}
  virtual void on_target_leaving(unsigned) {}
  virtual void on_target_gone(unsigned) {}
  virtual void on_host_state(unsigned /*host*/, bool /*is_up*/) {}
  virtual void on_host_draining(unsigned /*host*/) {}
  virtual void start() {}
  /// Returns the number of waiting requests per slot of this target. Counts the queues outside of
  /// targets: those of hosts, or the central queue.
  virtual double queue_share_of(const target&) const { return 0; }
  virtual double control_bytes() const { return 0; }

  /// Starts a call on a free slot. Invokes the handler when the slot is free again or the target
  /// has crashed.
  void serve(target& target, const request_ref& request, call_handler on_end);
  void record_arrival(const request_ref& request);
  /// Marks the request as answered and schedules the next request of its flow.
  void complete_request(const request_ref& request);
  /// Ends the request without an answer and counts its flow as broken.
  void fail_request(const request_ref& request);
  void record_retry();
  bool is_measured() const;

  event_queue events_;
  user_profile user_;
  scenario scenario_;
  random_engine policy_engine_;
  std::vector<target> targets_;
  std::vector<bool> host_up_;
  std::optional<unsigned> cut_zone_;
  measures measures_;

private:
  void record_request();
  void arrive(unsigned service);
  void next_request(const request_ref& previous);
  microseconds demand_of(std::uint64_t flow, std::uint32_t number, unsigned service) const;
  void sample();
  void schedule_faults();
  void kill_target(unsigned index);
  void replace_target(unsigned index);
  void take_zone_down(unsigned zone);
  void bring_zone_up(unsigned zone);
  /// Resets a target to the state after its start, with a new incarnation and address.
  void restart(target& target);

  std::uint64_t seed_;
  std::vector<random_engine> arrivals_;
  random_engine faults_;
  std::uint64_t next_flow_ = 1;
  std::uint64_t next_call_ = 1;
  bool is_outage_ = false;
  std::uint16_t next_port_ = 1000;
};

} // namespace zinnia::bench
