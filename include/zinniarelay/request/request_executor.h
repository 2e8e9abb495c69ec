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

/// What the configuration in force says about the method of a request. The kind
/// is method_kind_unset when the service does not declare the method.
struct service_policy {
  service_id service;
  wire::method_kind kind = wire::method_kind_unset;
  milliseconds longest_deadline{0};
  std::uint32_t retry_percent = 0; ///< retries per 100 requests

  friend auto operator<=>(const service_policy&, const service_policy&) = default;
};

/// Why a host runs an idempotent request that another host executes (docs/design.md R11).
enum class takeover_mode {
  none,
  executing_host_dead,
  repeated_attempt, ///< the caller's attempt number is 3 or more
};

/// Whether an attempt may be written to an upstream.
enum class start_permission {
  granted,
  withdrawn, ///< the request has ended or its deadline has passed; discard the attempt
};

/// Events that change no record; for metrics.
struct executor_counters {
  std::uint64_t duplicate_requests = 0;
  std::uint64_t foreign_requests = 0; ///< named another host and were not to be taken over
  std::uint64_t refused_full = 0;     ///< not_run because the table is full
  std::uint64_t dropped_full = 0;     ///< not answered because tombstones are full
  std::uint64_t outside_window = 0;
  std::uint64_t other_incarnation = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_refused = 0; ///< by the retry budget
  std::uint64_t takeovers = 0;
  std::uint64_t takeovers_refused = 0; ///< by the retry budget
  std::uint64_t late_results = 0;      ///< of an attempt that is not the current one
  std::uint64_t late_acks = 0;
  std::uint64_t oversized_answers = 0;
  std::uint64_t starts_withdrawn = 0;

  friend auto operator<=>(const executor_counters&, const executor_counters&) = default;
};

/// Decides about every request whose token names this incarnation, and about
/// idempotent requests taken over from other hosts (docs/design.md R5 to R11).
/// A non-idempotent request is dispatched again only when the earlier attempt
/// provably did not start, and `not_run` is sent only once the record says so.
class request_executor {
public:
  using token_sealer = std::function<std::string(const flow_token&)>;

  /// `sealer` seals the renewed tokens of answers. Fails with
  /// error_kind::malformed for settings out of range.
  static result<request_executor> create(const request_settings& settings, host_id host,
                                         incarnation_id incarnation, token_sealer sealer);

  /// The current record epoch, to be published in the host's summary.
  std::uint32_t record_epoch(time_point now) const;

  /// How long a token sealed now is valid for new requests.
  milliseconds token_validity(time_point now) const;

  /// The validity that any host may promise for a token stamped with an epoch
  /// of a summary that is at most one epoch old.
  milliseconds least_token_validity() const;

  /// Handles a request packet. The token has been authenticated, and belongs to
  /// `policy.service`.
  request_effects on_request(time_point now, const flow_token& token,
                             const wire::service_request& request, const service_policy& policy,
                             const reply_route& route, takeover_mode mode);

  void on_ack(time_point now, const flow_token& token, std::uint64_t number);

  /// Asks for permission to write an attempt to an upstream. The attempt must
  /// not be written unless it is granted; every granted attempt needs exactly
  /// one on_dispatch_result.
  [[nodiscard]] start_permission on_dispatch_started(time_point now, const attempt_key& key);

  request_effects on_dispatch_result(time_point now, const attempt_key& key,
                                     const dispatch_result& seen);

  /// The dispatch queue refused the attempt, which was never started.
  request_effects on_dispatch_rejected(time_point now, const attempt_key& key,
                                       wire::outcome_reason reason);

  /// Ends requests whose deadline has passed and expires records. Call it at
  /// least every 100 ms.
  request_effects on_tick(time_point now);

  /// From now on new requests are refused as not_run, and answers renew no
  /// token (docs/design.md R12).
  void begin_drain() { is_draining_ = true; }

  /// How long tokens that name this incarnation remain valid after the drain
  /// began; a planned stop waits for 0. A request under such a token can be told
  /// not_run by this incarnation only, and would be unknown after the stop.
  milliseconds outstanding_tokens(time_point now) const;

  /// A drain was undone; new requests are taken again.
  void end_drain() {
    is_draining_ = false;
    drain_epoch_.reset();
  }

  /// Requests that have not ended; a planned stop waits for 0.
  std::size_t pending() const { return table_.pending(); }

  /// Stored answers neither acknowledged nor expired; a planned stop waits for 0.
  std::size_t unacknowledged() const { return table_.answered(); }

  const request_table& table() const { return table_; }
  const executor_counters& counters() const { return counters_; }

private:
  request_executor(const request_settings& settings, host_id host, incarnation_id incarnation,
                   token_sealer sealer, request_table table);

  struct timer {
    time_point due;
    request_key key;
    friend bool operator>(const timer& a, const timer& b) { return a.due > b.due; }
  };

  bool is_own(const flow_token& token) const;
  bool is_in_window(time_point now, const flow_token& token) const;
  std::uint32_t identity_expiry(time_point now, wire::method_kind kind) const;
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
  request_effects retry_or(time_point now, const request_key& key, live_record& record,
                           settled_state state, wire::outcome_reason reason);
  request_effects store_answer(time_point now, const request_key& key, live_record& record,
                               const dispatch_result& seen);
  void append_parts(time_point now, const request_key& key, const live_record& record,
                    std::size_t offset, std::uint32_t most, request_effects& out) const;
  void remind_callers(time_point now, request_effects& out);
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
  std::optional<std::uint32_t> drain_epoch_; // when the drain was first seen by a tick
  time_point next_reminder_;
};

} // namespace zinnia
