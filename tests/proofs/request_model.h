#pragma once

#include "zinniarelay/caller/caller_session.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/request/request_executor.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnia::proofs {

/// The faults of one generated schedule. Rates are percentages.
struct fault_plan {
  int host_kills = 0;               ///< of entry hosts, each restarted later as a new incarnation
  int host_freezes = 0;             ///< of entry hosts, resumed later with their state
  int host_cuts = 0;                ///< of entry hosts from callers and from each other
  int upstream_crashes = 0;         ///< rate per call, before, during or after the run
  int unresponsive_connections = 0; ///< rate per call of a connection that stops responding
  int upstream_failures = 0;        ///< rate per run of an upstream that reports a failure
  int queue_rejections = 0;         ///< rate per attempt that the dispatch queue refuses
  int upstream_refusals = 0;        ///< rate per call that the upstream provably did not start
  int short_deadlines = 0;          ///< rate per call of a deadline within the usual duration
  int loss = 5;                     ///< rate per packet
  int duplicates = 5;               ///< rate per packet
  int late_duplicates = 0;          ///< rate per packet of a copy that arrives up to 3 s later
  int misdeliveries = 2;            ///< rate per packet of a copy that reaches another caller
  int corruptions = 0;              ///< rate per answer part of a changed byte
  int idempotent_share = 30;        ///< rate of calls, downloads included
  int stale_ranges = 0;             ///< rate per range of an upstream that serves an older version
  int version_changes = 0;          ///< of the downloaded content
  int max_deadline_ms = 4'000;      ///< that the service accepts
  bool has_tiny_tables = false;
  bool has_drain = false;         ///< a host begins a planned stop and ends once it is drained
  int submission_period_ms = 500; ///< period in which all calls are submitted
};

/// One event of a run, for the checks of the promises.
struct history_entry {
  enum class event { submitted, ran, ended };
  event type = event::submitted;
  time_point time;
  call_id call;
  wire::method_kind kind = wire::non_idempotent; ///< of a submitted call
  bool is_download = false;                      ///< of a submitted call
  bool has_long_deadline = false;                ///< of a submitted call
  wire::outcome_kind outcome = wire::outcome_unset;
  wire::outcome_reason reason = wire::reason_unset;
  std::string answer; ///< of a run and of an answered call
};

using call_history = std::vector<history_entry>;

/// A simulation of three entry hosts, two callers and fake upstreams under one seed. It chooses
/// orders, delays and faults. All decisions about requests are made by request_executor and
/// caller_session.
class request_model {
public:
  request_model(const fault_plan& plan, std::uint64_t seed);

  /// Runs the schedule to its end and returns what was observed.
  const call_history& run();

  /// Returns the complete content that a download of a version must deliver.
  static std::string content_of(const std::string& version);

private:
  static constexpr std::size_t host_count = 3;
  static constexpr std::size_t caller_count = 2;

  enum class call_state { queued, granted, written };

  struct running_call {
    dispatch_request work;
    call_state state = call_state::queued;
    bool is_cancelled = false;
    bool has_started = false;
  };

  struct model_host {
    std::optional<request_executor> executor;
    incarnation_id incarnation;
    bool is_alive = true;
    bool is_draining = false;
    bool is_cut = false;
    time_point frozen_until;
    std::deque<std::function<void()>> pending_actions; // events that arrive while frozen
    std::map<std::uint64_t, running_call> calls;
    std::set<std::uint64_t> dead_incarnations;     // as recorded by this host
    std::set<std::uint64_t> draining_incarnations; // as recorded by this host
  };

  struct scheduled_event {
    time_point time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    friend bool operator>(const scheduled_event& a, const scheduled_event& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  std::uint64_t random_below(std::uint64_t bound) { return engine_() % bound; }
  /// Returns true with a probability of `rate` percent.
  bool random_chance(int rate) { return random_below(100) < static_cast<std::uint64_t>(rate); }
  microseconds random_delay(int low_ms, int high_ms);
  void schedule(microseconds wait, std::function<void()> action);
  void schedule_at_host(microseconds wait, std::size_t host, std::function<void()> action);

  void start_host(std::size_t host);
  void schedule_faults();
  void schedule_calls();
  void kill(std::size_t host);
  void freeze(std::size_t host, microseconds duration);
  void drain(std::size_t host);
  void report_dead(std::size_t about);
  void tick(std::size_t host);

  void apply(std::size_t caller, caller_effects effects);
  void schedule_wakeup(std::size_t caller);
  void send_to_fabric(std::size_t caller, const wire::caller_packet& packet);
  void send_to_caller(std::size_t host, const send_packet& effect);
  void receive_at_entry(std::size_t host, std::size_t caller, const wire::caller_packet& packet,
                        int hops);
  void on_open(std::size_t host, std::size_t caller, const wire::open_request& request);
  void on_request(std::size_t host, std::size_t caller, const wire::caller_packet& packet,
                  int hops);

  void apply(std::size_t host, request_effects effects);
  void start_call(std::size_t host, std::uint64_t call);
  void write_call(std::size_t host, std::uint64_t call);
  void cancel(std::size_t host, const attempt_key& key);
  void finish(std::size_t host, std::uint64_t call, dispatch_result result);
  dispatch_result run_on_upstream(const dispatch_request& work);

  static std::string seal(const flow_token& token);
  static flow_token open(const std::string& sealed);
  service_policy policy_of(const std::string& method) const;

  fault_plan plan_;
  random_engine engine_;
  time_point now_{std::chrono::seconds(1'000)};
  std::uint64_t last_sequence_ = 0;
  std::uint64_t next_call_ = 1;
  std::uint64_t run_count_ = 0;
  std::uint64_t content_version_ = 1;  // of the downloaded content
  std::vector<scheduled_event> queue_; // a heap, earliest first
  std::array<model_host, host_count> hosts_;
  std::vector<caller_session> callers_;
  std::array<std::optional<time_point>, caller_count> scheduled_wakeups_;
  call_history history_;
};

} // namespace zinnia::proofs
