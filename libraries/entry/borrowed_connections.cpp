#include "entry/borrowed_connections.h"

namespace zinnia {
namespace {

// The pool numbers its own connections from 1; these must not collide with them.
constexpr std::uint64_t first_number = std::uint64_t{1} << 63U;
// Until then a call would find the connection not yet established.
constexpr milliseconds connect_time{20};
// Nothing probes these connections, so one that idles may be silent when used again.
constexpr milliseconds idle_limit{2000};

} // namespace

std::optional<std::uint64_t> borrowed_connections::use(time_point now, incarnation_id upstream,
                                                       endpoint address, entry_effects& out) {
  const auto [it, is_new] = connections_.try_emplace(upstream);
  if (is_new) {
    it->second = {first_number + opened_++, now, now};
    out.emplace_back(open_connection{it->second.number, address.to_string()});
  }
  it->second.last_used = now;
  if (now - it->second.opened < connect_time) return std::nullopt;
  return it->second.number;
}

void borrowed_connections::on_tick(time_point now, entry_effects& out) {
  std::erase_if(connections_, [&](const auto& it) {
    if (now - it.second.last_used < idle_limit) return false;
    out.emplace_back(close_connection{it.second.number});
    return true;
  });
}

} // namespace zinnia
