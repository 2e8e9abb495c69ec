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
  void write(Integer value) {
    for (std::size_t shift = 0; shift < sizeof value; ++shift)
      out_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * shift)));
  }

private:
  std::string& out_;
};

class byte_reader {
public:
  explicit byte_reader(std::string_view bytes) : bytes_(bytes) {}

  template <class Integer>
  void read(Integer& value) {
    std::uint64_t decoded = 0;
    for (std::size_t shift = 0; shift < sizeof value; ++shift)
      decoded |= std::uint64_t{static_cast<std::uint8_t>(bytes_[position_ + shift])} << (8 * shift);
    position_ += sizeof value;
    value = static_cast<Integer>(decoded);
  }

private:
  std::string_view bytes_;
  std::size_t position_ = 0;
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
    return failure(error_kind::unavailable, "key ring", "libsodium initialization failed");
  std::sort(keys.begin(), keys.end(),
            [](const auto& a, const auto& b) { return a.generation < b.generation; });
  const auto duplicate =
      std::adjacent_find(keys.begin(), keys.end(),
                         [](const auto& a, const auto& b) { return a.generation == b.generation; });
  if (duplicate != keys.end())
    return failure(error_kind::conflict, "key ring",
                   "two keys of generation " + std::to_string(duplicate->generation));
  const auto active = std::find_if(
      keys.begin(), keys.end(), [&](const auto& it) { return it.generation == active_generation; });
  if (active == keys.end())
    return failure(error_kind::not_found, "key ring",
                   "no key of the active generation " + std::to_string(active_generation));
  const token_key active_key = *active;
  return key_ring(std::move(keys), active_key);
}

std::string key_ring::seal(const flow_token& token) const {
  std::string out;
  out.reserve(sealed_token_size);
  byte_writer writer(out);
  writer.write(token_version);
  writer.write(active_.generation);
  writer.write(token.zone.value);
  writer.write(token.service.value);
  writer.write(token.service_generation);
  writer.write(token.executing_host.value);
  writer.write(token.executing_incarnation.value);
  writer.write(token.record_epoch);
  writer.write(token.flow.value);
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
  // The comparison takes constant time. Otherwise its duration would reveal to an attacker
  // how many bytes of a forged tag are correct.
  if (sodium_memcmp(tag.data(), sealed.data() + body_size, tag_size) != 0)
    return failure(error_kind::unauthorized, "flow token", "wrong tag");
  flow_token token;
  byte_reader reader(body.substr(2));
  reader.read(token.zone.value);
  reader.read(token.service.value);
  reader.read(token.service_generation);
  reader.read(token.executing_host.value);
  reader.read(token.executing_incarnation.value);
  reader.read(token.record_epoch);
  reader.read(token.flow.value);
  return token;
}

} // namespace zinnia
