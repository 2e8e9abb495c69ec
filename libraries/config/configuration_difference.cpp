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

std::string methods_of(const declaration& it) {
  std::string out;
  for (const auto& method : it.methods()) {
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

struct field {
  const char* name;
  std::string (*read)(const declaration&);
};

constexpr std::array fields{
    field{"address", [](const declaration& it) { return it.address(); }},
    field{"methods", methods_of},
    field{"retry_percent",
          [](const declaration& it) { return std::to_string(it.retry_percent()); }},
    field{"join_requests",
          [](const declaration& it) { return std::to_string(it.join_requests()); }},
    field{"drain_grace_ms",
          [](const declaration& it) { return std::to_string(it.drain_grace_ms()); }},
    field{"credential_digest",
          [](const declaration& it) { return hex_of(it.credential_digest()); }},
    field{"queue_per_slot",
          [](const declaration& it) { return std::to_string(it.queue_per_slot()); }},
};

wire::difference entry_of(wire::difference::change_kind kind, const std::string& service) {
  wire::difference out;
  out.set_change(kind);
  out.set_service(service);
  return out;
}

} // namespace

std::string describe(const declaration& it) {
  std::string out = it.name();
  for (const auto& each : fields)
    out += std::string(" ") + each.name + '=' + each.read(it);
  return out;
}

std::pair<std::string, std::string> describe_change(const declaration& before,
                                                    const declaration& after) {
  std::pair out(before.name(), after.name());
  for (const auto& each : fields) {
    const std::pair values(each.read(before), each.read(after));
    if (values.first == values.second) continue;
    out.first += std::string(" ") + each.name + '=' + values.first;
    out.second += std::string(" ") + each.name + '=' + values.second;
  }
  return out;
}

google::protobuf::RepeatedPtrField<wire::difference>
differences(const wire::configuration& in_force,
            const google::protobuf::RepeatedPtrField<declaration>& declared) {
  struct pair {
    const declaration* before = nullptr;
    const declaration* after = nullptr;
  };
  std::map<std::string, pair> services;
  for (const auto& it : in_force.services())
    services[it.declaration().name()].before = &it.declaration();
  for (const auto& it : declared)
    services[it.name()].after = &it;

  google::protobuf::RepeatedPtrField<wire::difference> out;
  for (const auto& [name, both] : services) {
    if (both.before == nullptr) {
      auto added = entry_of(wire::difference::added, name);
      added.set_after(describe(*both.after));
      *out.Add() = std::move(added);
    } else if (both.after == nullptr) {
      auto removed = entry_of(wire::difference::removed, name);
      removed.set_before(describe(*both.before));
      *out.Add() = std::move(removed);
    } else {
      for (const auto& each : fields) {
        const auto before = each.read(*both.before);
        const auto after = each.read(*both.after);
        if (before == after) continue;
        auto changed = entry_of(wire::difference::changed, name);
        changed.set_field(each.name);
        changed.set_before(before);
        changed.set_after(after);
        *out.Add() = std::move(changed);
      }
    }
  }
  return out;
}

// A sum over items lets a change update the digest without a pass over all
// services. The leading byte keeps a service and a drain with equal bytes apart.
std::uint64_t digest_of(const wire::service_entry& entry) {
  const auto bytes = 's' + entry.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t digest_of(const wire::drain_entry& entry) {
  if (!entry.active()) return 0;
  const auto bytes = 'd' + entry.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t digest_of(std::uint64_t revision, std::uint64_t sum_of_items) {
  const std::array<std::uint64_t, 2> both{revision, sum_of_items};
  return XXH64(both.data(), sizeof both, 0);
}

} // namespace zinnia
