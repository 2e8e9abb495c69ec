#pragma once

#include "caller.pb.h"
#include "declaration.pb.h"
#include "zinniarelay/core/result.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/request/request_effects.h"
#include "zinniarelay/request/request_key.h"
#include "zinniarelay/request/request_settings.h"
#include "zinniarelay/token/flow_token.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace zinnia {

enum class live_state : std::uint8_t {
  queued,     ///< in the dispatch queue, not started
  dispatched, ///< the start was granted; it may have run from here on
  cancelling, ///< dispatched, and a cancellation was asked for
  answered,   ///< the answer is stored until it is acknowledged
};

/// A request whose payload or answer is still needed.
struct live_record {
  flow_token token;
  reply_route route;
  time_point deadline;
  wire::method_kind kind = wire::method_kind_unset;
  live_state state = live_state::queued;
  bool is_takeover = false;       ///< the token names another executing incarnation
  bool may_have_run = false;      ///< an earlier attempt may have run
  std::uint32_t attempt = 0;      ///< the current attempt
  std::uint32_t expiry_epoch = 0; ///< of an answered record
  std::uint64_t charged_bytes = 0;
  std::string method;
  std::string payload;
  std::string answer;
  std::string digest; ///< of the answer
  wire::content_range range;
  wire::content_info content;
};

enum class settled_state : std::uint8_t { acknowledged, not_run, unknown };

/// What remains of a request that needs neither payload nor answer.
struct settled_record {
  std::uint32_t expiry_epoch = 0; ///< removed when this epoch begins
  settled_state state = settled_state::unknown;
  std::uint8_t reason = 0;   ///< wire::outcome_reason
  bool is_tombstone = false; ///< counted as a tombstone and not as a record

  wire::outcome_reason outcome_reason() const { return static_cast<wire::outcome_reason>(reason); }

  friend auto operator<=>(const settled_record&, const settled_record&) = default;
};

/// Records of the requests of one incarnation, bounded in number and bytes. No
/// record is evicted before its expiry (docs/design.md R8, R9).
class request_table {
public:
  /// Fails with error_kind::malformed for a limit of 0.
  static result<request_table> create(const table_limits& limits);

  live_record* find_live(const request_key& key);
  const settled_record* find_settled(const request_key& key) const;

  /// Adds a record for a request of which at most `bytes` will be kept; null
  /// when a bound would be exceeded. The key must be new.
  live_record* admit(const request_key& key, std::uint64_t bytes);

  /// Records that a request is never dispatched; false when tombstones are full.
  [[nodiscard]] bool add_tombstone(const request_key& key, wire::outcome_reason reason,
                                   std::uint32_t expiry_epoch);

  /// Charges a record for the bytes it holds now, at most those it was admitted with.
  void recharge(live_record& record, std::uint64_t bytes);

  /// Replaces a live record by its identity and end.
  void settle(const request_key& key, settled_state state, wire::outcome_reason reason,
              std::uint32_t expiry_epoch);

  /// Removes a live record without a trace; only for idempotent requests.
  void forget(const request_key& key);

  /// Removes settled and answered records whose expiry epoch has begun from the
  /// next shard; shard_count calls visit them all.
  void expire_some(std::uint32_t epoch);

  /// At most `most` requests with a stored answer, in the order of their keys.
  std::vector<request_key> some_answered(std::size_t most) const;

  /// Parts of the table that grow and expire on their own, so that neither
  /// stops the host for the time that a million records take.
  static constexpr std::size_t shard_count = 16;

  std::size_t records() const { return live_.size() + settled_count_ - tombstones_; }
  std::size_t tombstones() const { return tombstones_; }
  std::uint64_t live_bytes() const { return live_bytes_; }
  std::size_t pending() const { return live_.size() - answered_; }
  std::size_t answered() const { return answered_; }

  /// Marks a record as holding a stored answer.
  void mark_answered(live_record& record);

private:
  explicit request_table(const table_limits& limits) : limits_(limits) {}

  using live_map =
      absl::flat_hash_map<request_key, std::unique_ptr<live_record>, std::hash<request_key>>;
  void drop_live(live_map::iterator it);

  using settled_map = absl::flat_hash_map<request_key, settled_record, std::hash<request_key>>;
  static std::size_t shard_of(const request_key& key);
  void expire_live(std::uint32_t epoch);

  table_limits limits_;
  live_map live_;
  std::array<settled_map, shard_count> settled_;
  std::size_t settled_count_ = 0;
  std::size_t next_shard_ = 0;
  std::size_t tombstones_ = 0;
  std::size_t answered_ = 0;
  std::uint64_t live_bytes_ = 0;
};

} // namespace zinnia
