#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_report.h"
#include "zinniarelay/flow/warmup_limit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

/// The latest reports of all upstreams. Merging is commutative and idempotent, so control
/// hosts and entry hosts may exchange reports in any order. Of one incarnation the report with
/// the highest sequence counts, `draining` and `gone` never revert, and a later start of the
/// same id marks the earlier incarnation as gone.
class upstream_directory {
public:
  /// An incarnation is removed when it has not reported for this long and its state has not
  /// changed either. Its flows have ended by then.
  static constexpr milliseconds default_retention{90'000};

  struct entry {
    upstream_report report;
    std::uint64_t incarnation = 0; ///< of the report, which computes it from its text
    std::uint32_t route_tag = 0;
    time_point last_report; ///< when its latest report arrived here
    time_point warmup_end;  ///< when its warm-up ends
    time_point last_state_change;
    bool has_warmup = false; ///< its warm-up has been stated or is known from its age
    time_point first_report; ///< when its first report arrived here
    /// Age at its first report, by the clocks of both; set when that report came from the upstream
    /// and stated no warm-up.
    std::optional<milliseconds> unstated_age;
    std::uint64_t content_position = 0; ///< position of the last change of content
    std::uint64_t refresh_position = 0; ///< position of the last report
    bool is_direct = false; ///< the last report came from the upstream, not from another host
    std::uint64_t list = 0; ///< the last list that contained it
  };

  enum class merge_result {
    ignored,   ///< neither a newer report nor a later state
    refreshed, ///< newer, but with the same content
    changed,   ///< the content of the directory changed
  };
  /// The sender of a report: the upstream itself, or another host that merged it before.
  enum class origin { upstream, host };

  explicit upstream_directory(milliseconds retention = default_retention) : retention_(retention) {}

  /// Merges a report; `age` is the time since the start of the upstream by the clocks of both,
  /// which the receiver of a report from the upstream knows.
  merge_result merge(time_point now, const upstream_report& report, origin from,
                     std::optional<milliseconds> age = std::nullopt);
  /// Merges a refresh from another host: the sequence of a later report with the same content.
  /// Ignored when the incarnation is unknown.
  merge_result merge(time_point now, std::uint64_t incarnation, std::uint64_t sequence);
  /// Merges an update from another host. Returns true when some content changed.
  bool merge(time_point now, const wire::upstream_news& update);

  /// Replaces the warm-up limits of services (docs/design.md R44).
  void set_limits(const warmup_limits& limits);
  bool has_limits() const { return !limits_.empty(); }
  /// Returns null for a service without a limit.
  const warmup_limit* limit_of(const std::string& service) const;
  /// Returns true while an upstream of a service with a limit is cold.
  bool is_cold(time_point now, const entry& upstream) const;
  /// Returns the incarnations of services with a limit that are cold, also those that other hosts
  /// may still count as cold.
  std::vector<std::uint64_t> cold_upstreams() const { return {cold_.begin(), cold_.end()}; }
  std::size_t cold_count(time_point now) const;
  /// Makes the upstreams of a zone cold from now on for the warm-up of their services.
  void count_zone_as_cold(time_point now, const std::string& zone);
  /// Follows the remaining warm-up of cold upstreams, which is what other hosts get.
  void refresh_warmups(time_point now);

  /// Begins a list of all upstreams of another host; the reports merged from now on belong to it.
  void begin_list() { ++list_; }
  /// Records which upstreams of the last list have reported to the other host. Those that are
  /// overdue by its account are by this one's too.
  void record_liveness(time_point now, const wire::upstream_liveness& liveness,
                       milliseconds overdue_after);
  /// Returns which upstreams have reported within a time; those that were removed for not reporting
  /// are overdue. The result is empty when more than `max_overdue` are overdue.
  std::optional<wire::upstream_liveness> liveness(time_point now, milliseconds overdue_after,
                                                  std::size_t max_overdue) const;

  /// Returns the current incarnation of an id, also when it is gone; null for an unknown id.
  const entry* find_id(const std::string& id) const;
  /// Return null for an unknown incarnation or tag.
  const entry* find(std::uint64_t incarnation) const;
  const entry* find_tag(std::uint32_t route_tag) const;

  /// Returns a number that grows with each merge that was not ignored.
  std::uint64_t position() const { return position_; }
  /// Returns the position of the last change of content. Such changes are sent immediately.
  std::uint64_t content_position() const { return content_position_; }
  /// Updates in the order of their positions, so that a receiver continues after the last one.
  struct page {
    wire::upstream_news updates;
    std::uint64_t position = 0; ///< up to which the receiver has all updates
    bool is_last = true;        ///< there are no further updates
  };
  /// Which refreshes a page contains.
  enum class refreshes {
    all,
    direct, ///< by upstreams that report to this host
    none,
  };

  /// Returns the changes and refreshes after a position.
  wire::upstream_news updates_since(std::uint64_t position) const;
  /// Returns what another control host lacks after a position: all changes of content, and the
  /// refreshes by upstreams that report to this host. Changes received from other hosts are
  /// included, so they are replicated even if their first receiver crashes.
  wire::upstream_news local_updates_since(std::uint64_t position) const;
  /// Returns the first updates after a position, encoded in about `max_bytes`, at least one.
  page updates_after(std::uint64_t position, std::size_t max_bytes,
                     refreshes included = refreshes::all) const;
  /// Returns the number of changes of content after a position.
  std::size_t changes_after(std::uint64_t position) const;

  /// Removes the incarnations whose retention has passed.
  void remove_expired(time_point now);

  std::size_t size() const { return entries_.size(); }
  void for_each(const std::function<void(const entry&)>& visit) const;

private:
  merge_result add(time_point now, const upstream_report& report, origin from,
                   std::optional<milliseconds> age);
  /// Returns true when a report of a known upstream extends its warm-up.
  bool extends_warmup(time_point now, const entry& known, const upstream_report& report) const;
  /// Records the warm-up that a merged report states.
  void record_warmup(time_point now, entry& reported, milliseconds stated);
  /// Returns the end of the warm-up of an upstream that does not state one.
  std::optional<time_point> unstated_warmup_end(const entry& reported) const;
  /// `existing` is the incarnation with the same id or address; null when there is none.
  void resolve_conflict(time_point now, entry& added, const std::uint64_t* existing);
  void mark_gone(time_point now, entry& ended);
  void index_tag(const entry& added);
  void erase(std::uint64_t incarnation);
  /// Assign the next position to an entry of entries_.
  void record_refresh(entry& refreshed);
  void record_change(entry& changed);

  milliseconds retention_;
  warmup_limits limits_;
  /// Cold upstreams of services with a limit, for some time beyond the end of their warm-up.
  std::set<std::uint64_t> cold_;
  std::uint64_t position_ = 0;
  std::uint64_t content_position_ = 0;
  std::uint64_t list_ = 0;
  std::map<std::uint64_t, entry> entries_; ///< by incarnation
  /// Incarnations by the position of their last change of content, and of their last report.
  std::map<std::uint64_t, std::uint64_t> by_content_position_;
  std::map<std::uint64_t, std::uint64_t> by_refresh_position_;
  std::unordered_map<std::string, std::uint64_t> by_id_;
  /// The incarnation that started last at an address.
  std::unordered_map<endpoint, std::uint64_t> by_address_;
  /// When incarnations were removed that had stopped reporting without leaving. Kept for one
  /// retention time, in which other hosts may still list them.
  std::map<std::uint64_t, time_point> forgotten_;
  /// When two incarnations have the same tag, all hosts keep the lower incarnation.
  std::unordered_map<std::uint32_t, std::uint64_t> by_tag_;
};

} // namespace zinnia
