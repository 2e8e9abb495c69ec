#pragma once

#include "zinniarelay/membership/member_table.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace zinnia::testing {

/// A network of member tables in virtual time that loses, duplicates, delays and cuts.
class member_network {
public:
  explicit member_network(std::uint64_t seed) : engine_(seed) {}

  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  milliseconds longest_delay{10};
  std::function<bool(host_id, host_id)> is_cut = [](host_id, host_id) { return false; };

  static endpoint address_of(host_id id) {
    return {0x0A000000U + id.value, static_cast<std::uint16_t>(7000 + id.value)};
  }

  /// Starts a host, or restarts it with a new incarnation.
  void start(host_id id, zone_id zone, unsigned hosts, unsigned zones = 1) {
    const local_member self{id, incarnation_id{engine_() | 1U}, zone, address_of(id)};
    tables_[id] = std::make_unique<member_table>(self, member_settings{}, engine_());
    addresses_known known;
    for (unsigned n = 1; n <= hosts; ++n)
      known.hosts.push_back(
          {host_id{n}, zone_id{static_cast<std::uint16_t>(n % zones)}, address_of(host_id{n})});
    carry_out(id, tables_[id]->step(now_, known));
  }

  void stop(host_id id) { tables_.erase(id); }
  member_table& at(host_id id) { return *tables_.at(id); }
  bool has(host_id id) const { return tables_.count(id) > 0; }
  time_point now() const { return now_; }
  std::size_t largest_packet() const { return largest_packet_; }
  std::size_t packets() const { return packets_; }

  void step(host_id id, const member_event& event) { carry_out(id, at(id).step(now_, event)); }

  /// Runs until the time has passed; each step is 10 ms.
  void run(
      milliseconds time, const std::function<void()>& check = [] {}) {
    constexpr milliseconds step_time{10};
    for (const auto end = now_ + time; now_ < end;) {
      now_ += step_time;
      deliver();
      std::vector<host_id> ids;
      for (const auto& [id, table] : tables_)
        ids.push_back(id);
      for (const auto id : ids)
        step(id, membership_tick{});
      check();
    }
  }

  /// Whether every running host sees exactly these hosts as live, in their running incarnation.
  bool is_agreed() {
    for (const auto& [id, table] : tables_) {
      for (const auto& [other, running] : tables_) {
        const auto* seen = table->find(other);
        if (seen == nullptr || !seen->is_live() || seen->incarnation != running->self().incarnation)
          return false;
      }
      for (const auto& [other, seen] : table->members())
        if (seen.is_live() && tables_.count(other) == 0) return false;
    }
    return true;
  }

private:
  struct flying {
    time_point at;
    host_id from;
    host_id to;
    wire::peer_packet packet;
  };

  void carry_out(host_id id, const member_effects& effects) {
    for (const auto& effect : effects)
      if (const auto* out = std::get_if<send_probe>(&effect)) send(id, *out);
  }

  void send(host_id from, const send_probe& out) {
    const host_id to{out.to.address - 0x0A000000U};
    largest_packet_ = std::max(largest_packet_, out.packet.ByteSizeLong());
    ++packets_;
    const unsigned copies = engine_() % 100 < duplicate_percent ? 2 : 1;
    for (unsigned n = 0; n < copies; ++n) {
      if (engine_() % 100 < loss_percent || is_cut(from, to)) continue;
      const auto span = static_cast<std::uint64_t>(longest_delay.count()) + 1;
      flying_.push_back(
          {now_ + milliseconds(static_cast<std::int64_t>(engine_() % span)), from, to, out.packet});
    }
  }

  void deliver() {
    auto due = std::move(flying_);
    flying_.clear();
    for (auto& it : due) {
      if (it.at > now_) {
        flying_.push_back(std::move(it));
      } else if (has(it.to)) {
        step(it.to, probe_received{address_of(it.from), it.packet});
      }
    }
  }

  random_engine engine_;
  time_point now_{};
  std::map<host_id, std::unique_ptr<member_table>> tables_;
  std::vector<flying> flying_;
  std::size_t largest_packet_ = 0;
  std::size_t packets_ = 0;
};

} // namespace zinnia::testing
