#include "../tests/support/control_group.h"

#include <iostream>

// Measures the cost of recovery and of distributing configuration in messages, bytes and simulated
// time. No measure depends on the speed of the machine.

namespace zinnia {
namespace {

using support::control_group;

constexpr std::size_t max_idle_bytes = 4'000;    // a second per entry host, with one poll a second
constexpr std::size_t max_change_bytes = 18'000; // a second, with one change a second

template <class Value, class Bound>
void print(const std::string& measure, const Value& value, const Bound& bound) {
  std::cout << measure << " | " << value << " | " << bound << std::endl;
}

/// The messages, bytes and simulated time that a group uses from the construction on.
struct cost_since_start {
  explicit cost_since_start(const control_group& group)
      : messages(group.message_count), bytes(group.byte_count), start(group.now) {}
  std::size_t messages;
  std::size_t bytes;
  time_point start;

  std::size_t messages_until(const control_group& group) const {
    return group.message_count - messages;
  }
  std::size_t bytes_until(const control_group& group) const { return group.byte_count - bytes; }
  long milliseconds_until(const control_group& group) const {
    return std::chrono::duration_cast<milliseconds>(group.now - start).count();
  }
};

void measure_election(std::uint64_t voters) {
  constexpr std::uint64_t runs = 200;
  std::size_t messages = 0;
  std::size_t bytes = 0;
  long longest = 0;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    control_group group(seed, voters, {});
    group.run(milliseconds(4'000));
    group.stop(group.leader());
    const cost_since_start cost(group);
    while (group.leader() == 0)
      group.run(control_group::step_time);
    messages = std::max(messages, cost.messages_until(group));
    bytes = std::max(bytes, cost.bytes_until(group));
    longest = std::max(longest, cost.milliseconds_until(group));
  }
  const auto name = "elect after loss of the leader, " + std::to_string(voters) +
                    " voters, worst of " + std::to_string(runs);
  // P8 allows 3 s, of which the poll interval of the entry hosts takes 1 s.
  print(name + ", ms without message delay", longest, 2'000);
  print(name + ", messages", messages, "none");
  print(name + ", bytes", bytes, max_change_bytes);
}

wire::apply_request declaration_of(const std::string& operation, std::uint64_t base,
                                   std::size_t services, std::size_t changed) {
  wire::apply_request out;
  out.set_operation_id(operation);
  out.set_author("operator");
  out.set_base_revision(base);
  for (std::size_t n = 0; n < services; ++n) {
    auto& service = *out.add_services();
    service.set_name("service-" + std::to_string(n));
    service.set_address("10." + std::to_string(n / 60'000) +
                        ".0.1:" + std::to_string(1 + n % 60'000));
    service.set_retry_percent(n == changed % services ? static_cast<std::uint32_t>(1 + base % 90)
                                                      : 10);
    service.set_join_requests(100);
    service.set_drain_grace_ms(5'000);
    service.set_queue_per_slot(4);
    service.set_credential_digest(std::string(32, 'x'));
    for (const auto* name : {"lookup", "certify"}) {
      auto& method = *service.add_methods();
      method.set_name(name);
      method.set_kind(wire::idempotent);
      method.set_deadline_ms(2'000);
    }
  }
  return out;
}

wire::sync_request poll_of(std::uint32_t host, const service_directory& directory) {
  auto out = directory.request();
  auto& status = *out.mutable_status();
  status.set_host(host);
  status.set_incarnation(0x0123456789abcdef);
  status.set_zone(1);
  status.set_revision(directory.revision());
  status.set_state("serving");
  status.set_peer_address("10.0.0.1:7001");
  status.set_registration_address("10.0.0.1:7002");
  status.set_pending_requests(50);
  status.set_open_records(200'000);
  // 120,000 upstreams over 19,000 entry hosts are 6 to 7 for each.
  for (std::uint64_t n = 0; n < 7; ++n) {
    auto& upstream = *status.add_upstreams();
    upstream.set_incarnation(n * 0x0123456789abcdef);
    upstream.set_service("service-1");
    upstream.set_address("10.0.0.2:8000");
    upstream.set_slots(3);
    upstream.set_usable_slots(3);
    upstream.set_outstanding(2);
    upstream.set_state("ready");
  }
  return out;
}

void measure_distribution(std::size_t services) {
  control_group group(1, 3, {});
  group.run(milliseconds(4'000));
  const auto reply = group.apply(declaration_of("first", 0, services, 0), milliseconds(60'000));
  auto& host = group.host(group.leader());
  if (reply.result() != wire::apply_reply::accepted) {
    print("declaration of " + std::to_string(services), reply.cause(), "accepted");
    return;
  }
  service_directory directory;
  const auto exchange = [&](const std::string& name, std::size_t bound) {
    const auto request = poll_of(1, directory);
    const auto response = host.sync(group.now, request);
    const bool is_applied = directory.apply(response.changes()).has_value() &&
                            directory.digest() == host.state().digest();
    print(name + ", " + std::to_string(services) + " services, bytes",
          is_applied ? std::to_string(request.ByteSizeLong() + response.ByteSizeLong())
                     : "not applied",
          bound);
  };
  for (std::uint32_t n = 2; n < 40; ++n)
    host.sync(group.now, poll_of(n, directory));
  // A host receives the complete configuration once after its start. The bound follows from the
  // size of the declaration.
  exchange("poll, complete",
           max_idle_bytes + declaration_of("x", 0, services, 0).ByteSizeLong() * 3 / 2);
  exchange("poll, idle", max_idle_bytes);
  const cost_since_start cost(group);
  const auto changed =
      group.apply(declaration_of("second", 1, services, services / 2), milliseconds(60'000));
  if (changed.result() != wire::apply_reply::accepted)
    return print("change of one service", changed.cause(), "accepted");
  print("log, one changed service, " + std::to_string(services) + " services, 3 voters, bytes",
        cost.bytes_until(group), 2 * max_change_bytes);
  exchange("poll, one changed service", max_change_bytes);
}

void measure_restart_and_learner() {
  constexpr std::uint64_t changes = 1'000;
  constexpr std::size_t services = 100;
  control_host_settings settings;
  settings.compaction_entries = 300;
  control_group group(1, 3, settings);
  group.run(milliseconds(4'000));
  for (std::uint64_t n = 0; n < changes; ++n)
    group.apply(declaration_of("op" + std::to_string(n), n, services, n), milliseconds(3'000));
  const auto leader = group.leader();
  auto& files = group.members.at(leader)->files;
  const auto snapshot_bytes = files.size_of("snapshot");
  const auto name = "after " + std::to_string(changes) + " changes of " + std::to_string(services) +
                    " services, ";
  print(name + "bytes of snapshot and log", snapshot_bytes + files.size_of("log"), "none");
  const std::uint64_t id = leader == 1 ? 2 : 1;
  group.stop(id);
  group.start(id);
  const auto& log = group.host(id).node().log();
  print(name + "entries to apply again after a restart", log.last_index() - log.snapshot_index(),
        settings.compaction_entries);
  const cost_since_start cost(group);
  const auto revision = group.host(leader).state().revision();
  while (group.host(id).state().revision() < revision)
    group.run(control_group::step_time);
  print(name + "ms until a restarted voter is current", cost.milliseconds_until(group),
        std::chrono::milliseconds(settings.raft.heartbeat_interval + control_group::step_time)
            .count());
  print(name + "bytes until a restarted voter is current", cost.bytes_until(group), 5'000);

  group.add(4);
  group.start(4);
  wire::members_request add;
  add.set_action(wire::members_request::add_learner);
  add.set_operation_id("add");
  add.set_author("operator");
  *add.mutable_member() = control_group::control_member_of(4);
  const cost_since_start learner_cost(group);
  group.change(add, milliseconds(3'000));
  while (group.host(4).state().revision() < revision)
    group.run(control_group::step_time);
  print(name + "messages to bring a learner up", learner_cost.messages_until(group),
        2 * ((snapshot_bytes + files.size_of("log")) / settings.raft.chunk_bytes + 2) + 40);
  print(name + "bytes to bring a learner up", learner_cost.bytes_until(group),
        2 * (snapshot_bytes + files.size_of("log")));
}

} // namespace
} // namespace zinnia

int main() {
  for (const std::uint64_t voters : {3U, 5U})
    zinnia::measure_election(voters);
  zinnia::measure_restart_and_learner();
  for (const std::size_t services : {10U, 100U, 1'000U, 5'000U, 17'000U})
    zinnia::measure_distribution(services);
  return 0;
}
