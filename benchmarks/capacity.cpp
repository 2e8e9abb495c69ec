#include "model/processor_time.h"
#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/config/service_directory.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/entry/packet_router.h"
#include "zinniarelay/membership/member_table.h"
#include "zinniarelay/replication/memory_storage.h"
#include "zinniarelay/token/key_ring.h"

#include <algorithm>
#include <cstdio>
#include <glog/logging.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

// Measures how cost grows with size, for the calculations of docs/CAPACITY.md: routing a packet,
// membership traffic and processor time by the number of hosts, and the configuration in force by
// the number of services. Prints one line per measure: measure | value | bound.

namespace {

using namespace zinnia;

constexpr std::uint64_t seed = 1;
// docs/design.md section 1.
constexpr double max_route_microseconds = 1;
constexpr double max_control_bytes = 18e3;              // per second and host
constexpr double max_control_microseconds = 0.04 * 1e6; // per second and host, 4% of a core
constexpr double max_control_megabytes = 64;
// Applying 110,000 changes of one service a day takes at most 4% of a core.
constexpr double max_change_microseconds = max_control_microseconds / (110'000.0 / 86'400.0);

bool has_missed_bound = false;

void print(const std::string& measure, double value, const char* unit, double bound) {
  const bool is_met = value <= bound;
  has_missed_bound = has_missed_bound || !is_met;
  std::printf("%s | %.3f %s | at most %.3f | %s\n", measure.c_str(), value, unit, bound,
              is_met ? "held" : "missed");
}

double heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

wire::service_entry service_of(std::uint32_t id) {
  wire::service_entry entry;
  entry.set_id(id);
  entry.set_generation(1);
  entry.set_modified_revision(id);
  auto& declaration = *entry.mutable_declaration();
  declaration.set_name("service-" + std::to_string(id));
  declaration.set_address(endpoint{0x0A000000U + id, 7000}.to_string());
  declaration.set_credential_digest(std::string(32, 'd'));
  for (const auto* name : {"lookup", "certify"}) {
    auto& method = *declaration.add_methods();
    method.set_name(name);
    method.set_kind(wire::idempotent);
    method.set_deadline_ms(30'000);
  }
  return entry;
}

void measure_routing() {
  constexpr int samples = 2'001;
  constexpr int packets_per_sample = 100;
  token_key key;
  key.generation = 1;
  key.secret.fill(3);
  const auto ring = key_ring::create({key}, 1).value();
  service_directory directory;
  wire::configuration configuration;
  configuration.set_revision(1);
  *configuration.add_services() = service_of(1);
  configuration.set_digest(digest_of(1, digest_of(configuration.services(0))));
  CHECK(directory.apply(configuration));
  const member_table members({host_id{1}, incarnation_id{1}, zone_id{1}, {1, 1}}, {}, seed);
  const packet_router router(host_id{1}, directory, members);
  flow_token token;
  token.service = service_id{1};
  token.service_generation = 1;
  token.executing_host = host_id{1};
  const auto sealed = ring.seal(token);
  const endpoint address{0x0A000001U, 7000};
  std::vector<double> times;
  for (int n = 0; n < samples; ++n) {
    const auto start = bench::processor_microseconds();
    for (int i = 0; i < packets_per_sample; ++i) {
      const auto opened = ring.open(sealed);
      const auto decision = router.route(opened.value(), address, wire::idempotent, 1);
      CHECK(std::holds_alternative<handle_here>(decision));
    }
    times.push_back((bench::processor_microseconds() - start) / packets_per_sample);
  }
  std::nth_element(times.begin(), times.begin() + samples / 2, times.end());
  print("routing a packet from its token, median of " + std::to_string(samples) + " runs",
        times[samples / 2], "us", max_route_microseconds);
}

// Runs all hosts of one zone in this process. Packets arrive at the next tick.
void measure_membership(std::size_t hosts) {
  constexpr milliseconds tick{50};
  constexpr int warm_up_ticks = 200;
  constexpr int ticks = 400; // 20 s
  const double heap_before = heap_bytes();
  std::vector<std::unique_ptr<member_table>> tables;
  std::vector<host_address> addresses;
  for (std::size_t n = 0; n < hosts; ++n)
    addresses.push_back({host_id{static_cast<std::uint32_t>(n + 1)}, zone_id{1},
                         endpoint{static_cast<std::uint32_t>(n), 1}});
  for (std::size_t n = 0; n < hosts; ++n) {
    tables.push_back(std::make_unique<member_table>(
        local_member{addresses[n].id, incarnation_id{n + 1}, zone_id{1}, addresses[n].address},
        member_settings{}, seed + n));
    tables[n]->step({}, addresses_updated{{addresses[(n + 1) % hosts]}});
  }
  struct packet {
    std::size_t to = 0;
    probe_received event;
  };
  std::vector<packet> in_flight;
  std::uint64_t bytes = 0;
  double processor_time = 0; // microseconds
  for (int n = 0; n < warm_up_ticks + ticks; ++n) {
    const time_point now{tick * n};
    if (n == warm_up_ticks) bytes = 0;
    const auto start = bench::processor_microseconds();
    std::vector<packet> sent;
    const auto execute = [&](std::size_t from, const member_effects& effects) {
      for (const auto& it : effects) {
        const auto* probe = std::get_if<send_probe>(&it);
        if (probe == nullptr) continue;
        bytes += probe->packet.ByteSizeLong() + 28; // IPv4 and UDP headers
        sent.push_back({probe->to.address, {addresses[from].address, probe->packet}});
      }
    };
    for (const auto& it : in_flight)
      execute(it.to, tables[it.to]->step(now, it.event));
    for (std::size_t host = 0; host < hosts; ++host) {
      if (n % 20 == 0) {
        host_load load;
        load.services.push_back({service_id{1}, 3, static_cast<std::uint32_t>(n), 0, {}});
        execute(host, tables[host]->step(now, load_measured{load}));
      }
      execute(host, tables[host]->step(now, membership_tick{}));
    }
    in_flight = std::move(sent);
    if (n >= warm_up_ticks) processor_time += bench::processor_microseconds() - start;
  }
  const double seconds = std::chrono::duration<double>(tick * ticks).count();
  const auto count = static_cast<double>(hosts);
  const auto where = ", " + std::to_string(hosts) + " hosts in one zone";
  std::size_t member_count = 0;
  for (const auto& it : tables)
    member_count += it->members().size();
  std::printf("members known per host%s | %.1f\n", where.c_str(),
              static_cast<double>(member_count) / count);
  print("membership bytes sent a second and host" + where,
        static_cast<double>(bytes) / seconds / count, "B/s", max_control_bytes);
  print("membership processor time a second and host" + where, processor_time / seconds / count,
        "us/s", max_control_microseconds);
  print("membership memory per host" + where, (heap_bytes() - heap_before) / count / 1e6, "MB",
        max_control_megabytes);
}

void measure_directory(std::uint32_t services) {
  constexpr std::uint32_t changes = 50;
  const double heap_before = heap_bytes();
  auto directory = std::make_unique<service_directory>();
  std::uint64_t digest_sum = 0; // over all services
  {
    wire::configuration configuration;
    configuration.set_revision(services);
    for (std::uint32_t id = 1; id <= services; ++id) {
      *configuration.add_services() = service_of(id);
      digest_sum += digest_of(service_of(id));
    }
    configuration.set_digest(digest_of(configuration.revision(), digest_sum));
    CHECK(directory->apply(configuration));
  }
  const auto where = ", " + std::to_string(services) + " services";
  print("configuration in force, memory" + where, (heap_bytes() - heap_before) / 1e6, "MB",
        max_control_megabytes);
  std::vector<wire::configuration> updates;
  for (std::uint32_t n = 1; n <= changes; ++n) {
    wire::configuration update;
    update.set_revision(services + n);
    update.set_base_revision(services + n - 1);
    *update.add_services() = service_of(services + n);
    digest_sum += digest_of(service_of(services + n));
    update.set_digest(digest_of(update.revision(), digest_sum));
    updates.push_back(update);
  }
  const auto start = bench::processor_microseconds();
  for (const auto& it : updates)
    CHECK(directory->apply(it));
  print("applying a change of one service" + where,
        (bench::processor_microseconds() - start) / changes, "us", max_change_microseconds);
}

wire::sync_request poll_of(std::uint32_t host) {
  constexpr int upstreams = 7; // 120,000 upstreams over 19,000 entry hosts
  wire::sync_request request;
  auto& status = *request.mutable_status();
  status.set_host(host);
  status.set_incarnation(host);
  status.set_zone(1);
  status.set_state("serving");
  status.set_peer_address("10.0.0.1:7300");
  status.set_registration_address("10.0.0.1:7400");
  for (int n = 0; n < upstreams; ++n) {
    auto& upstream = *status.add_upstreams();
    upstream.set_incarnation(seed + static_cast<std::uint64_t>(n));
    upstream.set_service("registry");
    upstream.set_address("10.0.0.2:7500");
    upstream.set_slots(3);
    upstream.set_state("serving");
  }
  return request;
}

// Measures a control host that forms a quorum alone and replies to the polls of many entry hosts.
void measure_polls(std::uint32_t hosts) {
  constexpr int rounds = 3;
  // 19,000 entry hosts poll once a second; each of 21 control hosts may use one core.
  constexpr double max_poll_microseconds = 1e6 * 21 / 19'000;
  memory_storage files;
  random_engine engine(seed);
  control_host_settings settings;
  settings.self.set_id(1);
  settings.self.set_address("10.0.0.3:7100");
  settings.founders = {settings.self};
  CHECK(control_host::initialize(files, settings, engine));
  auto control = control_host::open(files, settings, engine, {});
  CHECK(control);
  time_point now{};
  for (int n = 0; n < 200; ++n)
    control.value().tick(now += milliseconds(50));
  const double heap_before = heap_bytes();
  const auto start = bench::processor_microseconds();
  std::uint64_t bytes = 0;
  for (int round = 0; round < rounds; ++round) {
    for (std::uint32_t host = 1; host <= hosts; ++host) {
      const auto request = poll_of(host);
      bytes += request.ByteSizeLong() + control.value().sync(now, request).ByteSizeLong();
    }
    now += milliseconds(1000);
  }
  const auto where = ", " + std::to_string(hosts) + " entry hosts";
  const auto polls = static_cast<double>(rounds) * hosts;
  print("control host, processor time of one poll" + where,
        (bench::processor_microseconds() - start) / polls, "us", max_poll_microseconds);
  std::printf("control host, bytes of one poll with 7 upstreams%s | %.1f\n", where.c_str(),
              static_cast<double>(bytes) / polls);
  std::printf("control host, memory per polling host%s | %.3f KB\n", where.c_str(),
              (heap_bytes() - heap_before) / hosts / 1e3);
}

} // namespace

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  measure_routing();
  for (const std::size_t hosts : {9U, 36U, 144U, 576U})
    measure_membership(hosts);
  for (const std::uint32_t services : {100U, 1'000U, 5'000U, 17'000U})
    measure_directory(services);
  for (const std::uint32_t hosts : {100U, 1'000U, 5'000U, 19'000U})
    measure_polls(hosts);
  return has_missed_bound ? 1 : 0;
}
