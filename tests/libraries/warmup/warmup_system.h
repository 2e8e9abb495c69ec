#pragma once

#include "libraries/flow/flow_fixture.h"
#include "support/control_group.h"
#include "zinniarelay/flow/compact_replies.h"
#include "zinniarelay/flow/flow_host.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zinnia::support {

/// Control hosts, entry hosts, upstreams of one service with a warm-up limit, and callers, on one
/// simulated clock. Records each opening packet that an upstream gets.
class warmup_system {
public:
  static constexpr milliseconds warmup{6'000};
  static constexpr milliseconds step_time = control_group::step_time;
  static constexpr std::uint64_t wall_base_ms = 1'700'000'000'000;

  struct options {
    std::uint64_t seed = 1;
    std::size_t entry_hosts = 12;
    double flows_per_second = 20; ///< at each entry host
    bool is_limited = true;
    double rate = 4; ///< opening packets a second to a cold upstream
    std::uint64_t control_hosts = 3;
  };

  struct entry_host {
    std::optional<flow_host> host;
    std::uint64_t holder = 0;
    std::uint64_t control = 1; ///< the control host that it polls
    microseconds clock_offset{0};
    double clock_speed = 1;
    bool is_frozen = false;
    bool is_cut = false; ///< from all control hosts
    struct poll {
      std::uint64_t control = 0;
      wire::news_request request;
      time_point requested; ///< by the clock of the entry host
      time_point received;  ///< by the clock of the control host
      std::optional<wire::news_reply> reply;
      time_point deadline;
    };
    std::optional<poll> waiting;
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    std::deque<packet_head> arrived; ///< while frozen
  };
  struct upstream {
    upstream_report report;
    time_point started;
    time_point next_report;
    std::uint64_t control = 1;                               ///< to which it reports
    std::optional<milliseconds> told_after{milliseconds(0)}; ///< when it states its warm-up
    milliseconds told_until{60'000};
    bool is_up = true;
    std::vector<time_point> openings;
  };

  explicit warmup_system(const options& value)
      : options_(value), group(value.seed, value.control_hosts, {}), engine_(value.seed) {
    group.run(milliseconds(3'000));
    declare(2);
    entries.resize(options_.entry_hosts);
    for (std::size_t n = 0; n < entries.size(); ++n) {
      entries[n].control = 1 + n % options_.control_hosts;
      entries[n].clock_offset = microseconds(static_cast<std::int64_t>(engine_() % 9'000'000'000));
      start_entry(n);
    }
  }

  void declare(std::uint64_t version) {
    wire::version_request out;
    out.set_author("operator");
    auto& declaration = *out.mutable_proposed()->mutable_declaration();
    declaration = declaration_of(version);
    if (options_.is_limited) {
      auto& service = *declaration.mutable_services(0);
      service.set_warmup_ms(static_cast<std::uint32_t>(warmup.count()));
      service.set_warmup_rate(options_.rate);
    }
    const auto leader = group.leader();
    group.host(leader).apply_version(group.now, 1, out);
    group.observe(leader);
    group.run(milliseconds(500));
  }

  void start_entry(std::size_t n) {
    auto& it = entries[n];
    flow_host_settings settings;
    settings.router.selection.zone = "a";
    it.host.emplace(settings, random_engine(engine_()), clock_of(it));
    it.holder = engine_() | 1U;
    it.waiting.reset();
    it.source = it.position = 0;
  }

  /// Starts an upstream, or restarts the one with this number at its address.
  upstream& start_upstream(std::size_t n, milliseconds clock_error = milliseconds(0)) {
    auto& it = upstreams[n];
    it.report.id = "i-" + std::to_string(n);
    it.report.started_ms = wall_ms() + static_cast<std::uint64_t>(clock_error.count());
    it.report.sequence = 0;
    it.report.service = "registry";
    it.report.address = {0x0A00'0001, static_cast<std::uint16_t>(8'000 + n)};
    it.report.zone = "a";
    it.report.slots = 2;
    it.started = it.next_report = group.now;
    it.control = 1 + n % options_.control_hosts;
    it.is_up = true;
    it.openings.clear();
    return it;
  }

  std::uint64_t wall_ms() const {
    return wall_base_ms +
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(group.now.time_since_epoch()).count());
  }

  void run(milliseconds duration) {
    for (const auto end = group.now + duration; group.now < end;) {
      group.run(step_time);
      send_reports();
      replicate();
      request_grants();
      for (auto& it : entries)
        poll(it);
      send_flows();
      for (auto& it : entries)
        serve(it);
      count_holders();
    }
  }

  /// Returns the highest number of opening packets to a cold upstream in a second.
  static std::size_t highest_rate(const upstream& value) {
    std::size_t out = 0;
    const auto& list = value.openings;
    for (std::size_t first = 0, last = 0; first < list.size(); ++first) {
      while (last < list.size() && list[last] - list[first] <= std::chrono::seconds(1) &&
             list[last] < value.started + warmup)
        ++last;
      if (list[first] < value.started + warmup) out = std::max(out, last - first);
    }
    return out;
  }
  std::size_t bound() const { return static_cast<std::size_t>(options_.rate * 1.5 + 5); }
  std::size_t highest_rate() const {
    std::size_t out = 0;
    for (const auto& [n, it] : upstreams)
      out = std::max(out, highest_rate(it));
    return out;
  }
  std::size_t openings_while_cold() const {
    std::size_t out = 0;
    for (const auto& [n, it] : upstreams)
      out += static_cast<std::size_t>(
          std::count_if(it.openings.begin(), it.openings.end(),
                        [end = it.started + warmup](auto at) { return at < end; }));
    return out;
  }

  /// Returns the time by the clock of an entry host.
  time_point clock_of(const entry_host& it) const {
    const auto elapsed = std::chrono::duration<double, std::micro>(group.now.time_since_epoch());
    return time_point(microseconds(std::llround(elapsed.count() * it.clock_speed)) +
                      it.clock_offset);
  }

  options options_;
  control_group group;
  std::vector<entry_host> entries;
  std::map<std::size_t, upstream> upstreams;
  /// Control hosts whose requests to others, and those of others to them, are lost.
  std::set<std::uint64_t> cut_controls;
  bool has_callers = true;
  std::size_t resets = 0;
  std::size_t duplicates = 0;
  std::size_t grant_requests = 0;
  std::size_t most_holders = 0; ///< entry hosts with a lease of one upstream at the same time

private:
  struct copy {
    time_point due;
    packet_head head;
    std::uint32_t number = 0;
  };
  struct grant_call {
    std::uint64_t holder = 0;
    std::uint64_t leader = 0;
    wire::grant_request request;
    time_point requested;
    std::optional<control_host::read_ticket> ticket;
  };

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

  void count_holders() {
    for (const auto& [n, it] : upstreams) {
      const auto incarnation = it.report.incarnation();
      const auto holders = std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
        const auto& tokens = entry.host->router().selector().tokens();
        return tokens.has_lease(clock_of(entry), incarnation);
      });
      most_holders = std::max(most_holders, static_cast<std::size_t>(holders));
    }
  }

  void send_reports() {
    for (auto& [n, it] : upstreams) {
      if (!it.is_up || group.now < it.next_report || !group.is_up(it.control)) continue;
      it.next_report = group.now + milliseconds(1'000);
      ++it.report.sequence;
      const auto age = std::chrono::duration_cast<milliseconds>(group.now - it.started);
      const bool is_told = it.told_after && age >= *it.told_after && age < it.told_until;
      it.report.warmup = is_told ? std::max(milliseconds(0), warmup - age) : milliseconds(0);
      group.host(it.control).merge_report(group.now, it.report, wall_ms());
    }
  }

  bool is_connected(std::uint64_t from, std::uint64_t to) const {
    return from == to || (!cut_controls.contains(from) && !cut_controls.contains(to));
  }

  void replicate() {
    for (const auto& [from, source] : group.members)
      for (const auto& [to, target] : group.members) {
        if (from == to || !group.is_up(from) || !group.is_up(to) || !is_connected(from, to))
          continue;
        auto& reached = replicated_[{from, to}];
        auto& host = group.host(from);
        const auto peer = group.host(to).source();
        const bool is_complete = reached.first != peer + host.source();
        auto page = host.replication_since(reached.second, is_complete);
        group.host(to).merge_replicated(group.now, page.request);
        reached = {peer + host.source(), page.position};
      }
  }

  void request_grants() {
    for (const auto& [id, it] : group.members) {
      if (!group.is_up(id)) continue;
      const auto request = group.host(id).warmup_request_due(group.now);
      if (!request) continue;
      ++grant_requests;
      calls_.push_back({id, group.host(id).node().leader(), *request, group.now, std::nullopt});
    }
    std::vector<grant_call> waiting;
    for (auto& it : calls_)
      if (!finish(it)) waiting.push_back(std::move(it));
    calls_ = std::move(waiting);
  }

  /// Returns true when the call has ended.
  bool finish(grant_call& it) {
    if (it.leader == 0 || !group.members.contains(it.leader) ||
        group.members.at(it.leader)->host == nullptr)
      return true;
    if (!group.is_up(it.leader)) return false;
    auto& leader = group.host(it.leader);
    if (!it.ticket) {
      if (!is_connected(it.holder, it.leader)) return true;
      it.ticket = leader.begin_read(group.now);
      group.observe(it.leader);
      return !it.ticket;
    }
    if (!leader.read_reply_for(*it.ticket)) return false;
    const auto reply = leader.grant_warmup(group.now, *it.ticket, it.request);
    if (group.is_up(it.holder) && is_connected(it.holder, it.leader))
      group.host(it.holder).record_warmup_grants(it.requested, reply);
    return true;
  }

  void poll(entry_host& it) {
    if (it.waiting && !it.waiting->reply && group.is_up(it.waiting->control)) {
      auto& host = group.host(it.waiting->control);
      auto& call = *it.waiting;
      if (group.now >= call.deadline || host.has_urgent_update(group.now, call.request)) {
        auto reply = host.updates(group.now, call.request, call.received);
        if (!it.is_cut) call.reply = std::move(reply);
      }
    }
    if (it.is_frozen) return;
    const auto now = clock_of(it);
    if (it.waiting && it.waiting->reply) {
      auto reply = std::move(*it.waiting->reply);
      const auto requested = it.waiting->requested;
      it.waiting.reset();
      if (!expand(reply).has_value()) return;
      it.host->apply(now, reply, requested);
      it.source = reply.source();
      it.position = reply.position();
      decide_held(it, now);
    }
    if (it.waiting && group.now > it.waiting->deadline + milliseconds(700)) {
      it.waiting.reset();
      it.control = 1 + it.control % options_.control_hosts;
    }
    if (it.waiting || it.is_cut || !group.is_up(it.control)) {
      if (!it.waiting && !group.is_up(it.control))
        it.control = 1 + it.control % options_.control_hosts;
      return;
    }
    entry_host::poll next;
    next.control = it.control;
    next.requested = now;
    next.received = group.now;
    next.deadline = group.now + milliseconds(500);
    next.request.set_version(it.host->requested_version());
    next.request.set_accepts_changes(true);
    next.request.set_source(it.source);
    next.request.set_position(it.position);
    next.request.set_wait_ms(500);
    next.request.set_warmup_holder(it.host->wants_grants(now) ? it.holder : 0);
    it.waiting = std::move(next);
  }

  void send_flows() {
    if (has_callers)
      for (std::size_t n = 0; n < entries.size(); ++n) {
        if (uniform() >= options_.flows_per_second * 0.02) continue;
        packet_head head;
        head.source = {0x6440'0000 + static_cast<std::uint32_t>(++flows_ >> 14U),
                       static_cast<std::uint16_t>(10'000 + flows_ % 16'384)};
        head.destination = {service_ip, 443};
        head.is_open = true;
        copies_.push_back({group.now, head, 0});
      }
    std::vector<copy> later;
    for (auto& it : copies_) {
      if (group.now < it.due) {
        later.push_back(it);
        continue;
      }
      it.head.acknowledged = it.number;
      // The fabric delivers each packet to any host, and duplicates some.
      auto& host = entries[engine_() % entries.size()];
      host.arrived.push_back(it.head);
      if (uniform() < 0.1) host.arrived.push_back(it.head);
      constexpr std::array<int, 2> pauses{200, 400};
      if (it.number < 2)
        later.push_back({group.now + milliseconds(pauses.at(it.number)), it.head, it.number + 1});
    }
    copies_ = std::move(later);
  }

  void serve(entry_host& it) {
    if (it.is_frozen) return;
    const auto now = clock_of(it);
    it.host->record_iteration(now);
    for (const auto& head : std::exchange(it.arrived, {}))
      decide(it, now, head, {});
    it.host->tick(now);
    if (it.host->may_release_held(now)) decide_held(it, now);
  }

  void decide_held(entry_host& it, time_point now) {
    for (const auto& held : it.host->take_held(now))
      decide(it, held.arrived, held.head, held.bytes);
  }

  void decide(entry_host& it, time_point now, const packet_head& head,
              std::span<const std::byte> bytes) {
    const auto decision = it.host->handle(now, head, bytes);
    if (decision.action == flow_decision::action_type::reset) ++resets;
    if (decision.action != flow_decision::action_type::forward) return;
    if (decision.reason == flow_decision::reason_type::reopened) ++duplicates;
    auto& target = upstreams.at(decision.destination.port - 8'000U);
    if (target.is_up) target.openings.push_back(group.now);
    // Half of the opening packets are answered; the caller then sends no further copy.
    if (!target.is_up || uniform() < 0.5) return;
    std::erase_if(copies_, [&](const auto& other) { return other.head.key() == head.key(); });
    auto packet = head;
    packet.is_open = false;
    packet.is_answer = true;
    packet.route_tag = decision.route_tag;
    it.host->handle(now, packet, {});
  }

  random_engine engine_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::pair<std::uint64_t, std::uint64_t>>
      replicated_;
  std::vector<grant_call> calls_;
  std::vector<copy> copies_;
  std::uint64_t flows_ = 0;
};

} // namespace zinnia::support
