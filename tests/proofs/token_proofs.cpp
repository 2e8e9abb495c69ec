#include "proofs/proof.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/token/key_ring.h"

namespace zinnia::proofs {
namespace {

token_key random_key(std::uint8_t generation, random_engine& engine) {
  token_key key;
  key.generation = generation;
  for (auto& byte : key.secret)
    byte = static_cast<std::uint8_t>(engine());
  return key;
}

proof_result forged_tokens_are_refused(std::uint64_t seed) {
  constexpr int attempts = 10'000;
  random_engine engine(seed);
  const auto ring = key_ring::create({random_key(1, engine), random_key(2, engine)}, 2).value();
  for (int n = 0; n < attempts; ++n) {
    flow_token token;
    token.service = service_id{static_cast<std::uint32_t>(engine())};
    token.flow = flow_id{engine()};
    const auto sealed = ring.seal(token);
    auto forged = sealed;
    forged[engine() % forged.size()] ^= static_cast<char>(1U << (engine() % 8));
    if (ring.open(forged).has_value()) return {false, "accepted forged token " + std::to_string(n)};
    if (!(ring.open(sealed).value() == token)) return {false, "a field of the token was lost"};
  }
  return {true, std::to_string(attempts) + " forged tokens refused"};
}

const proof_registration registered({{"P2", "forged token", 1, forged_tokens_are_refused}});

} // namespace
} // namespace zinnia::proofs
