#include "libraries/membership/member_network.h"
#include "proofs/proof.h"
#include "zinniarelay/balance/dispatch_queue.h"
#include "zinniarelay/balance/host_router.h"
#include "zinniarelay/balance/rendezvous.h"

#include <set>

namespace zinnia::proofs {
namespace {

using zinnia::testing::member_network;

constexpr service_id service{1};
// The "few seconds" of P6: the lease of 2 s and two renewal periods.
constexpr milliseconds new_work_limit{3'000};

upstream_settings settings_without_warmup() {
  upstream_settings settings;
  settings.completions_per_slot = 1;
  return settings;
}

// P6 ------------------------------------------------------------------------------------

/// The faults and conditions under which an upstream leaves.
struct leave_fault {
  bool is_update_missed = false; ///< the renewal that announces the leave is lost
  bool is_cut_off = false;       ///< renewals are delayed, then all arrive together
  bool is_frozen = false;        ///< the process is not scheduled for a while
  bool is_borrowing = false;     ///< another host holds a grant of the upstream's slot
  bool is_echoing = true;        ///< the upstream echoes lease marks
};

// One dispatching host under steady load, and an upstream that leaves at 10 s. The renewals of the
// last 1.5 s before the leave may arrive late, up to 21 s after it.
proof_result leaving_upstream_gets_no_new_work(std::uint64_t seed, leave_fault fault) {
  random_engine engine(seed);
  const auto random_ms = [&](std::uint64_t least, std::uint64_t span) {
    return milliseconds(static_cast<std::int64_t>(least + engine() % span));
  };
  upstream_pool pool(settings_without_warmup(), seed);
  dispatch_queue queue({}, pool, seed);
  upstream_pool no_upstreams(settings_without_warmup(), seed + 1);
  dispatch_queue borrower(
      {}, no_upstreams, seed + 2,
      [](time_point, service_id, std::span<const host_id> requested) -> std::optional<host_id> {
        if (!requested.empty()) return std::nullopt;
        return host_id{1};
      });

  const auto leave_time = time_point{} + milliseconds(10'000) + random_ms(0, 500);
  const auto fault_start = leave_time - random_ms(0, 1'500);
  const auto fault_end = leave_time + random_ms(1'000, 20'000);
  upstream_announcement announcement{service, incarnation_id{seed}, {0x0A000001U, 1}, 2};
  std::vector<std::pair<time_point, upstream_announcement>> renewals;
  std::vector<std::pair<milliseconds, std::pair<bool, work_key>>> running;
  std::vector<std::pair<time_point, std::pair<bool, wire::peer_packet>>> messages;
  std::uint64_t request_number = 0;
  std::uint64_t started_count = 0;
  std::string violation;
  time_point now{};

  const auto execute = [&](bool is_borrower, const dispatch_effects& effects) {
    for (const auto& effect : effects) {
      if (const auto* start = std::get_if<start_work>(&effect)) {
        ++started_count;
        if (now > leave_time + new_work_limit && violation.empty())
          violation = "work started " + std::to_string((now - leave_time).count() / 1000) +
                      " ms after the upstream left";
        running.push_back({milliseconds((now.time_since_epoch().count() / 1000)) + random_ms(5, 60),
                           {is_borrower, start->key}});
      }
      if (const auto* message = std::get_if<send_slot_message>(&effect)) {
        auto packet = message->packet;
        packet.set_from_host(is_borrower ? 2 : 1);
        packet.set_from_incarnation(is_borrower ? 2 : 1);
        messages.push_back({now + random_ms(1, 20), {!is_borrower, packet}});
      }
    }
  };

  for (; now < time_point{} + milliseconds(40'000); now += milliseconds(10)) {
    const auto ms = now.time_since_epoch() / milliseconds(1);
    const bool is_fault = now >= fault_start && now < fault_end;
    const bool is_leave_step = now >= leave_time && now < leave_time + milliseconds(10);
    // The upstream announces that it leaves, and sends no renewal after that.
    if ((ms % 500 == 0 && now < leave_time) || is_leave_step) {
      announcement.is_leaving = is_leave_step;
      if (!(is_leave_step && fault.is_update_missed)) renewals.emplace_back(now, announcement);
      // Renewals may be reordered: an old renewal may arrive last.
      if (is_fault) std::shuffle(renewals.begin(), renewals.end(), engine);
    }
    if (is_fault && fault.is_frozen) continue;
    if (!(is_fault && fault.is_cut_off)) {
      for (const auto& [sent_at, renewal] : renewals) {
        const auto reply = pool.on_announcement(now, renewal);
        if (fault.is_echoing && now - sent_at < milliseconds(100))
          announcement.lease_echo = reply.lease_mark;
      }
      renewals.clear();
    }
    pool.tick(now);
    no_upstreams.tick(now);
    std::vector<std::pair<bool, wire::peer_packet>> due;
    std::erase_if(messages, [&](const auto& it) {
      if (it.first > now) return false;
      due.push_back(it.second);
      return true;
    });
    for (const auto& [to_borrower, packet] : due)
      execute(to_borrower, to_borrower ? borrower.on_peer_message(now, packet)
                                       : queue.on_peer_message(now, packet));
    if (ms % 20 == 0) {
      const work request{{++request_number, 1}, service, now + milliseconds(2'000)};
      const bool is_borrower = fault.is_borrowing && request_number % 2 == 0;
      execute(is_borrower, (is_borrower ? borrower : queue).enqueue(now, request));
    }
    std::vector<std::pair<bool, work_key>> ended;
    std::erase_if(running, [&](const auto& it) {
      if (it.first.count() > ms) return false;
      ended.push_back(it.second);
      return true;
    });
    for (const auto& [is_borrower, key] : ended)
      execute(is_borrower,
              (is_borrower ? borrower : queue).finish(now, key, call_result::completed));
    execute(false, queue.tick(now));
    execute(true, borrower.tick(now));
  }
  if (!violation.empty()) return {false, violation};
  if (started_count < 100)
    return {false, "only " + std::to_string(started_count) + " requests started"};
  return {true, std::to_string(started_count) + " requests started, none after the lease expired"};
}

// P9 ------------------------------------------------------------------------------------

struct zone_fault {
  bool is_cut = true;
  bool is_host_lost = false;
  bool is_lossy = false;
};

// Eight hosts in four zones; zone 1 is cut off. Every host keeps choosing live hosts on its side of
// the cut. A host in zone 1 chooses only hosts of zone 1.
proof_result cut_off_zone_keeps_serving(std::uint64_t seed, zone_fault fault) {
  constexpr unsigned hosts = 8;
  constexpr unsigned zones = 4;
  member_network net(seed);
  std::map<host_id, host_router> routers;
  const auto zone_of = [](host_id id) {
    return zone_id{static_cast<std::uint16_t>(id.value % zones)};
  };
  const auto start_host = [&](host_id id) {
    net.start(id, zone_of(id), hosts, zones);
    host_load load;
    load.services = {{service, 4, 0, 0, microseconds(20'000)}};
    net.step(id, load_measured{load});
  };
  for (unsigned n = 1; n <= hosts; ++n)
    start_host(host_id{n});
  if (fault.is_lossy) net.loss_percent = 10;
  net.run(milliseconds(15'000));
  net.is_cut = [&](host_id a, host_id b) {
    return (zone_of(a) == zone_id{1}) != (zone_of(b) == zone_id{1});
  };
  if (fault.is_host_lost) net.stop(host_id{5});
  net.run(milliseconds(15'000));

  std::uint64_t choices = 0;
  for (unsigned n = 1; n <= hosts; ++n) {
    const host_id id{n};
    if (!net.has(id)) continue;
    host_router router(id, zone_of(id), {}, seed + n);
    for (const auto& [other, state] : net.at(id).members())
      router.on_member(net.now(), state);
    for (std::uint64_t key = 0; key < 200; ++key, ++choices) {
      const auto chosen = router.choose(net.now(), service, key);
      if (!chosen) return {false, "host " + std::to_string(n) + " chose no host"};
      if (!net.has(*chosen)) return {false, "host " + std::to_string(n) + " chose a dead host"};
      if (net.is_cut(id, *chosen))
        return {false, "host " + std::to_string(n) + " chose a host on the other side of the cut"};
    }
    const auto zone_hosts = net.at(id).live_hosts(zone_of(id));
    if (std::find(zone_hosts.begin(), zone_hosts.end(), *rendezvous(seed, zone_hosts)) ==
        zone_hosts.end())
      return {false, "no dispatching host in the zone"};
  }
  net.is_cut = [](host_id, host_id) { return false; };
  if (fault.is_host_lost) start_host(host_id{5});
  net.run(milliseconds(40'000));
  if (!net.has_converged()) return {false, "hosts do not agree after the cut has healed"};
  return {true, std::to_string(choices) + " choices on the same side of the cut, healed"};
}

struct membership_fault {
  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  milliseconds max_delay{10};
  bool is_restarting = false;
};

// Hosts restart one after another. Afterwards every host has a record of exactly the running
// incarnations.
proof_result membership_converges(std::uint64_t seed, membership_fault fault) {
  constexpr unsigned hosts = 8;
  random_engine engine(seed);
  member_network net(seed);
  for (unsigned n = 1; n <= hosts; ++n)
    net.start(host_id{n}, zone_id{static_cast<std::uint16_t>(n % 4)}, hosts, 4);
  net.run(milliseconds(10'000));
  net.loss_percent = fault.loss_percent;
  net.duplicate_percent = fault.duplicate_percent;
  net.max_delay = fault.max_delay;
  unsigned restarts = 0;
  // By observer and host: the last incarnation that the observer recorded while it was running.
  std::map<std::pair<incarnation_id, host_id>, incarnation_id> recorded;
  bool is_old_restored = false;
  const auto check = [&] {
    for (unsigned n = 1; n <= hosts; ++n) {
      if (!net.has(host_id{n})) continue;
      for (const auto& [other, state] : net.at(host_id{n}).members()) {
        if (!net.has(other)) continue;
        const auto running = net.at(other).self().incarnation;
        auto& latest = recorded[{net.at(host_id{n}).self().incarnation, other}];
        if (state.incarnation == running) latest = running;
        if (latest == running && state.incarnation != running) is_old_restored = true;
      }
    }
  };
  for (int round = 0; round < 20; ++round) {
    net.run(milliseconds(static_cast<std::int64_t>(500 + engine() % 3'000)), check);
    if (!fault.is_restarting) continue;
    const host_id id{static_cast<std::uint32_t>(1 + engine() % hosts)};
    net.stop(id);
    if (engine() % 2 == 0) net.run(milliseconds(static_cast<std::int64_t>(engine() % 6'000)));
    net.start(id, zone_id{static_cast<std::uint16_t>(id.value % 4)}, hosts, 4);
    ++restarts;
  }
  net.run(milliseconds(20'000), check);
  if (is_old_restored) return {false, "an old incarnation replaced the running one"};
  // Under loss a host may be suspected at any moment, but no host may be recorded as dead or with
  // an old incarnation.
  if (!net.has_converged()) return {false, "a host has a record of a dead or an old incarnation"};
  return {true, std::to_string(restarts) + " restarts, converged"};
}

// P10 -----------------------------------------------------------------------------------

struct unresponsive_fault {
  bool is_repeated = false;    ///< the replacement connection becomes unresponsive too
  bool is_host_frozen = false; ///< the host freezes at the same time
};

// The connection of one of three upstreams becomes unresponsive, while new connections work.
proof_result unresponsive_connection_is_replaced(std::uint64_t seed, unresponsive_fault fault) {
  random_engine engine(seed);
  upstream_pool pool(settings_without_warmup(), seed);
  const auto failure_time = milliseconds(static_cast<std::int64_t>(5'000 + engine() % 1'000));
  const incarnation_id affected{1 + engine() % 3};
  std::set<std::uint64_t> unresponsive;
  std::map<incarnation_id, std::uint64_t> current_connection;
  std::vector<std::pair<std::int64_t, connection_action>> probe_replies;
  unsigned failure_count = 0;
  std::int64_t unresponsive_since = 0;
  std::int64_t longest_replacement = 0;
  for (std::int64_t ms = 0; ms < 30'000; ms += 10) {
    const auto now = time_point{} + milliseconds(ms);
    if (fault.is_host_frozen && ms == failure_time.count() / 10 * 10 + 500) {
      // Probe replies that arrived while the host was frozen are read only after it resumes.
      ms += 4'000;
      unresponsive_since += 4'000;
      continue;
    }
    if (ms % 500 == 0)
      for (std::uint64_t id = 1; id <= 3; ++id)
        pool.on_announcement(
            now, {service, incarnation_id{id}, {0x0A000001U, static_cast<std::uint16_t>(id)}, 2});
    const bool is_due = failure_count == 0
                            ? ms >= failure_time.count()
                            : fault.is_repeated && failure_count == 1 &&
                                  unresponsive.count(current_connection[affected]) == 0;
    if (is_due && current_connection.count(affected) > 0) {
      unresponsive.insert(current_connection[affected]);
      ++failure_count;
      unresponsive_since = ms;
    }
    for (const auto& action : pool.tick(now)) {
      if (action.action == connection_action::kind::probe &&
          unresponsive.count(action.connection) == 0)
        probe_replies.emplace_back(ms + 10 + static_cast<std::int64_t>(engine() % 50), action);
      if (action.action == connection_action::kind::replace) {
        if (unresponsive.count(action.replaced) == 0)
          return {false, "a working connection was replaced at " + std::to_string(ms) + " ms"};
        longest_replacement = std::max(longest_replacement, ms - unresponsive_since);
      }
      if (action.action == connection_action::kind::open ||
          action.action == connection_action::kind::replace)
        current_connection[action.incarnation] = action.connection;
    }
    std::erase_if(probe_replies, [&](const auto& it) {
      if (it.first > ms) return false;
      pool.on_probe_result(now, it.second.incarnation, it.second.connection, probe_result::healthy);
      return true;
    });
    // Work completes on working connections only.
    if (const auto slot = pool.acquire(now, service))
      pool.release(now, *slot,
                   unresponsive.count(slot->connection) > 0 ? call_result::abandoned
                                                            : call_result::completed,
                   microseconds(5'000));
  }
  if (unresponsive.count(current_connection[affected]) > 0)
    return {false, "the unresponsive connection is still in use"};
  // Two probes of 1 s and one probe period. A host that was frozen accepts renewals again only
  // after 0.5 s, and gives the upstream no work before the next renewal.
  const std::int64_t limit = fault.is_host_frozen ? 4'100 : 3'100;
  if (longest_replacement > limit)
    return {false, "replaced only after " + std::to_string(longest_replacement) + " ms"};
  return {true, "replaced after at most " + std::to_string(longest_replacement) + " ms"};
}

template <class Run, class Fault>
void add(std::vector<proof>& list, const std::string& promise, const std::string& name, Run run,
         Fault fault) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    list.push_back({promise, name, seed, [run, fault](std::uint64_t s) { return run(s, fault); }});
}

std::vector<proof> balance_proofs() {
  std::vector<proof> list;
  const auto leave = [&](const std::string& name, leave_fault fault) {
    add(list, "P6", name, leaving_upstream_gets_no_new_work, fault);
  };
  leave("upstream leaves", {});
  leave("upstream leaves, update missed", {.is_update_missed = true});
  leave("upstream leaves, host cut off", {.is_cut_off = true});
  leave("upstream leaves, renewals late and reordered, no lease echo",
        {.is_cut_off = true, .is_echoing = false});
  leave("upstream leaves, host frozen and resumed", {.is_frozen = true});
  leave("upstream leaves, host frozen and resumed, no lease echo",
        {.is_frozen = true, .is_echoing = false});
  leave("upstream leaves, update missed and host frozen",
        {.is_update_missed = true, .is_frozen = true});
  leave("upstream leaves, update missed and host frozen, no lease echo",
        {.is_update_missed = true, .is_frozen = true, .is_echoing = false});
  leave("upstream leaves, update missed and host cut off",
        {.is_update_missed = true, .is_cut_off = true});
  leave("upstream leaves, update missed, slots lent",
        {.is_update_missed = true, .is_borrowing = true});
  leave("upstream leaves, host cut off, slots lent", {.is_cut_off = true, .is_borrowing = true});
  add(list, "P9", "zone cut off", cut_off_zone_keeps_serving, zone_fault{});
  add(list, "P9", "zone cut off and host lost", cut_off_zone_keeps_serving,
      zone_fault{.is_host_lost = true});
  add(list, "P9", "zone cut off under loss", cut_off_zone_keeps_serving,
      zone_fault{.is_lossy = true});
  add(list, "P9", "hosts restart", membership_converges, membership_fault{.is_restarting = true});
  add(list, "P9", "hosts restart under loss and duplicates", membership_converges,
      membership_fault{5, 30, milliseconds(50), true});
  add(list, "P9", "hosts restart under late duplicates", membership_converges,
      membership_fault{0, 50, milliseconds(400), true});
  add(list, "P10", "unresponsive connection", unresponsive_connection_is_replaced,
      unresponsive_fault{});
  add(list, "P10", "unresponsive connection, then its replacement too",
      unresponsive_connection_is_replaced, unresponsive_fault{.is_repeated = true});
  add(list, "P10", "unresponsive connection and host frozen", unresponsive_connection_is_replaced,
      unresponsive_fault{.is_host_frozen = true});
  return list;
}

const proof_registration registered(balance_proofs());

} // namespace
} // namespace zinnia::proofs
