#pragma once

#include "zinniarelay/caller/caller_events.h"
#include "zinniarelay/caller/caller_settings.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/request/answer_assembler.h"
#include "zinniarelay/request/request_key.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace zinnia {

/// Event counts for metrics, including the packets without effect by reason.
struct caller_counters {
  std::uint64_t opens = 0; ///< flows requested
  std::uint64_t resends = 0;
  std::uint64_t reissues = 0;
  std::uint64_t restarts = 0;         ///< of downloads
  std::uint64_t ignored_opens = 0;    ///< replies with another nonce
  std::uint64_t ignored_parts = 0;    ///< of flows or requests not in progress
  std::uint64_t ignored_outcomes = 0; ///< of flows or requests not in progress
  std::uint64_t duplicate_parts = 0;
  std::uint64_t refused_parts = 0; ///< damaged, inconsistent or too long
  std::uint64_t refusals = 0;

  friend auto operator<=>(const caller_counters&, const caller_counters&) = default;
};

/// Implements the caller's side of the protocol for one service. Opens flows, sends and
/// resends requests until they end, assembles answers, and downloads contents in ranges.
/// A non-idempotent request is issued again, under a new flow or number, only after the
/// executing host has reported not_run (docs/design.md R6, R8).
class caller_session {
public:
  /// Creates a session. Fails with error_kind::malformed for settings out of range. Nonces
  /// and jitter are generated from `seed`; sessions of one process need different seeds.
  static result<caller_session> create(const caller_settings& settings, std::uint64_t seed);

  /// Processes an event and returns the resulting effects. Every submitted call ends with
  /// exactly one call_ended, not later than its deadline.
  caller_effects step(time_point now, const caller_event& event);

  /// Returns when `step` must be called with timer_fired; nullopt when no call is open.
  std::optional<time_point> next_wakeup() const;

  /// Returns the number of calls and downloads that have not ended.
  std::size_t open_calls() const { return calls_.size() + downloads_.size(); }

  const caller_counters& counters() const { return counters_; }

private:
  caller_session(const caller_settings& settings, std::uint64_t seed);

  struct flow_state {
    flow_id id;
    std::string token;
    time_point valid_until;
    std::uint64_t next_number = 1;
  };

  struct opening_state {
    std::uint64_t nonce = 0;
    time_point first_sent;
    time_point resend_at;
    milliseconds backoff{0};
    std::uint32_t refusals = 0;
  };

  // One call of the application or one range of a download. An operation may be issued
  // as a request several times, each time under a new flow or number.
  struct operation {
    call_id owner;
    bool is_range = false;
    std::uint32_t restart_count = 0; // of the download when the range was planned
    wire::method_kind kind = wire::non_idempotent;
    std::string method;
    std::string payload;
    std::uint64_t range_offset = 0;
    std::uint32_t range_length = 0;
    std::string content_version;
    time_point deadline;
    time_point not_before; // earliest time of the next issue
    std::uint32_t issue_count = 0;
    bool may_have_run = false; // an earlier issue ended as unknown
  };

  struct issued_request {
    operation work;
    std::string token;
    answer_assembler assembler;
    time_point first_sent;
    time_point resend_at;
    milliseconds backoff{0};
    std::uint32_t attempt = 1;
    // First report of a lost executing host since the last contact with that host.
    std::optional<time_point> reported_lost_at;
  };

  struct download_state {
    std::string method;
    std::string payload;
    time_point deadline;
    std::uint32_t restart_count = 0;
    std::optional<wire::content_info> info; // set by the first answer
    std::string bytes;
    std::uint64_t next_offset = 0; // first byte without a planned range
    std::uint64_t received = 0;
    std::uint32_t in_flight = 0;
  };

  using issued_map = std::map<request_key, issued_request>;
  using download_map = std::unordered_map<call_id, download_state>;

  void on_event(time_point now, const call_submitted& event, caller_effects& out);
  void on_event(time_point now, const download_submitted& event, caller_effects& out);
  void on_event(time_point now, const packet_received& event, caller_effects& out);
  void on_event(time_point now, const timer_fired& event, caller_effects& out);

  void on_opened(time_point now, const wire::open_reply& reply);
  void on_part(time_point now, const wire::answer_part& part, caller_effects& out);
  void on_outcome(time_point now, const wire::request_outcome& outcome, caller_effects& out);
  void on_refused(time_point now, const wire::refusal& refusal, caller_effects& out);

  void renew_token(const issued_request& request, const wire::answer_part& part);
  void complete_request(time_point now, issued_map::iterator it, caller_effects& out);
  void end_issue(time_point now, issued_map::iterator it, wire::outcome_kind kind,
                 wire::outcome_reason reason, caller_effects& out);
  void fail(const operation& work, wire::outcome_kind kind, wire::outcome_reason reason,
            caller_effects& out);
  void end_call(call_id id, wire::outcome_kind kind, wire::outcome_reason reason,
                std::string answer, caller_effects& out);

  void on_range_answer(time_point now, const operation& work, const answer_assembler& assembler,
                       caller_effects& out);
  void restart_download(time_point now, download_map::iterator it, caller_effects& out);
  void plan_ranges(time_point now, call_id id, download_state& download);

  void end_expired_calls(time_point now, caller_effects& out);
  void resend_due(time_point now, caller_effects& out);
  void issue_waiting(time_point now, caller_effects& out);
  void issue(time_point now, operation work, caller_effects& out);
  void open_flow(time_point now, caller_effects& out);
  void send_open(time_point now, caller_effects& out);
  void send_request(time_point now, const request_key& key, issued_request& request,
                    caller_effects& out);
  void acknowledge(const request_key& key, const std::string& token, caller_effects& out);

  bool is_flow_usable(time_point now) const;
  void abandon_flow(flow_id id);
  bool is_obsolete(const operation& work) const;
  bool waits_for_lost_host(time_point now, issued_request& request) const;
  bool may_reissue(const operation& work, wire::outcome_kind kind,
                   wire::outcome_reason reason) const;
  milliseconds with_jitter(milliseconds delay);
  milliseconds next_backoff(milliseconds backoff) const;
  static void record_contact(issued_request& request);

  caller_settings settings_;
  random_engine engine_;
  std::optional<flow_state> flow_;
  std::optional<opening_state> opening_;
  std::deque<operation> waiting_;
  issued_map issued_;
  std::unordered_map<call_id, time_point> calls_;
  download_map downloads_;
  // Tokens of the most recently acknowledged answers. They are needed to repeat an
  // acknowledgement that was lost.
  std::map<request_key, std::string> acknowledged_;
  std::deque<request_key> acknowledged_order_;
  caller_counters counters_;
};

} // namespace zinnia
