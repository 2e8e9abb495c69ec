#include "zinniarelay/flow/warmup_limit.h"

#include <bit>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr std::uint64_t limit_seed = 2;

} // namespace

std::uint64_t digest_of(const warmup_limits& limits) {
  std::uint64_t out = 0;
  for (const auto& [service, it] : limits) {
    const auto text = service + '/' + std::to_string(it.duration.count()) + '/' +
                      std::to_string(std::bit_cast<std::uint64_t>(it.rate));
    out += XXH64(text.data(), text.size(), limit_seed);
  }
  return out;
}

} // namespace zinnia
