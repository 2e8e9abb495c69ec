#include "zinniarelay/balance/slot_exchange.h"

#include <algorithm>

namespace zinnia {
namespace {

host_id sender(const wire::peer_packet& packet) {
  return host_id{packet.from_host()};
}

incarnation_id sender_incarnation(const wire::peer_packet& packet) {
  return incarnation_id{packet.from_incarnation()};
}

} // namespace

slot_exchange::slot_exchange(slot_exchange_settings settings, upstream_pool& pool,
                             lender_selector select_lender, std::uint64_t seed)
    : settings_(settings), pool_(pool), select_lender_(std::move(select_lender)),
      next_sequence_(seed | 1U), next_grant_(seed | 1U) {}

std::size_t slot_exchange::in_flight(service_id service) const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [&](const auto& it) { return it.second.service == service; }));
}

void slot_exchange::request_slots(time_point now, service_id service,
                                  std::span<const time_point> queued, dispatch_effects& out) {
  if (!select_lender_) return;
  std::vector<host_id> requested;
  for (const auto& [sequence, it] : requests_)
    if (it.service == service) requested.push_back(it.lender);
  const auto limit = std::min<std::size_t>(queued.size(), settings_.max_requests_in_flight);
  while (requested.size() < limit) {
    const auto lender = select_lender_(now, service, requested);
    if (!lender) return;
    const request slot_request{service, *lender, queued[requested.size()], now, now, 1};
    send_request(now, next_sequence_, slot_request, out);
    requests_.emplace(next_sequence_++, slot_request);
    requested.push_back(*lender);
  }
}

std::optional<slot_exchange::borrowed>
slot_exchange::on_message(time_point now, const wire::peer_packet& packet, dispatch_effects& out) {
  switch (packet.body_case()) {
  case wire::peer_packet::kSlotAsk:
    if (packet.slot_ask().grant() != 0)
      on_renewal(now, packet);
    else
      on_request(now, packet, out);
    return std::nullopt;
  case wire::peer_packet::kSlotGiven:
    return on_grant(now, packet, out);
  case wire::peer_packet::kSlotReturned:
    on_release(now, packet, out);
    return std::nullopt;
  default:
    return std::nullopt;
  }
}

void slot_exchange::on_request(time_point now, const wire::peer_packet& packet,
                               dispatch_effects& out) {
  const auto& ask = packet.slot_ask();
  for (const auto& [grant, it] : lent_) {
    if (it.borrower != sender(packet) || it.sequence != ask.sequence() ||
        it.borrower_incarnation != sender_incarnation(packet))
      continue;
    // The borrower repeats its request, so the grant was lost.
    send_grant(grant, it, out);
    return;
  }
  const auto expires_at = now + settings_.reply_timeout;
  const auto queued_at = now - milliseconds(ask.waited_ms());
  for (auto& it : waiting_) {
    if (it.borrower != sender(packet) || it.sequence != ask.sequence()) continue;
    it.expires_at = expires_at;
    return;
  }
  if (waiting_.size() >= settings_.max_waiting_requests) return;
  waiting_.push_back({sender(packet), sender_incarnation(packet), ask.sequence(),
                      service_id{ask.service_id()}, queued_at, expires_at});
}

void slot_exchange::on_renewal(time_point now, const wire::peer_packet& packet) {
  const auto lent = lent_.find(packet.slot_ask().grant());
  if (lent != lent_.end() && lent->second.borrower == sender(packet)) lent->second.renewed_at = now;
}

// Serves the oldest request first, whichever host has queued it, as in one queue for all hosts.
void slot_exchange::serve(time_point now, service_id service,
                          std::optional<time_point> local_oldest, dispatch_effects& out) {
  std::erase_if(waiting_, [&](const auto& it) { return now >= it.expires_at; });
  while (true) {
    auto oldest = waiting_.end();
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
      if (it->service == service && (oldest == waiting_.end() || it->queued_at < oldest->queued_at))
        oldest = it;
    if (oldest == waiting_.end()) return;
    if (local_oldest && oldest->queued_at + settings_.age_margin >= *local_oldest) return;
    const auto slot = pool_.acquire(now, service);
    if (!slot) return;
    const auto validity = std::chrono::duration_cast<milliseconds>(slot->valid_until - now);
    const lent_slot loan{
        oldest->borrower, oldest->borrower_incarnation, oldest->sequence, *slot, validity, now};
    send_grant(next_grant_, loan, out);
    lent_.emplace(next_grant_++, loan);
    waiting_.erase(oldest);
  }
}

std::optional<slot_exchange::borrowed>
slot_exchange::on_grant(time_point now, const wire::peer_packet& packet, dispatch_effects& out) {
  const auto& given = packet.slot_given();
  const auto lender = sender(packet);
  if (!given.granted()) {
    releases_.erase({lender, given.grant()});
    return std::nullopt;
  }
  if (borrowed_.count({lender, given.grant()}) > 0) return std::nullopt;
  const auto request = requests_.find(given.sequence());
  const auto address = endpoint::parse(given.upstream_address());
  if (request == requests_.end() || request->second.lender != lender || !address) {
    // This host no longer waits for the request, so the slot is released immediately.
    send_release(now, lender, given.grant(), call_result::unused, microseconds{0}, out);
    return std::nullopt;
  }
  // The lender granted the slot after the request was sent. Counting the validity from the
  // sending time therefore ends it early, and no clocks of two hosts are compared.
  const auto valid_until = request->second.first_sent + milliseconds(given.valid_ms());
  const borrowed loan{lender, given.grant(),
                      upstream_slot{request->second.service,
                                    incarnation_id{given.upstream_incarnation()}, address.value(),
                                    0, valid_until},
                      now + settings_.renew_period};
  requests_.erase(request);
  if (now >= valid_until) {
    send_release(now, lender, given.grant(), call_result::unused, microseconds{0}, out);
    return std::nullopt;
  }
  borrowed_.emplace(std::pair{lender, given.grant()}, loan);
  return loan;
}

void slot_exchange::on_release(time_point now, const wire::peer_packet& packet,
                               dispatch_effects& out) {
  const auto& returned = packet.slot_returned();
  wire::peer_packet confirmation;
  confirmation.mutable_slot_given()->set_grant(returned.grant());
  out.push_back(send_slot_message{sender(packet), std::move(confirmation)});
  const auto lent = lent_.find(returned.grant());
  if (lent == lent_.end() || lent->second.borrower != sender(packet)) return;
  const auto result = returned.failed()           ? call_result::failed
                      : returned.service_ms() > 0 ? call_result::completed
                                                  : call_result::unused;
  pool_.release(now, lent->second.slot, result, milliseconds(returned.service_ms()));
  lent_.erase(lent);
}

void slot_exchange::release(time_point now, const borrowed& loan, call_result result,
                            microseconds use_time, dispatch_effects& out) {
  borrowed_.erase({loan.lender, loan.grant});
  send_release(now, loan.lender, loan.grant, result, use_time, out);
}

void slot_exchange::tick(time_point now, dispatch_effects& out) {
  repeat_requests(now, out);
  repeat_releases(now, out);
  renew_grants(now, out);
  std::erase_if(lent_, [&](const auto& it) {
    if (now - it.second.renewed_at < settings_.grant_lease) return false;
    pool_.release(now, it.second.slot, call_result::abandoned, microseconds{0});
    return true;
  });
  std::erase_if(waiting_, [&](const auto& it) { return now >= it.expires_at; });
}

void slot_exchange::repeat_requests(time_point now, dispatch_effects& out) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    auto& request = it->second;
    if (now - request.last_sent < settings_.reply_timeout) {
      ++it;
    } else if (request.times_sent >= settings_.request_attempts) {
      it = requests_.erase(it);
    } else {
      ++request.times_sent;
      request.last_sent = now;
      send_request(now, it->first, request, out);
      ++it;
    }
  }
}

void slot_exchange::repeat_releases(time_point now, dispatch_effects& out) {
  for (auto it = releases_.begin(); it != releases_.end();) {
    auto& release = it->second;
    if (now - release.last_sent < settings_.reply_timeout) {
      ++it;
    } else if (release.times_sent >= settings_.release_attempts) {
      it = releases_.erase(it);
    } else {
      ++release.times_sent;
      release.last_sent = now;
      out.push_back(send_slot_message{it->first.first, release.packet});
      ++it;
    }
  }
}

void slot_exchange::renew_grants(time_point now, dispatch_effects& out) {
  for (auto& [key, it] : borrowed_) {
    if (now < it.next_renewal) continue;
    it.next_renewal = now + settings_.renew_period;
    wire::peer_packet packet;
    packet.mutable_slot_ask()->set_service_id(it.slot.service.value);
    packet.mutable_slot_ask()->set_grant(it.grant);
    out.push_back(send_slot_message{it.lender, std::move(packet)});
  }
}

void slot_exchange::on_host_gone(time_point now, host_id host) {
  std::erase_if(lent_, [&](const auto& it) {
    if (it.second.borrower != host) return false;
    pool_.release(now, it.second.slot, call_result::abandoned, microseconds{0});
    return true;
  });
  std::erase_if(waiting_, [&](const auto& it) { return it.borrower == host; });
  std::erase_if(requests_, [&](const auto& it) { return it.second.lender == host; });
  std::erase_if(releases_, [&](const auto& it) { return it.first.first == host; });
}

void slot_exchange::send_request(time_point now, std::uint64_t sequence, const request& request,
                                 dispatch_effects& out) const {
  wire::peer_packet packet;
  packet.mutable_slot_ask()->set_service_id(request.service.value);
  packet.mutable_slot_ask()->set_sequence(sequence);
  packet.mutable_slot_ask()->set_waited_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(now - request.queued_at).count()));
  out.push_back(send_slot_message{request.lender, std::move(packet)});
}

void slot_exchange::send_grant(std::uint64_t grant, const lent_slot& loan,
                               dispatch_effects& out) const {
  wire::peer_packet packet;
  auto& body = *packet.mutable_slot_given();
  body.set_sequence(loan.sequence);
  body.set_service_id(loan.slot.service.value);
  body.set_granted(true);
  body.set_upstream_incarnation(loan.slot.incarnation.value);
  body.set_upstream_address(loan.slot.address.to_string());
  body.set_grant(grant);
  body.set_valid_ms(static_cast<std::uint32_t>(loan.validity.count()));
  out.push_back(send_slot_message{loan.borrower, std::move(packet)});
}

void slot_exchange::send_release(time_point now, host_id lender, std::uint64_t grant,
                                 call_result result, microseconds use_time, dispatch_effects& out) {
  wire::peer_packet packet;
  auto& body = *packet.mutable_slot_returned();
  body.set_grant(grant);
  body.set_failed(result == call_result::failed);
  // The lender reads a time of 0 as an unused slot.
  if (result == call_result::completed)
    body.set_service_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, std::chrono::round<milliseconds>(use_time).count())));
  releases_[{lender, grant}] = {packet, now, 1};
  out.push_back(send_slot_message{lender, std::move(packet)});
}

} // namespace zinnia
