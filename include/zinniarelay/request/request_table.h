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
  queued,     ///< in the dispatch queue; no attempt is running
  dispatched, ///< the start was granted; the request may have run
  cancelling, ///< dispatched, and a cancellation was requested
  answered,   ///< the answer is stored until it is acknowledged
};

/// Record of a request whose payload or answer is still needed.
struct live_record {
  flow_token token;
  reply_route route;
  time_point deadline;
  wire::method_kind kind = wire::method_kind_unset;
  live_state state = live_state::queued;
  bool is_takeover = false;        ///< the token names another executing incarnation
  bool may_have_run = false;       ///< an earlier attempt may have run
  std::uint32_t attempt = 0;       ///< number of the current attempt
  std::uint32_t expiry_epoch = 0;  ///< only for an answered record
  std::uint64_t charged_bytes = 0; ///< counted against table_limits::live_bytes
  std::string method;
  std::string payload;
  std::string answer;
  std::string digest; ///< digest of the answer
  wire::content_range range;
  wire::content_info content;
};

enum class settled_state : std::uint8_t { acknowledged, not_run, unknown };

/// Record of a request that has ended; its payload and answer have been freed.
struct settled_record {
  std::uint32_t expiry_epoch = 0; ///< the record is removed when this epoch begins
  settled_state state = settled_state::unknown;
  std::uint8_t reason = 0;   ///< wire::outcome_reason
  bool is_tombstone = false; ///< counted as a tombstone instead of as a record

  wire::outcome_reason outcome_reason() const { return static_cast<wire::outcome_reason>(reason); }

  friend auto operator<=>(const settled_record&, const settled_record&) = default;
};

/// Stores the request records of one incarnation, limited in number and bytes. No
/// record is evicted before its expiry (docs/design.md R8, R9).
class request_table {
public:
  /// Creates a table. Fails with error_kind::malformed if a limit is 0.
  static result<request_table> create(const table_limits& limits);

  /// Return the record of a request, or null when the table has none of that type.
  live_record* find_live(const request_key& key);
  const settled_record* find_settled(const request_key& key) const;

  /// Adds a live record and reserves `bytes` for its payload and answer. Returns null
  /// when a limit would be exceeded. The table must not contain the key.
  live_record* admit(const request_key& key, std::uint64_t bytes);

  /// Records that a request is never dispatched. Returns false when the table has no
  /// room for another tombstone. The table must not contain the key.
  [[nodiscard]] bool add_tombstone(const request_key& key, wire::outcome_reason reason,
                                   std::uint32_t expiry_epoch);

  /// Replaces the number of bytes reserved for a record. `bytes` must not exceed the
  /// number that the record was admitted with.
  void set_charged_bytes(live_record& record, std::uint64_t bytes);

  /// Replaces a live record with a settled record of its final state.
  void settle(const request_key& key, settled_state state, wire::outcome_reason reason,
              std::uint32_t expiry_epoch);

  /// Removes a live record and keeps no settled record. Allowed only for idempotent
  /// requests, because a later packet of the request runs it again.
  void remove(const request_key& key);

  /// Removes the settled records of the next shard whose expiry epoch has begun.
  /// Expired answered records are removed once per cycle, together with the first shard.
  /// shard_count calls process the whole table.
  void expire_next_shard(std::uint32_t epoch);

  /// Returns at most `max_keys` requests with a stored answer, in the order of their keys.
  std::vector<request_key> answered_keys(std::size_t max_keys) const;

  /// Number of shards of the settled records. Each shard is rehashed and expired
  /// separately, because doing either for a million records in one step blocks the host
  /// for too long.
  static constexpr std::size_t shard_count = 16;

  std::size_t records() const { return live_.size() + settled_count_ - tombstones_; }
  std::size_t tombstones() const { return tombstones_; }
  std::uint64_t live_bytes() const { return live_bytes_; }
  std::size_t pending() const { return live_.size() - answered_; }
  std::size_t answered() const { return answered_; }

  /// Changes the state of a record to answered.
  void mark_answered(live_record& record);

private:
  explicit request_table(const table_limits& limits) : limits_(limits) {}

  using live_map =
      absl::flat_hash_map<request_key, std::unique_ptr<live_record>, std::hash<request_key>>;
  void erase_live(live_map::iterator it);

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
