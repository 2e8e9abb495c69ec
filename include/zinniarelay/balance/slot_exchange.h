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
  /// A request is repeated after this time, and the lender keeps it waiting this long.
  milliseconds answer_timeout{50};
  unsigned attempts = 2;
  /// A borrower renews a grant in use this often.
  milliseconds renew_period{100};
  /// The lender takes back a grant that was not renewed for this long, because the grant or
  /// its release was lost or the borrower is gone. The shorter it is, the less a lost
  /// message costs; three renewals may be lost before a slot in use is counted as free.
  milliseconds grant_lease{400};
  /// A release is repeated until the lender confirms it, at most this often. A lost one
  /// would keep the slot idle for the whole grant lease.
  unsigned release_attempts = 10;
  /// A request of another host goes first only when it is older by this much, because a
  /// loan over a long trip wastes capacity that a host with a queue does not have.
  milliseconds age_margin{100};
  unsigned requests_in_flight = 2;   ///< per service, each to another host
  std::size_t waiting_requests = 64; ///< kept for other hosts
};

/// Borrowing and lending of slots between hosts (docs/design.md R24). Losing any message
/// delays the return of a slot by at most the grant lease; a slot counted twice meanwhile
/// affects balance only, because the upstream refuses what it cannot take.
class slot_exchange {
public:
  /// Names the host to ask for a slot of a service, other than those asked already.
  using lender_choice =
      std::function<std::optional<host_id>(time_point, service_id, std::span<const host_id> asked)>;

  /// A slot that another host granted.
  struct borrowed {
    host_id lender;
    std::uint64_t grant = 0;
    upstream_slot slot;
    time_point next_renewal;
  };

  /// The seed makes the grants of two incarnations of a host differ.
  slot_exchange(slot_exchange_settings settings, upstream_pool& pool, lender_choice choose,
                std::uint64_t seed);

  /// Asks for slots for requests that have been queued since these times, oldest first,
  /// counting the requests already in flight.
  void ask(time_point now, service_id service, std::span<const time_point> queued,
           dispatch_effects& out);

  /// Handles a slot message. Returns the slot when it was a grant to this host. The owner
  /// calls serve afterwards when it has no work of its own.
  std::optional<borrowed> on_message(time_point now, const wire::peer_packet& packet,
                                     dispatch_effects& out);

  /// Returns a borrowed slot to its lender.
  void give_back(time_point now, const borrowed& it, call_result result, microseconds held,
                 dispatch_effects& out);

  /// Grants free slots to requests of other hosts that have waited longer than this host's
  /// own oldest request, given as its queueing time, or to all when it has none.
  void serve(time_point now, service_id service, std::optional<time_point> own_oldest,
             dispatch_effects& out);

  /// Renews grants in use, repeats requests and takes back grants that were not renewed.
  void tick(time_point now, dispatch_effects& out);

  /// Takes back everything that a dead or restarted host borrowed.
  void on_host_gone(time_point now, host_id host);

  std::size_t lent() const { return lent_.size(); }
  std::size_t in_flight(service_id service) const;

private:
  struct request {
    service_id service;
    host_id lender;
    time_point queued;
    time_point first_sent;
    time_point last_sent;
    unsigned sent = 1;
  };
  struct lent_slot {
    host_id borrower;
    incarnation_id borrower_incarnation;
    std::uint64_t sequence = 0;
    upstream_slot slot;
    milliseconds valid{0};
    time_point renewed;
  };
  struct unconfirmed_release {
    wire::peer_packet packet;
    time_point last_sent;
    unsigned sent = 1;
  };
  struct waiting_request {
    host_id borrower;
    incarnation_id borrower_incarnation;
    std::uint64_t sequence = 0;
    service_id service;
    time_point queued; ///< at the borrower, in the time of this host
    time_point expires;
  };

  void on_request(time_point now, const wire::peer_packet& packet, dispatch_effects& out);
  void renew(time_point now, const wire::peer_packet& packet);
  std::optional<borrowed> on_grant(time_point now, const wire::peer_packet& packet,
                                   dispatch_effects& out);
  void on_release(time_point now, const wire::peer_packet& packet, dispatch_effects& out);
  void send_request(time_point now, std::uint64_t sequence, const request& it,
                    dispatch_effects& out) const;
  void send_grant(std::uint64_t grant, const lent_slot& it, dispatch_effects& out) const;
  void send_release(time_point now, host_id lender, std::uint64_t grant, call_result result,
                    microseconds held, dispatch_effects& out);
  void repeat_requests(time_point now, dispatch_effects& out);
  void repeat_releases(time_point now, dispatch_effects& out);
  void renew_grants(time_point now, dispatch_effects& out);

  slot_exchange_settings settings_;
  upstream_pool& pool_;
  lender_choice choose_;
  std::map<std::uint64_t, request> requests_; ///< by sequence
  std::map<std::pair<host_id, std::uint64_t>, borrowed> borrowed_;
  std::map<std::pair<host_id, std::uint64_t>, unconfirmed_release> releases_;
  std::map<std::uint64_t, lent_slot> lent_; ///< by grant
  std::deque<waiting_request> waiting_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_grant_;
};

} // namespace zinnia
