#include "entry/borrowed_connections.h"

namespace zinnia {
namespace {

// The upstream pool numbers its connections from 1. The numbers of borrowed connections must not
// collide with them.
constexpr std::uint64_t first_connection_number = std::uint64_t{1} << 63U;
// A new connection may still be connecting before this time, so no call is started on it.
constexpr milliseconds connect_delay{20};
// Borrowed connections are not probed, so an idle connection may no longer work when it is used
// again.
constexpr milliseconds idle_timeout{2000};

} // namespace

std::optional<std::uint64_t> borrowed_connections::acquire(time_point now, incarnation_id upstream,
                                                           endpoint address, entry_effects& out) {
  const auto [it, is_new] = connections_.try_emplace(upstream);
  if (is_new) {
    it->second = {first_connection_number + opened_count_++, now, now};
    out.emplace_back(open_connection{it->second.number, address.to_string()});
  }
  it->second.last_used = now;
  if (now - it->second.opened_at < connect_delay) return std::nullopt;
  return it->second.number;
}

void borrowed_connections::on_tick(time_point now, entry_effects& out) {
  std::erase_if(connections_, [&](const auto& it) {
    if (now - it.second.last_used < idle_timeout) return false;
    out.emplace_back(close_connection{it.second.number});
    return true;
  });
}

} // namespace zinnia
