#pragma once

#include "zinniarelay/balance/work.h"
#include "zinniarelay/upstream/upstream_pool.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>

namespace zinnia {

struct slot_exchange_settings {
  /// A slot request or a release is repeated after this time. The lender keeps a request waiting
  /// for the same time.
  milliseconds reply_timeout{50};
  unsigned request_attempts = 2;
  /// Interval at which a borrower renews a grant in use.
  milliseconds renew_period{100};
  /// The lender revokes a grant that was not renewed for this long, because the grant or its
  /// release was lost or the borrower has stopped. A shorter lease lowers the cost of a lost
  /// message. Three renewals may be lost before a slot in use is counted as free.
  milliseconds grant_lease{400};
  /// Maximum number of times a release is sent until the lender confirms it. A lost release
  /// would keep the slot idle for the whole grant lease.
  unsigned release_attempts = 10;
  /// A request of another host is served before the local queue only when it is older by this
  /// much. A loan over a long delay wastes capacity, and a host with a queue has none to spare.
  milliseconds age_margin{100};
  unsigned max_requests_in_flight = 2;   ///< per service, each to a different host
  std::size_t max_waiting_requests = 64; ///< requests of other hosts that wait for a slot
};

/// Borrows and lends slots between hosts (docs/design.md R24). A lost message delays the return
/// of a slot by at most the grant lease. A slot that is counted twice during this time affects
/// only the balance, because the upstream refuses calls that exceed its slots.
class slot_exchange {
public:
  /// Selects the host to request a slot of a service from, except hosts already requested.
  using lender_selector = std::function<std::optional<host_id>(time_point, service_id,
                                                               std::span<const host_id> requested)>;

  /// A slot that another host granted.
  struct borrowed {
    host_id lender;
    std::uint64_t grant = 0;
    upstream_slot slot;
    time_point next_renewal;
  };

  /// The seed makes the grant numbers of two incarnations of a host differ.
  slot_exchange(slot_exchange_settings settings, upstream_pool& pool, lender_selector select_lender,
                std::uint64_t seed);

  /// Requests slots for queued requests, given by the times since when they have been queued,
  /// oldest first. Slot requests already in flight are counted.
  void request_slots(time_point now, service_id service, std::span<const time_point> queued,
                     dispatch_effects& out);

  /// Handles a slot message. Returns the slot when the message is a grant to this host. The owner
  /// has to call serve afterwards when its own queue is empty.
  std::optional<borrowed> on_message(time_point now, const wire::peer_packet& packet,
                                     dispatch_effects& out);

  /// Returns a borrowed slot to its lender.
  void release(time_point now, const borrowed& loan, call_result result, microseconds use_time,
               dispatch_effects& out);

  /// Grants free slots to requests of other hosts that have waited longer than the oldest request
  /// of the local queue, given as the time when it was queued. With an empty local queue, all
  /// requests are eligible.
  void serve(time_point now, service_id service, std::optional<time_point> local_oldest,
             dispatch_effects& out);

  /// Renews grants in use, repeats requests and releases, and revokes grants that were not renewed.
  void tick(time_point now, dispatch_effects& out);

  /// Revokes all grants of a dead or restarted host and removes its requests, the requests to it
  /// and the releases to it.
  void on_host_gone(time_point now, host_id host);

  std::size_t lent() const { return lent_.size(); }
  std::size_t in_flight(service_id service) const;

private:
  struct request {
    service_id service;
    host_id lender;
    time_point queued_at;
    time_point first_sent;
    time_point last_sent;
    unsigned times_sent = 1;
  };
  struct lent_slot {
    host_id borrower;
    incarnation_id borrower_incarnation;
    std::uint64_t sequence = 0;
    upstream_slot slot;
    milliseconds validity{0};
    time_point renewed_at;
  };
  struct unconfirmed_release {
    wire::peer_packet packet;
    time_point last_sent;
    unsigned times_sent = 1;
  };
  struct waiting_request {
    host_id borrower;
    incarnation_id borrower_incarnation;
    std::uint64_t sequence = 0;
    service_id service;
    time_point queued_at; ///< at the borrower, on the clock of this host
    time_point expires_at;
  };

  void on_request(time_point now, const wire::peer_packet& packet, dispatch_effects& out);
  void on_renewal(time_point now, const wire::peer_packet& packet);
  std::optional<borrowed> on_grant(time_point now, const wire::peer_packet& packet,
                                   dispatch_effects& out);
  void on_release(time_point now, const wire::peer_packet& packet, dispatch_effects& out);
  void send_request(time_point now, std::uint64_t sequence, const request& request,
                    dispatch_effects& out) const;
  void send_grant(std::uint64_t grant, const lent_slot& loan, dispatch_effects& out) const;
  void send_release(time_point now, host_id lender, std::uint64_t grant, call_result result,
                    microseconds use_time, dispatch_effects& out);
  void repeat_requests(time_point now, dispatch_effects& out);
  void repeat_releases(time_point now, dispatch_effects& out);
  void renew_grants(time_point now, dispatch_effects& out);

  slot_exchange_settings settings_;
  upstream_pool& pool_;
  lender_selector select_lender_;
  std::map<std::uint64_t, request> requests_; ///< by sequence
  std::map<std::pair<host_id, std::uint64_t>, borrowed> borrowed_;
  std::map<std::pair<host_id, std::uint64_t>, unconfirmed_release> releases_;
  std::map<std::uint64_t, lent_slot> lent_; ///< by grant
  std::deque<waiting_request> waiting_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_grant_;
};

} // namespace zinnia
