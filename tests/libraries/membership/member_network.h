#pragma once

#include "zinniarelay/membership/member_table.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace zinnia::testing {

/// A network of member tables in virtual time that loses, duplicates and delays packets and
/// simulates partitions.
class member_network {
public:
  explicit member_network(std::uint64_t seed) : engine_(seed) {}

  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  milliseconds max_delay{10};
  std::function<bool(host_id, host_id)> is_cut = [](host_id, host_id) { return false; };

  static endpoint address_of(host_id id) {
    return {0x0A000000U + id.value, static_cast<std::uint16_t>(7000 + id.value)};
  }

  /// Starts a host, or restarts it with a new incarnation.
  void start(host_id id, zone_id zone, unsigned hosts, unsigned zones = 1) {
    const local_member self{id, incarnation_id{engine_() | 1U}, zone, address_of(id)};
    tables_[id] = std::make_unique<member_table>(self, member_settings{}, engine_());
    addresses_updated addresses;
    for (unsigned n = 1; n <= hosts; ++n)
      addresses.hosts.push_back(
          {host_id{n}, zone_id{static_cast<std::uint16_t>(n % zones)}, address_of(host_id{n})});
    execute(id, tables_[id]->step(now_, addresses));
  }

  void stop(host_id id) { tables_.erase(id); }
  member_table& at(host_id id) { return *tables_.at(id); }
  bool has(host_id id) const { return tables_.count(id) > 0; }
  time_point now() const { return now_; }
  std::size_t largest_packet() const { return largest_packet_; }
  std::size_t packets() const { return packets_; }

  void step(host_id id, const member_event& event) { execute(id, at(id).step(now_, event)); }

  /// Runs for a duration in steps of 10 ms and calls the check after each step.
  void run(
      milliseconds duration, const std::function<void()>& check = [] {}) {
    constexpr milliseconds step_time{10};
    for (const auto end = now_ + duration; now_ < end;) {
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

  /// Returns whether every running host has exactly the running hosts as live members, with their
  /// current incarnations.
  bool has_converged() {
    for (const auto& [id, table] : tables_) {
      for (const auto& [other, running] : tables_) {
        const auto* entry = table->find(other);
        if (entry == nullptr || !entry->is_live() ||
            entry->incarnation != running->self().incarnation)
          return false;
      }
      for (const auto& [other, entry] : table->members())
        if (entry.is_live() && tables_.count(other) == 0) return false;
    }
    return true;
  }

private:
  struct in_flight_packet {
    time_point delivery_time;
    host_id from;
    host_id to;
    wire::peer_packet packet;
  };

  void execute(host_id id, const member_effects& effects) {
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
      const auto delay_count = static_cast<std::uint64_t>(max_delay.count()) + 1;
      in_flight_.push_back({now_ + milliseconds(static_cast<std::int64_t>(engine_() % delay_count)),
                            from, to, out.packet});
    }
  }

  void deliver() {
    auto due = std::move(in_flight_);
    in_flight_.clear();
    for (auto& it : due) {
      if (it.delivery_time > now_) {
        in_flight_.push_back(std::move(it));
      } else if (has(it.to)) {
        step(it.to, probe_received{address_of(it.from), it.packet});
      }
    }
  }

  random_engine engine_;
  time_point now_{};
  std::map<host_id, std::unique_ptr<member_table>> tables_;
  std::vector<in_flight_packet> in_flight_;
  std::size_t largest_packet_ = 0;
  std::size_t packets_ = 0;
};

} // namespace zinnia::testing
