#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/upstream_report.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinnia {

/// What is known of all upstreams. Merging is commutative and idempotent, so that
/// control hosts and entry hosts may exchange reports in any order: of one
/// incarnation the highest sequence counts, `draining` and `gone` never revert,
/// and a later start of the same id ends the earlier one.
class upstream_directory {
public:
  /// An incarnation that has left or was silent for this long is forgotten. Flows
  /// that it holds have ended by then.
  static constexpr milliseconds default_retention{90'000};

  struct entry {
    upstream_report report;
    std::uint32_t route_tag = 0;
    time_point heard;                   ///< when its latest report arrived here
    time_point warm_at;                 ///< when its warm-up ends
    time_point left;                    ///< when its state last changed
    std::uint64_t content_position = 0; ///< of the last change of its content
    std::uint64_t refresh_position = 0; ///< of the last report
    bool is_own = false;                ///< received from the upstream, not from another host
  };

  enum class merge_result { ignored, refreshed, changed };
  enum class origin { upstream, host };

  explicit upstream_directory(milliseconds retention = default_retention) : retention_(retention) {}

  merge_result merge(time_point now, const upstream_report& report, origin from);
  merge_result merge(time_point now, std::uint64_t incarnation, std::uint64_t sequence);
  /// Merges the news of another host; true when some content changed.
  bool merge(time_point now, const wire::upstream_news& news);

  /// The current incarnation of an id, gone or not.
  const entry* find_id(const std::string& id) const;
  const entry* find(std::uint64_t incarnation) const;
  const entry* find_tag(std::uint32_t route_tag) const;

  /// Grows with each merge that was not ignored.
  std::uint64_t position() const { return position_; }
  /// The position of the last change of content, which is urgent news.
  std::uint64_t content_position() const { return content_position_; }
  /// What a host at a position lacks.
  wire::upstream_news news_since(std::uint64_t position) const;
  /// What another control host lacks: changes of content wherever they were learnt, so
  /// that they spread though their first receiver dies, and refreshes by upstreams
  /// that report to this host.
  wire::upstream_news own_news_since(std::uint64_t position) const;

  void forget_old(time_point now);

  std::size_t size() const { return entries_.size(); }
  void for_each(const std::function<void(const entry&)>& visit) const;

private:
  merge_result add(time_point now, const upstream_report& report, origin from);
  void supersede(time_point now, entry& made, const std::uint64_t* holder);
  void end(time_point now, entry& it);
  void index(const entry& it);
  void erase(std::uint64_t incarnation);
  wire::upstream_news news(std::uint64_t position, bool is_own_only) const;

  milliseconds retention_;
  std::uint64_t position_ = 0;
  std::uint64_t content_position_ = 0;
  std::map<std::uint64_t, entry> entries_; ///< by incarnation
  std::unordered_map<std::string, std::uint64_t> by_id_;
  /// The incarnation that started last at an address.
  std::unordered_map<endpoint, std::uint64_t> by_address_;
  /// The lowest incarnation of a tag wins, on all hosts alike.
  std::unordered_map<std::uint32_t, std::uint64_t> by_tag_;
};

} // namespace zinnia
