#pragma once

#include "zinniarelay/core/result.h"
#include "zinniarelay/request/dispatch_result.h"
#include "zinniarelay/request/request_effects.h"
#include "zinniarelay/request/request_settings.h"
#include "zinniarelay/request/request_table.h"
#include "zinniarelay/request/retry_budget.h"
#include "zinniarelay/token/flow_token.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

/// Policy for the method of a request according to the current configuration. The kind
/// is method_kind_unset when the service does not declare the method.
struct service_policy {
  service_id service;
  wire::method_kind kind = wire::method_kind_unset;
  milliseconds max_deadline{0};
  std::uint32_t retry_percent = 0; ///< retries per 100 requests

  friend auto operator<=>(const service_policy&, const service_policy&) = default;
};

/// Reason why a host may run a request whose token names another executing host (docs/design.md
/// R11).
enum class takeover_mode {
  none,
  executing_host_dead,
  repeated_attempt, ///< the attempt number in the caller's packet is 3 or more
};

/// Whether an attempt may be written to an upstream.
enum class start_permission {
  granted,
  withdrawn, ///< the request has ended or its deadline has passed; discard the attempt
};

/// Event counts for metrics.
struct executor_counters {
  std::uint64_t duplicate_requests = 0;
  std::uint64_t foreign_requests = 0;        ///< named another host and were not taken over
  std::uint64_t refused_table_full = 0;      ///< refused because the table is full
  std::uint64_t dropped_tombstones_full = 0; ///< no reply, no room for a tombstone
  std::uint64_t outside_window = 0;          ///< token from outside the window of record epochs
  std::uint64_t other_incarnation = 0;       ///< of an earlier incarnation or a dead host; not run
  std::uint64_t retries = 0;
  std::uint64_t retries_refused = 0; ///< by the retry budget
  std::uint64_t takeovers = 0;
  std::uint64_t takeovers_refused = 0; ///< by the retry budget
  std::uint64_t late_results = 0;      ///< results of attempts that are not current
  std::uint64_t late_acks = 0;         ///< acknowledgements of requests without a stored answer
  std::uint64_t oversized_answers = 0;
  std::uint64_t starts_withdrawn = 0;

  friend auto operator<=>(const executor_counters&, const executor_counters&) = default;
};

/// Admits, dispatches, retries and completes the requests whose tokens name this
/// incarnation, and the idempotent requests taken over from other hosts
/// (docs/design.md R5 to R11). A non-idempotent request is dispatched again only if the
/// earlier attempt provably did not start. `not_run` is sent only after the table has
/// recorded that the request is never dispatched.
class request_executor {
public:
  using token_sealer = std::function<std::string(const flow_token&)>;

  /// Creates an executor. `sealer` seals the renewed tokens that are sent with answers.
  /// Fails with error_kind::malformed for settings out of range.
  static result<request_executor> create(const request_settings& settings, host_id host,
                                         incarnation_id incarnation, token_sealer sealer);

  /// Returns the current record epoch, which the host publishes in its summary.
  std::uint32_t record_epoch(time_point now) const;

  /// Returns how long a token sealed now is valid for new requests.
  milliseconds token_validity(time_point now) const;

  /// Returns the validity that another host may promise for a token of this host. That
  /// host takes the record epoch from a summary that is at most one epoch old.
  milliseconds min_token_validity() const;

  /// Handles a request packet. The token must have been authenticated and must belong
  /// to `policy.service`.
  request_effects on_request(time_point now, const flow_token& token,
                             const wire::service_request& request, const service_policy& policy,
                             const reply_route& route, takeover_mode mode);

  /// Handles the acknowledgement of an answer.
  void on_ack(time_point now, const flow_token& token, std::uint64_t number);

  /// Requests permission to write an attempt to an upstream. The attempt must not be
  /// written unless the start is granted. Each granted attempt requires exactly one call
  /// of on_dispatch_result.
  [[nodiscard]] start_permission on_dispatch_started(time_point now, const attempt_key& key);

  /// Handles the result of a granted attempt.
  request_effects on_dispatch_result(time_point now, const attempt_key& key,
                                     const dispatch_result& attempt_result);

  /// Handles the refusal of an attempt by the dispatch queue. The attempt was not started.
  request_effects on_dispatch_rejected(time_point now, const attempt_key& key,
                                       wire::outcome_reason reason);

  /// Ends requests whose deadline has passed and removes expired records. Must be called
  /// at least every 100 ms.
  request_effects on_tick(time_point now);

  /// Starts a drain: new requests are refused as not_run, and answers contain no renewed
  /// token (docs/design.md R12).
  void begin_drain() { is_draining_ = true; }

  /// Returns how long tokens that name this incarnation remain valid after the start of
  /// the drain. A planned stop waits for 0: only this incarnation can answer a request
  /// under such a token with not_run. After the stop the outcome would be unknown.
  milliseconds remaining_token_validity(time_point now) const;

  /// Cancels a drain: new requests are admitted again.
  void end_drain() {
    is_draining_ = false;
    drain_epoch_.reset();
  }

  /// Returns the number of requests that have not ended. A planned stop waits for 0.
  std::size_t pending() const { return table_.pending(); }

  /// Returns the number of stored answers that are neither acknowledged nor expired. A
  /// planned stop waits for 0.
  std::size_t unacknowledged() const { return table_.answered(); }

  const request_table& table() const { return table_; }
  const executor_counters& counters() const { return counters_; }

private:
  request_executor(const request_settings& settings, host_id host, incarnation_id incarnation,
                   token_sealer sealer, request_table table);

  struct timer {
    time_point due_at;
    request_key key;
    friend bool operator>(const timer& a, const timer& b) { return a.due_at > b.due_at; }
  };

  bool is_for_this_incarnation(const flow_token& token) const;
  bool is_in_window(time_point now, const flow_token& token) const;
  std::uint32_t identity_expiry_epoch(time_point now, wire::method_kind kind) const;
  retry_budget& budget_of(service_id service);

  request_effects resend(time_point now, const request_key& key, live_record& record,
                         const wire::service_request& request);
  request_effects admit(time_point now, const request_key& key, const flow_token& token,
                        const wire::service_request& request, const service_policy& policy,
                        const reply_route& route);
  request_effects refuse(time_point now, const request_key& key, const reply_route& route,
                         wire::method_kind kind, wire::outcome_reason reason);
  request_effects settle(time_point now, const request_key& key, live_record& record,
                         settled_state state, wire::outcome_reason reason);
  request_effects retry_or_settle(time_point now, const request_key& key, live_record& record,
                                  settled_state state, wire::outcome_reason reason);
  request_effects store_answer(time_point now, const request_key& key, live_record& record,
                               const dispatch_result& attempt_result);
  void append_parts(time_point now, const request_key& key, const live_record& record,
                    std::size_t offset, std::uint32_t max_parts, request_effects& out) const;
  void resend_unacknowledged_answers(time_point now, request_effects& out);
  request_effects on_deadline(time_point now, const request_key& key, live_record& record);
  dispatch_request dispatch_of(const request_key& key, const live_record& record) const;

  request_settings settings_;
  host_id host_;
  incarnation_id incarnation_;
  token_sealer sealer_;
  request_table table_;
  std::unordered_map<service_id, retry_budget> budgets_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  executor_counters counters_;
  bool is_draining_ = false;
  std::optional<std::uint32_t> drain_epoch_; // record epoch of the first tick of the drain
  time_point next_answer_resend_;
};

} // namespace zinnia
