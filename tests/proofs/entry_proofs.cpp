#include "proofs/proof.h"
#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/entry/packet_router.h"
#include "zinniarelay/token/key_ring.h"

#include <memory>

namespace zinnia::proofs {
namespace {

constexpr std::uint32_t service_count = 3;
constexpr std::uint32_t address_count = 4;

endpoint address_of(std::uint32_t n) {
  return {0x0A000001U + n, 7000};
}

// Generates successive configurations in which services move between addresses. An address that
// one service releases is soon assigned to another service.
std::vector<wire::configuration> generate_configurations(std::size_t length,
                                                         random_engine& engine) {
  std::vector<wire::configuration> out;
  std::vector<std::uint32_t> address_index{0, 1, 2};
  std::vector<std::uint32_t> generation{1, 1, 1};
  for (std::size_t revision = 1; revision <= length; ++revision) {
    const auto moved_service = engine() % service_count;
    const auto target_index = static_cast<std::uint32_t>(engine() % address_count);
    for (std::uint32_t n = 0; n < service_count; ++n) {
      if (address_index[n] != target_index || n == moved_service) continue;
      address_index[n] = address_index[moved_service];
      ++generation[n];
    }
    if (address_index[moved_service] != target_index) ++generation[moved_service];
    address_index[moved_service] = target_index;
    wire::configuration configuration;
    configuration.set_revision(revision);
    std::uint64_t sum = 0;
    for (std::uint32_t n = 0; n < service_count; ++n) {
      auto& entry = *configuration.add_services();
      entry.set_id(n + 1);
      entry.set_generation(generation[n]);
      entry.mutable_declaration()->set_name("service-" + std::to_string(n + 1));
      entry.mutable_declaration()->set_address(address_of(address_index[n]).to_string());
      sum += digest_of(entry);
    }
    configuration.set_digest(digest_of(revision, sum));
    out.push_back(std::move(configuration));
  }
  return out;
}

// Three hosts with configurations of different ages route packets that callers sent to addresses
// from older configurations.
proof_result stale_configurations(std::uint64_t seed) {
  constexpr int packets = 20'000;
  constexpr std::size_t hosts = 3;
  constexpr std::size_t max_flows = 100;
  random_engine engine(seed);
  const auto changes = generate_configurations(200, engine);
  const member_table members({host_id{1}, incarnation_id{1}, zone_id{1}, {1, 1}}, {}, seed);
  std::vector<service_directory> directories(hosts);
  std::vector<std::size_t> next_change(hosts, 0);
  std::vector<std::pair<flow_token, endpoint>> flows;
  int handled = 0;
  int refused = 0;
  for (int n = 0; n < packets; ++n) {
    const auto host = engine() % hosts;
    auto& directory = directories[host];
    if (engine() % 20 == 0 && next_change[host] < changes.size()) {
      // Some changes are lost, and some old changes arrive again.
      next_change[host] = std::min(next_change[host] + 1 + engine() % 3, changes.size());
      static_cast<void>(directory.apply(changes[next_change[host] - 1]));
      static_cast<void>(directory.apply(changes[engine() % next_change[host]]));
    }
    const packet_router router(host_id{1}, directory, members);
    const auto address = address_of(static_cast<std::uint32_t>(engine() % address_count));
    const auto* service = directory.find(address);
    if (service != nullptr) {
      flow_token token;
      token.service = service_id{service->id()};
      token.service_generation = service->generation();
      token.executing_host = host_id{1};
      if (flows.size() < max_flows)
        flows.emplace_back(token, address);
      else
        flows[engine() % flows.size()] = {token, address};
    }
    if (flows.empty()) continue;
    auto [token, destination] = flows[engine() % flows.size()];
    if (engine() % 4 == 0) destination = address;
    const auto decision = router.route(token, destination, wire::idempotent, 1);
    if (!std::holds_alternative<handle_here>(decision)) {
      ++refused;
      continue;
    }
    ++handled;
    const auto* current_service = directory.find(destination);
    if (current_service == nullptr || current_service->id() != token.service.value)
      return {false, "a packet for " + destination.to_string() + " reached another service"};
    if (current_service->generation() != token.service_generation)
      return {false, "a flow of a former service at " + destination.to_string() + " was served"};
  }
  if (handled == 0 || refused == 0)
    return {false, "the schedule had no handled or no refused packet"};
  return {true,
          std::to_string(handled) + " packets handled, " + std::to_string(refused) + " refused"};
}

const proof_registration
    registered({{"P2", "stale configurations and reassigned addresses", 1, stale_configurations},
                {"P2", "stale configurations and reassigned addresses", 2, stale_configurations},
                {"P2", "stale configurations and reassigned addresses", 3, stale_configurations}});

} // namespace
} // namespace zinnia::proofs
