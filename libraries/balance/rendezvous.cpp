#include "zinniarelay/balance/rendezvous.h"

#include <array>
#include <cmath>
#include <xxhash.h>

namespace zinnia {
namespace {

// Maps a hash into the open interval (0, 1), so that its logarithm is finite.
double to_unit_interval(std::uint64_t hash) {
  constexpr double scale = 0x1p-53;
  return (static_cast<double>(hash >> 11U) + 0.5) * scale;
}

double score(std::uint64_t key, const weighted_host& host) {
  const std::array<std::uint64_t, 2> input{key, host.id.value};
  return -host.weight / std::log(to_unit_interval(XXH64(input.data(), sizeof input, 0)));
}

template <class Hosts, class Weight>
std::optional<host_id> highest_scoring(std::uint64_t key, const Hosts& hosts, Weight with_weight) {
  std::optional<host_id> chosen;
  double highest = 0;
  for (const auto& host : hosts) {
    const weighted_host candidate = with_weight(host);
    if (!(candidate.weight > 0)) continue;
    const double value = score(key, candidate);
    if (!chosen || value > highest || (value == highest && candidate.id < *chosen)) {
      chosen = candidate.id;
      highest = value;
    }
  }
  return chosen;
}

} // namespace

std::optional<host_id> rendezvous(std::uint64_t key, std::span<const weighted_host> hosts) {
  return highest_scoring(key, hosts, [](const weighted_host& it) { return it; });
}

std::optional<host_id> rendezvous(std::uint64_t key, std::span<const host_id> hosts) {
  return highest_scoring(key, hosts, [](host_id it) { return weighted_host{it, 1.0}; });
}

} // namespace zinnia
