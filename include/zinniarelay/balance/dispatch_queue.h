#pragma once

#include "zinniarelay/balance/slot_exchange.h"
#include "zinniarelay/balance/work.h"
#include "zinniarelay/membership/host_load.h"
#include "zinniarelay/upstream/upstream_pool.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace zinnia {

struct dispatch_settings {
  /// Maximum queue length of a service in requests per usable slot, but at least min_queue.
  std::uint32_t queue_per_slot = 12;
  std::uint32_t min_queue = 24;
  /// A request is refused when less than this many mean service times would remain before its
  /// deadline after the expected wait.
  double service_margin = 5;
  /// How long a request waits while no upstream accepts work.
  milliseconds no_upstream_grace{300};
  /// A waiting request is refused when less than this many mean service times remain before its
  /// deadline. Most calls that start so late would be cancelled after occupying a slot that other
  /// requests need.
  double min_remaining = 4;
  /// A request tries to borrow a slot from another host after waiting this many mean service
  /// times. Most requests get a local slot earlier, and each loan costs four messages.
  double borrow_after = 0.15;
  slot_exchange_settings exchange;
};

/// Bounded, deadline-aware queues, one per service, which bind requests to upstream slots
/// at dispatch (docs/design.md R4, R23, R24). Every function returns the effects that its owner
/// has to execute.
class dispatch_queue {
public:
  /// The pool must outlive the queue. Without a lender selector no slot is borrowed. The seed
  /// must differ between incarnations of a host.
  dispatch_queue(dispatch_settings settings, upstream_pool& pool, std::uint64_t seed,
                 slot_exchange::lender_selector select_lender = {});

  /// Queues a request and starts it when a slot is free. Refuses the request when its key is
  /// queued or running, when its deadline has passed or cannot be met, when the queue is full, and
  /// when the service has had no upstream for no_upstream_grace.
  dispatch_effects enqueue(time_point now, const work& request);

  /// Frees the slot of a started request that has ended, and starts waiting requests. Unknown keys
  /// are ignored.
  dispatch_effects finish(time_point now, const work_key& key, call_result result);

  /// Removes a queued request and returns whether it was queued. A running request is not affected.
  bool cancel(const work_key& key);

  /// Starts requests for which slots became free and refuses expired requests. Must be called at
  /// least every 50 ms and after an upstream announcement.
  dispatch_effects tick(time_point now);

  /// Handles a slot_ask, slot_given or slot_returned body from another host.
  dispatch_effects on_peer_message(time_point now, const wire::peer_packet& packet);

  /// Revokes the slots lent to a host that is dead, has left or has restarted, and starts requests
  /// on the freed slots.
  dispatch_effects on_host_gone(time_point now, host_id host);

  std::size_t queued(service_id service) const;
  std::size_t running() const { return running_.size(); }

  /// Returns the entries for host_load: usable slots, slots in use and queued requests of each
  /// service.
  std::vector<service_load> loads(time_point now) const;

private:
  struct queued_work {
    work request;
    time_point queued_at;
  };
  struct service_queue {
    std::deque<queued_work> waiting;
    time_point last_slot_available; ///< last time when a usable slot or a loan was available
  };
  struct running_work {
    upstream_slot slot;
    time_point started_at;
    std::optional<slot_exchange::borrowed> loan;
  };

  std::optional<reject_reason> refusal(time_point now, const work& request,
                                       const service_queue& queue) const;
  void remove_unmeetable(time_point now, service_id service, service_queue& queue,
                         dispatch_effects& out);
  void dispatch(time_point now, service_id service, dispatch_effects& out);
  void start(time_point now, const upstream_slot& slot,
             const std::optional<slot_exchange::borrowed>& loan, service_queue& queue,
             dispatch_effects& out);
  void dispatch_all(time_point now, dispatch_effects& out);
  service_queue& queue_of(time_point now, service_id service);

  dispatch_settings settings_;
  upstream_pool& pool_;
  slot_exchange exchange_;
  std::map<service_id, service_queue> queues_;
  std::unordered_map<work_key, running_work> running_;
  std::unordered_map<work_key, service_id> waiting_index_;
};

} // namespace zinnia
