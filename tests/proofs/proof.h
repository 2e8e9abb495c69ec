#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace zinnia::proofs {

/// What a proof saw; the detail names the first violation or the amount checked.
struct verdict {
  bool held = false;
  std::string detail;
};

/// One case of meta/prove: a promise (P1 to P10 of docs/design.md) under a fault.
struct proof {
  std::string promise;
  std::string fault;
  std::uint64_t seed = 0;
  std::function<verdict(std::uint64_t seed)> run;
};

/// All proofs linked into the program.
std::vector<proof>& registry();

/// Registers proofs when a translation unit is loaded:
/// const registration added({{"P5", "executing host killed", 1, run_it}});
struct registration {
  explicit registration(std::vector<proof> list);
};

} // namespace zinnia::proofs
