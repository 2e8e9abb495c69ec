#include "zinniarelay/token/key_ring.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinnia;

token_key key_of(std::uint8_t generation) {
  token_key key;
  key.generation = generation;
  key.secret.fill(generation);
  return key;
}

flow_token sample_token() {
  return {service_id{7}, 3, zone_id{2}, host_id{11}, incarnation_id{0x1122334455667788ULL}, 5,
          flow_id{99}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(key_ring_test)

BOOST_AUTO_TEST_CASE(sealed_token_opens_unchanged) {
  const auto ring = key_ring::create({key_of(1)}, 1).value();
  const auto sealed = ring.seal(sample_token());
  BOOST_TEST(sealed.size() == sealed_token_size);
  BOOST_TEST((ring.open(sealed).value() == sample_token()));
}

// Guards against accepting a damaged or forged token, whose packet would then be routed
// (docs/design.md R3).
BOOST_AUTO_TEST_CASE(token_with_a_flipped_bit_is_refused) {
  const auto ring = key_ring::create({key_of(1), key_of(2)}, 1).value();
  const auto sealed = ring.seal(sample_token());
  for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    auto damaged = sealed;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1U << (bit % 8)));
    BOOST_TEST(!ring.open(damaged).has_value());
  }
}

BOOST_AUTO_TEST_CASE(truncated_and_oversized_tokens_are_refused) {
  const auto ring = key_ring::create({key_of(1)}, 1).value();
  const auto sealed = ring.seal(sample_token());
  BOOST_TEST((ring.open(sealed.substr(1)).error().kind == error_kind::malformed));
  BOOST_TEST((ring.open(sealed + "x").error().kind == error_kind::malformed));
  BOOST_TEST((ring.open("").error().kind == error_kind::malformed));
}

// Guards against a key rotation after which tokens sealed with the previous key are
// refused.
BOOST_AUTO_TEST_CASE(both_generations_open_during_rotation) {
  const auto before = key_ring::create({key_of(1)}, 1).value();
  const auto staged = key_ring::create({key_of(1), key_of(2)}, 1).value();
  const auto active = key_ring::create({key_of(1), key_of(2)}, 2).value();
  BOOST_TEST(active.open(before.seal(sample_token())).has_value());
  BOOST_TEST(staged.open(active.seal(sample_token())).has_value());
  BOOST_TEST((before.open(active.seal(sample_token())).error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(duplicate_and_missing_generations_are_refused) {
  BOOST_TEST((key_ring::create({key_of(1), key_of(1)}, 1).error().kind == error_kind::conflict));
  BOOST_TEST((key_ring::create({key_of(1)}, 2).error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_SUITE_END()
