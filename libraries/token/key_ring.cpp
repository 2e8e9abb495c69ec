#include "zinniarelay/token/key_ring.h"

#include <algorithm>
#include <cstring>
#include <sodium.h>

namespace zinnia {
namespace {

constexpr std::uint8_t token_version = 1;
constexpr std::size_t tag_size = 16; // bytes
constexpr std::size_t body_size = sealed_token_size - tag_size;

class byte_writer {
public:
  explicit byte_writer(std::string& out) : out_(out) {}

  template <class Integer>
  void put(Integer value) {
    for (std::size_t shift = 0; shift < sizeof value; ++shift)
      out_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * shift)));
  }

private:
  std::string& out_;
};

class byte_reader {
public:
  explicit byte_reader(std::string_view in) : in_(in) {}

  template <class Integer>
  void take(Integer& value) {
    std::uint64_t sum = 0;
    for (std::size_t shift = 0; shift < sizeof value; ++shift)
      sum |= std::uint64_t{static_cast<std::uint8_t>(in_[at_ + shift])} << (8 * shift);
    at_ += sizeof value;
    value = static_cast<Integer>(sum);
  }

private:
  std::string_view in_;
  std::size_t at_ = 0;
};

std::array<std::uint8_t, tag_size> tag_of(std::string_view body, const token_key& key) {
  std::array<std::uint8_t, tag_size> tag{};
  crypto_generichash(tag.data(), tag.size(), reinterpret_cast<const unsigned char*>(body.data()),
                     body.size(), key.secret.data(), key.secret.size());
  return tag;
}

} // namespace

key_ring::key_ring(std::vector<token_key> keys, token_key active)
    : keys_(std::move(keys)), active_(active) {}

result<key_ring> key_ring::create(std::vector<token_key> keys, std::uint8_t active_generation) {
  if (sodium_init() < 0)
    return failure(error_kind::unavailable, "key ring", "libsodium failed to start");
  std::sort(keys.begin(), keys.end(),
            [](const auto& a, const auto& b) { return a.generation < b.generation; });
  const auto twin = std::adjacent_find(keys.begin(), keys.end(), [](const auto& a, const auto& b) {
    return a.generation == b.generation;
  });
  if (twin != keys.end())
    return failure(error_kind::conflict, "key ring",
                   "two keys of generation " + std::to_string(twin->generation));
  const auto active = std::find_if(
      keys.begin(), keys.end(), [&](const auto& it) { return it.generation == active_generation; });
  if (active == keys.end())
    return failure(error_kind::not_found, "key ring",
                   "no key of the active generation " + std::to_string(active_generation));
  const token_key chosen = *active;
  return key_ring(std::move(keys), chosen);
}

std::string key_ring::seal(const flow_token& token) const {
  std::string out;
  out.reserve(sealed_token_size);
  byte_writer writer(out);
  writer.put(token_version);
  writer.put(active_.generation);
  writer.put(token.zone.value);
  writer.put(token.service.value);
  writer.put(token.service_generation);
  writer.put(token.executing_host.value);
  writer.put(token.executing_incarnation.value);
  writer.put(token.record_epoch);
  writer.put(token.flow.value);
  const auto tag = tag_of(out, active_);
  out.append(reinterpret_cast<const char*>(tag.data()), tag.size());
  return out;
}

result<flow_token> key_ring::open(std::string_view sealed) const {
  if (sealed.size() != sealed_token_size)
    return failure(error_kind::malformed, "flow token",
                   "has " + std::to_string(sealed.size()) + " bytes, expected " +
                       std::to_string(sealed_token_size));
  const auto version = static_cast<std::uint8_t>(sealed[0]);
  if (version != token_version)
    return failure(error_kind::malformed, "flow token",
                   "unknown version " + std::to_string(version));
  const auto generation = static_cast<std::uint8_t>(sealed[1]);
  const auto key = std::find_if(keys_.begin(), keys_.end(),
                                [&](const auto& it) { return it.generation == generation; });
  if (key == keys_.end())
    return failure(error_kind::not_found, "flow token",
                   "unknown key generation " + std::to_string(generation));
  const auto body = sealed.substr(0, body_size);
  const auto tag = tag_of(body, *key);
  // A comparison in constant time does not tell a forger how many bytes were right.
  if (sodium_memcmp(tag.data(), sealed.data() + body_size, tag_size) != 0)
    return failure(error_kind::unauthorized, "flow token", "wrong tag");
  flow_token token;
  byte_reader reader(body.substr(2));
  reader.take(token.zone.value);
  reader.take(token.service.value);
  reader.take(token.service_generation);
  reader.take(token.executing_host.value);
  reader.take(token.executing_incarnation.value);
  reader.take(token.record_epoch);
  reader.take(token.flow.value);
  return token;
}

} // namespace zinnia
