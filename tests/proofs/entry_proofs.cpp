#include "proofs/proof.h"
#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/entry/packet_router.h"
#include "zinniarelay/token/key_ring.h"

#include <memory>

namespace zinnia::proofs {
namespace {

constexpr std::uint32_t services = 3;
constexpr std::uint32_t addresses = 4;

endpoint address_of(std::uint32_t n) {
  return {0x0A000001U + n, 7000};
}

// A history of configurations in which services move between addresses. An address
// that a service leaves is soon taken by another one.
std::vector<wire::configuration> history(std::size_t length, random_engine& engine) {
  std::vector<wire::configuration> out;
  std::vector<std::uint32_t> place{0, 1, 2};
  std::vector<std::uint32_t> generation{1, 1, 1};
  for (std::size_t revision = 1; revision <= length; ++revision) {
    const auto moved = engine() % services;
    const auto target = static_cast<std::uint32_t>(engine() % addresses);
    for (std::uint32_t n = 0; n < services; ++n) {
      if (place[n] != target || n == moved) continue;
      place[n] = place[moved];
      ++generation[n];
    }
    if (place[moved] != target) ++generation[moved];
    place[moved] = target;
    wire::configuration it;
    it.set_revision(revision);
    std::uint64_t sum = 0;
    for (std::uint32_t n = 0; n < services; ++n) {
      auto& entry = *it.add_services();
      entry.set_id(n + 1);
      entry.set_generation(generation[n]);
      entry.mutable_declaration()->set_name("service-" + std::to_string(n + 1));
      entry.mutable_declaration()->set_address(address_of(place[n]).to_string());
      sum += digest_of(entry);
    }
    it.set_digest(digest_of(revision, sum));
    out.push_back(std::move(it));
  }
  return out;
}

// Three hosts with configurations of different ages route packets that callers sent
// to addresses they once learned.
verdict stale_configurations(std::uint64_t seed) {
  constexpr int packets = 20'000;
  constexpr std::size_t hosts = 3;
  constexpr std::size_t remembered_flows = 100;
  random_engine engine(seed);
  const auto changes = history(200, engine);
  const member_table members({host_id{1}, incarnation_id{1}, zone_id{1}, {1, 1}}, {}, seed);
  std::vector<service_directory> directories(hosts);
  std::vector<std::size_t> next(hosts, 0);
  std::vector<std::pair<flow_token, endpoint>> flows;
  int handled = 0;
  int refused = 0;
  for (int n = 0; n < packets; ++n) {
    const auto host = engine() % hosts;
    auto& directory = directories[host];
    if (engine() % 20 == 0 && next[host] < changes.size()) {
      // Some changes are missed, and some old ones arrive again.
      next[host] = std::min(next[host] + 1 + engine() % 3, changes.size());
      static_cast<void>(directory.apply(changes[next[host] - 1]));
      static_cast<void>(directory.apply(changes[engine() % next[host]]));
    }
    const packet_router router(host_id{1}, directory, members);
    const auto address = address_of(static_cast<std::uint32_t>(engine() % addresses));
    const auto* here = directory.find(address);
    if (here != nullptr) {
      flow_token token;
      token.service = service_id{here->id()};
      token.service_generation = here->generation();
      token.executing_host = host_id{1};
      if (flows.size() < remembered_flows)
        flows.emplace_back(token, address);
      else
        flows[engine() % flows.size()] = {token, address};
    }
    if (flows.empty()) continue;
    auto [token, sent_to] = flows[engine() % flows.size()];
    if (engine() % 4 == 0) sent_to = address;
    const auto seen = router.route(token, sent_to, wire::idempotent, 1);
    if (!std::holds_alternative<handle_here>(seen)) {
      ++refused;
      continue;
    }
    ++handled;
    const auto* owner = directory.find(sent_to);
    if (owner == nullptr || owner->id() != token.service.value)
      return {false, "a packet for " + sent_to.to_string() + " reached another service"};
    if (owner->generation() != token.service_generation)
      return {false, "a flow of a former owner of " + sent_to.to_string() + " was served"};
  }
  if (handled == 0 || refused == 0) return {false, "the schedule covered nothing"};
  return {true,
          std::to_string(handled) + " packets handled, " + std::to_string(refused) + " refused"};
}

const registration
    added({{"P2", "stale configurations and reassigned addresses", 1, stale_configurations},
           {"P2", "stale configurations and reassigned addresses", 2, stale_configurations},
           {"P2", "stale configurations and reassigned addresses", 3, stale_configurations}});

} // namespace
} // namespace zinnia::proofs
