#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace zinnia::proofs {

/// The result of a proof. The detail names the first violation, or the number of checks if the
/// promise holds.
struct proof_result {
  bool is_held = false;
  std::string detail;
};

/// One case of meta/prove: a promise (P1 to P10 of docs/design.md) under a fault.
struct proof {
  std::string promise;
  std::string fault;
  std::uint64_t seed = 0;
  std::function<proof_result(std::uint64_t seed)> run;
};

/// Returns the proofs of all translation units that are linked into the program.
std::vector<proof>& registered_proofs();

/// Registers proofs during the static initialization of a translation unit:
/// const proof_registration registered({{"P5", "executing host killed", 1, run_proof}});
struct proof_registration {
  explicit proof_registration(std::vector<proof> list);
};

} // namespace zinnia::proofs
