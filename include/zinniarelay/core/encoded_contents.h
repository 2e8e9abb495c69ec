#pragma once

#include "control.pb.h"
#include "zinniarelay/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace zinnia {

/// What a receiver of parts has: the version in force, and the beginning of a content.
struct content_progress {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::size_t bytes = 0;

  /// Returns the progress of a receiver that has sent a request; `Request` has the fields of its
  /// part.
  template <class Request>
  static content_progress of(std::uint64_t version, const Request& request) {
    return {version, request.part_digest(), request.part_offset()};
  }

  friend bool operator==(const content_progress&, const content_progress&) = default;
};

/// Contents that a control host sends in parts of bounded size (docs/design.md R42). A content is
/// encoded once for all receivers. All control hosts encode it alike, so that a receiver that
/// selects another control host continues with its next part.
class encoded_contents {
public:
  /// Returns the content before its compression.
  using encode = std::function<std::string()>;

  /// Returns the next part of the content that a receiver has begun; none when it has not begun one
  /// or the content is not kept any more.
  std::optional<wire::content_part> continued(const content_progress& receiver,
                                              std::size_t max_bytes) const;
  /// Returns the next part of the content that leads from a version of the receiver, or from any
  /// when `base` is 0, to the newest version.
  wire::content_part part_of(time_point now, std::uint64_t base, std::uint64_t newest,
                             const content_progress& receiver, std::size_t max_bytes,
                             const encode& encoded);

private:
  struct content {
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::string bytes;
    std::optional<time_point> superseded; ///< when a newer version was first sent

    wire::content_part part(std::size_t offset, std::size_t max_bytes) const;
  };

  const content& find_or_add(std::uint64_t base, std::uint64_t version, const encode& encoded);
  void remove_superseded(time_point now, std::uint64_t newest);

  std::deque<content> contents_; ///< oldest first
};

} // namespace zinnia
