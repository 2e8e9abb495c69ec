#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <vector>

namespace zinnia {

/// The requests of entry hosts that wait for updates, and when each gets its reply. Answers the
/// load pattern in which many upstreams change within a second while many entry hosts wait: a reply
/// to each host after each change would need as many replies as the product of both. Replies with
/// urgent updates are therefore limited in rate, and each contains all changes up to then.
class update_queue {
public:
  using is_urgent = std::function<bool(const wire::news_request&)>;

  /// Adds a request and returns its ticket.
  std::uint64_t add(time_point now, wire::news_request request);
  /// Removes a request. Returns false when it was taken before.
  bool remove(std::uint64_t ticket);
  /// Takes the requests that get a reply now: those whose wait has passed, and, in the order of
  /// arrival, as many of the urgent ones as the rate permits.
  std::vector<std::uint64_t> take_due(time_point now, const is_urgent& urgent);
  /// Takes all requests.
  std::vector<std::uint64_t> take_all();
  std::size_t size() const { return waiting_.size(); }

private:
  struct entry {
    std::uint64_t ticket = 0;
    wire::news_request request;
    time_point deadline;
  };

  void refill(time_point now);

  std::list<entry> waiting_;
  std::uint64_t last_ticket_ = 0;
  double permitted_ = 0; ///< replies with urgent updates that may be sent now
  time_point refilled_;
};

} // namespace zinnia
