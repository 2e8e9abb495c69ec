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
// "After a few seconds": the lease of 2 s and two renewal periods.
constexpr milliseconds few_seconds{3'000};

upstream_settings warm() {
  upstream_settings settings;
  settings.completions_per_slot = 1;
  return settings;
}

// P6 ------------------------------------------------------------------------------------

/// What happens to the dispatching host when an upstream leaves.
struct leave_fault {
  bool is_update_missed = false; ///< the leaving renewal is lost
  bool is_cut_off = false;       ///< nothing arrives for a while, then all of it at once
  bool is_frozen = false;        ///< the host does not run for a while
  bool is_borrowing = false;     ///< another host holds a grant of the upstream's slot
  bool is_echoing = true;        ///< the upstream echoes lease marks
};

// One dispatching host under steady work, and an upstream that leaves at 10 s. The renewals
// of the last two seconds before may arrive late, up to long after the upstream has gone.
verdict leaving_upstream_gets_no_new_work(std::uint64_t seed, leave_fault fault) {
  random_engine engine(seed);
  const auto random_ms = [&](std::uint64_t least, std::uint64_t span) {
    return milliseconds(static_cast<std::int64_t>(least + engine() % span));
  };
  upstream_pool pool(warm(), seed);
  dispatch_queue queue({}, pool, seed);
  upstream_pool no_upstreams(warm(), seed + 1);
  dispatch_queue borrower(
      {}, no_upstreams, seed + 2,
      [](time_point, service_id, std::span<const host_id> asked) -> std::optional<host_id> {
        if (!asked.empty()) return std::nullopt;
        return host_id{1};
      });

  const auto leaves = time_point{} + milliseconds(10'000) + random_ms(0, 500);
  const auto fault_begins = leaves - random_ms(0, 1'500);
  const auto fault_ends = leaves + random_ms(1'000, 20'000);
  upstream_announcement said{service, incarnation_id{seed}, {0x0A000001U, 1}, 2};
  std::vector<std::pair<time_point, upstream_announcement>> renewals;
  std::vector<std::pair<milliseconds, std::pair<bool, work_key>>> running;
  std::vector<std::pair<time_point, std::pair<bool, wire::peer_packet>>> messages;
  std::uint64_t number = 0;
  std::uint64_t starts = 0;
  std::string violation;
  time_point now{};

  const auto carry_out = [&](bool is_borrower, const dispatch_effects& effects) {
    for (const auto& effect : effects) {
      if (const auto* begin = std::get_if<start_work>(&effect)) {
        ++starts;
        if (now > leaves + few_seconds && violation.empty())
          violation = "work started " + std::to_string((now - leaves).count() / 1000) +
                      " ms after the upstream left";
        running.push_back({milliseconds((now.time_since_epoch().count() / 1000)) + random_ms(5, 60),
                           {is_borrower, begin->key}});
      }
      if (const auto* out = std::get_if<send_slot_message>(&effect)) {
        auto packet = out->packet;
        packet.set_from_host(is_borrower ? 2 : 1);
        packet.set_from_incarnation(is_borrower ? 2 : 1);
        messages.push_back({now + random_ms(1, 20), {!is_borrower, packet}});
      }
    }
  };

  for (; now < time_point{} + milliseconds(40'000); now += milliseconds(10)) {
    const auto ms = now.time_since_epoch() / milliseconds(1);
    const bool is_fault = now >= fault_begins && now < fault_ends;
    const bool is_leaving_now = now >= leaves && now < leaves + milliseconds(10);
    // The upstream says that it leaves, and then says nothing more.
    if ((ms % 500 == 0 && now < leaves) || is_leaving_now) {
      said.is_leaving = is_leaving_now;
      if (!(is_leaving_now && fault.is_update_missed)) renewals.emplace_back(now, said);
      // Renewals may overtake each other, so that an old one arrives last.
      if (is_fault) std::shuffle(renewals.begin(), renewals.end(), engine);
    }
    if (is_fault && fault.is_frozen) continue;
    if (!(is_fault && fault.is_cut_off)) {
      for (const auto& [sent, it] : renewals) {
        const auto answer = pool.on_announcement(now, it);
        if (fault.is_echoing && now - sent < milliseconds(100)) said.lease_echo = answer.lease_mark;
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
      carry_out(to_borrower, to_borrower ? borrower.on_peer_message(now, packet)
                                         : queue.on_peer_message(now, packet));
    if (ms % 20 == 0) {
      const work it{{++number, 1}, service, now + milliseconds(2'000)};
      const bool is_borrower = fault.is_borrowing && number % 2 == 0;
      carry_out(is_borrower, (is_borrower ? borrower : queue).enqueue(now, it));
    }
    std::vector<std::pair<bool, work_key>> ended;
    std::erase_if(running, [&](const auto& it) {
      if (it.first.count() > ms) return false;
      ended.push_back(it.second);
      return true;
    });
    for (const auto& [is_borrower, key] : ended)
      carry_out(is_borrower,
                (is_borrower ? borrower : queue).finish(now, key, call_result::completed));
    carry_out(false, queue.tick(now));
    carry_out(true, borrower.tick(now));
  }
  if (!violation.empty()) return {false, violation};
  if (starts < 100) return {false, "only " + std::to_string(starts) + " requests started"};
  return {true, std::to_string(starts) + " requests started, none after the lease"};
}

// P9 ------------------------------------------------------------------------------------

struct zone_fault {
  bool is_cut = true;
  bool is_host_lost = false;
  bool is_lossy = false;
};

// Eight hosts in four zones; zone 1 is cut off. Every host keeps choosing live hosts on its
// own side, in the cut zone only its own.
verdict cut_off_zone_keeps_serving(std::uint64_t seed, zone_fault fault) {
  constexpr unsigned hosts = 8;
  constexpr unsigned zones = 4;
  member_network net(seed);
  std::map<host_id, host_router> routers;
  const auto zone_of = [](host_id id) {
    return zone_id{static_cast<std::uint16_t>(id.value % zones)};
  };
  const auto boot = [&](host_id id) {
    net.start(id, zone_of(id), hosts, zones);
    host_load load;
    load.services = {{service, 4, 0, 0, microseconds(20'000)}};
    net.step(id, load_measured{load});
  };
  for (unsigned n = 1; n <= hosts; ++n)
    boot(host_id{n});
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
    for (const auto& [other, seen] : net.at(id).members())
      router.on_member(net.now(), seen);
    for (std::uint64_t key = 0; key < 200; ++key, ++choices) {
      const auto chosen = router.choose(net.now(), service, key);
      if (!chosen) return {false, "host " + std::to_string(n) + " chose nothing"};
      if (!net.has(*chosen)) return {false, "host " + std::to_string(n) + " chose a dead host"};
      if (net.is_cut(id, *chosen))
        return {false, "host " + std::to_string(n) + " chose a host beyond the cut"};
    }
    const auto own = net.at(id).live_hosts(zone_of(id));
    if (std::find(own.begin(), own.end(), *rendezvous(seed, own)) == own.end())
      return {false, "no dispatching host in the zone"};
  }
  net.is_cut = [](host_id, host_id) { return false; };
  if (fault.is_host_lost) boot(host_id{5});
  net.run(milliseconds(40'000));
  if (!net.has_converged()) return {false, "hosts do not agree after the cut has healed"};
  return {true, std::to_string(choices) + " choices on the own side, healed"};
}

struct membership_fault {
  unsigned loss_percent = 0;
  unsigned duplicate_percent = 0;
  milliseconds longest_delay{10};
  bool is_restarting = false;
};

// Hosts restart in turn; afterwards every host knows exactly the running incarnations.
verdict membership_settles(std::uint64_t seed, membership_fault fault) {
  constexpr unsigned hosts = 8;
  random_engine engine(seed);
  member_network net(seed);
  for (unsigned n = 1; n <= hosts; ++n)
    net.start(host_id{n}, zone_id{static_cast<std::uint16_t>(n % 4)}, hosts, 4);
  net.run(milliseconds(10'000));
  net.loss_percent = fault.loss_percent;
  net.duplicate_percent = fault.duplicate_percent;
  net.max_delay = fault.longest_delay;
  unsigned restarts = 0;
  // By observer and host: the running incarnations that have been known once.
  std::map<std::pair<incarnation_id, host_id>, incarnation_id> known;
  bool is_returned = false;
  const auto check = [&] {
    for (unsigned n = 1; n <= hosts; ++n) {
      if (!net.has(host_id{n})) continue;
      for (const auto& [other, seen] : net.at(host_id{n}).members()) {
        if (!net.has(other)) continue;
        const auto running = net.at(other).self().incarnation;
        auto& best = known[{net.at(host_id{n}).self().incarnation, other}];
        if (seen.incarnation == running) best = running;
        if (best == running && seen.incarnation != running) is_returned = true;
      }
    }
  };
  for (int turn = 0; turn < 20; ++turn) {
    net.run(milliseconds(static_cast<std::int64_t>(500 + engine() % 3'000)), check);
    if (!fault.is_restarting) continue;
    const host_id id{static_cast<std::uint32_t>(1 + engine() % hosts)};
    net.stop(id);
    if (engine() % 2 == 0) net.run(milliseconds(static_cast<std::int64_t>(engine() % 6'000)));
    net.start(id, zone_id{static_cast<std::uint16_t>(id.value % 4)}, hosts, 4);
    ++restarts;
  }
  net.run(milliseconds(20'000), check);
  if (is_returned) return {false, "an old incarnation came back"};
  // Under loss, one host may be suspected at any moment, but none may be dead or old.
  if (!net.has_converged()) return {false, "a host knows a dead or an old incarnation"};
  return {true, std::to_string(restarts) + " restarts settled"};
}

// P10 -----------------------------------------------------------------------------------

struct silence_fault {
  bool is_twice = false;       ///< the replacement goes silent too
  bool is_host_frozen = false; ///< the host freezes at the same time
};

// One of three upstreams' connections goes silent while new connections work.
verdict silent_connection_is_replaced(std::uint64_t seed, silence_fault fault) {
  random_engine engine(seed);
  upstream_pool pool(warm(), seed);
  const auto goes_silent = milliseconds(static_cast<std::int64_t>(5'000 + engine() % 1'000));
  const incarnation_id victim{1 + engine() % 3};
  std::set<std::uint64_t> silent;
  std::map<incarnation_id, std::uint64_t> current;
  std::vector<std::pair<std::int64_t, connection_action>> answers;
  unsigned silences = 0;
  std::int64_t silent_since = 0;
  std::int64_t longest = 0;
  for (std::int64_t ms = 0; ms < 30'000; ms += 10) {
    const auto now = time_point{} + milliseconds(ms);
    if (fault.is_host_frozen && ms == goes_silent.count() / 10 * 10 + 500) {
      // Answers that arrived meanwhile are read only afterwards.
      ms += 4'000;
      silent_since += 4'000;
      continue;
    }
    if (ms % 500 == 0)
      for (std::uint64_t id = 1; id <= 3; ++id)
        pool.on_announcement(
            now, {service, incarnation_id{id}, {0x0A000001U, static_cast<std::uint16_t>(id)}, 2});
    const bool is_due = silences == 0
                            ? ms >= goes_silent.count()
                            : fault.is_twice && silences == 1 && silent.count(current[victim]) == 0;
    if (is_due && current.count(victim) > 0) {
      silent.insert(current[victim]);
      ++silences;
      silent_since = ms;
    }
    for (const auto& action : pool.tick(now)) {
      if (action.action == connection_action::kind::probe && silent.count(action.connection) == 0)
        answers.emplace_back(ms + 10 + static_cast<std::int64_t>(engine() % 50), action);
      if (action.action == connection_action::kind::replace) {
        if (silent.count(action.replaced) == 0)
          return {false, "a working connection was replaced at " + std::to_string(ms) + " ms"};
        longest = std::max(longest, ms - silent_since);
      }
      if (action.action == connection_action::kind::open ||
          action.action == connection_action::kind::replace)
        current[action.incarnation] = action.connection;
    }
    std::erase_if(answers, [&](const auto& it) {
      if (it.first > ms) return false;
      pool.on_probe_result(now, it.second.incarnation, it.second.connection, probe_result::healthy);
      return true;
    });
    // Work completes on working connections only.
    if (const auto slot = pool.acquire(now, service))
      pool.release(now, *slot,
                   silent.count(slot->connection) > 0 ? call_result::abandoned
                                                      : call_result::completed,
                   microseconds(5'000));
  }
  if (silent.count(current[victim]) > 0) return {false, "the silent connection is still in use"};
  // Two probes of 1 s and a period. A host that was frozen trusts renewals again only after
  // 0.5 s and the next renewal, and gives the upstream no work before.
  const std::int64_t limit = fault.is_host_frozen ? 4'100 : 3'100;
  if (longest > limit) return {false, "replaced only after " + std::to_string(longest) + " ms"};
  return {true, "replaced after at most " + std::to_string(longest) + " ms"};
}

template <class Run, class Fault>
void add(std::vector<proof>& list, const std::string& promise, const std::string& name, Run run,
         Fault fault) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    list.push_back({promise, name, seed, [run, fault](std::uint64_t s) { return run(s, fault); }});
}

std::vector<proof> all() {
  std::vector<proof> list;
  const auto leave = [&](const std::string& name, leave_fault fault) {
    add(list, "P6", name, leaving_upstream_gets_no_new_work, fault);
  };
  leave("upstream leaves", {});
  leave("upstream leaves, update missed", {.is_update_missed = true});
  leave("upstream leaves, host cut off", {.is_cut_off = true});
  leave("upstream leaves, renewals late and reordered, no echo",
        {.is_cut_off = true, .is_echoing = false});
  leave("upstream leaves, host frozen and resumed", {.is_frozen = true});
  leave("upstream leaves, host frozen and resumed, no echo",
        {.is_frozen = true, .is_echoing = false});
  leave("upstream leaves, update missed and host frozen",
        {.is_update_missed = true, .is_frozen = true});
  leave("upstream leaves, update missed and host frozen, no echo",
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
  add(list, "P9", "hosts restart", membership_settles, membership_fault{.is_restarting = true});
  add(list, "P9", "hosts restart under loss and duplicates", membership_settles,
      membership_fault{5, 30, milliseconds(50), true});
  add(list, "P9", "hosts restart under late duplicates", membership_settles,
      membership_fault{0, 50, milliseconds(400), true});
  add(list, "P10", "silent connection", silent_connection_is_replaced, silence_fault{});
  add(list, "P10", "silent connection twice", silent_connection_is_replaced,
      silence_fault{.is_twice = true});
  add(list, "P10", "silent connection and host frozen", silent_connection_is_replaced,
      silence_fault{.is_host_frozen = true});
  return list;
}

const registration added(all());

} // namespace
} // namespace zinnia::proofs
