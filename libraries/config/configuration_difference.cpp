#include "zinniarelay/config/configuration_difference.h"

#include <array>
#include <map>
#include <xxhash.h>

namespace zinnia {
namespace {

using declaration = wire::service_declaration;

std::string describe(const wire::method_declaration& method) {
  return method.name() + '/' + wire::method_kind_Name(method.kind()) + '/' +
         std::to_string(method.deadline_ms()) + "ms";
}

std::string methods_of(const declaration& service) {
  std::string out;
  for (const auto& method : service.methods()) {
    if (!out.empty()) out += ' ';
    out += describe(method);
  }
  return out;
}

std::string hex_of(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (const auto byte : bytes) {
    out += digits[static_cast<std::uint8_t>(byte) >> 4U];
    out += digits[static_cast<std::uint8_t>(byte) & 15U];
  }
  return out;
}

struct compared_field {
  const char* name;
  std::string (*read)(const declaration&);
};

constexpr std::array compared_fields{
    compared_field{"address", [](const declaration& service) { return service.address(); }},
    compared_field{"methods", methods_of},
    compared_field{
        "retry_percent",
        [](const declaration& service) { return std::to_string(service.retry_percent()); }},
    compared_field{
        "join_requests",
        [](const declaration& service) { return std::to_string(service.join_requests()); }},
    compared_field{
        "drain_grace_ms",
        [](const declaration& service) { return std::to_string(service.drain_grace_ms()); }},
    compared_field{"credential_digest",
                   [](const declaration& service) { return hex_of(service.credential_digest()); }},
    compared_field{
        "queue_per_slot",
        [](const declaration& service) { return std::to_string(service.queue_per_slot()); }},
};

wire::difference entry_of(wire::difference::change_kind kind, const std::string& service) {
  wire::difference out;
  out.set_change(kind);
  out.set_service(service);
  return out;
}

} // namespace

std::string describe(const declaration& service) {
  std::string out = service.name();
  for (const auto& field : compared_fields)
    out += std::string(" ") + field.name + '=' + field.read(service);
  return out;
}

std::pair<std::string, std::string> describe_change(const declaration& before,
                                                    const declaration& after) {
  std::pair out(before.name(), after.name());
  for (const auto& field : compared_fields) {
    const std::pair values(field.read(before), field.read(after));
    if (values.first == values.second) continue;
    out.first += std::string(" ") + field.name + '=' + values.first;
    out.second += std::string(" ") + field.name + '=' + values.second;
  }
  return out;
}

google::protobuf::RepeatedPtrField<wire::difference>
differences(const wire::configuration& in_force,
            const google::protobuf::RepeatedPtrField<declaration>& declared) {
  struct versions {
    const declaration* before = nullptr;
    const declaration* after = nullptr;
  };
  std::map<std::string, versions> services;
  for (const auto& it : in_force.services())
    services[it.declaration().name()].before = &it.declaration();
  for (const auto& it : declared)
    services[it.name()].after = &it;

  google::protobuf::RepeatedPtrField<wire::difference> out;
  for (const auto& [name, service] : services) {
    if (service.before == nullptr) {
      auto added = entry_of(wire::difference::added, name);
      added.set_after(describe(*service.after));
      *out.Add() = std::move(added);
    } else if (service.after == nullptr) {
      auto removed = entry_of(wire::difference::removed, name);
      removed.set_before(describe(*service.before));
      *out.Add() = std::move(removed);
    } else {
      for (const auto& field : compared_fields) {
        const auto before = field.read(*service.before);
        const auto after = field.read(*service.after);
        if (before == after) continue;
        auto changed = entry_of(wire::difference::changed, name);
        changed.set_field(field.name);
        changed.set_before(before);
        changed.set_after(after);
        *out.Add() = std::move(changed);
      }
    }
  }
  return out;
}

// Item digests are summed, so a change updates the sum without a pass over all
// services. The leading byte distinguishes a service from a drain with equal bytes.
std::uint64_t digest_of(const wire::service_entry& entry) {
  const auto bytes = 's' + entry.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t digest_of(const wire::drain_entry& entry) {
  if (!entry.active()) return 0;
  const auto bytes = 'd' + entry.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t digest_of(std::uint64_t revision, std::uint64_t item_digest_sum) {
  const std::array<std::uint64_t, 2> words{revision, item_digest_sum};
  return XXH64(words.data(), sizeof words, 0);
}

} // namespace zinnia
