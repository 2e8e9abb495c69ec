#include "zinniarelay/config/service_directory.h"

#include "zinniarelay/config/configuration_difference.h"

#include <set>

namespace zinnia {

result<service_directory::outcome> service_directory::reject(error_kind kind,
                                                             const std::string& cause) {
  is_complete_update_needed_ = true;
  return failure(kind, "configuration", cause);
}

// Computes the sum of the item digests after the update without changing the
// directory, so that a rejected update leaves the revision in force unchanged.
result<std::uint64_t>
service_directory::item_digest_sum_after(const wire::configuration& update) const {
  std::uint64_t sum = update.base_revision() == 0 ? 0 : item_digest_sum_;
  const bool is_delta = update.base_revision() != 0;
  std::set<std::uint32_t> service_ids;
  for (const auto& it : update.services()) {
    ZINNIA_TRY(address, endpoint::parse(it.declaration().address()));
    static_cast<void>(address);
    if (!service_ids.insert(it.id()).second)
      return failure(error_kind::malformed, "configuration",
                     "service id " + std::to_string(it.id()) + " appears twice");
    if (const auto* before = is_delta ? find(service_id{it.id()}) : nullptr)
      sum -= digest_of(*before);
    sum += digest_of(it);
  }
  for (const auto& it : update.removed()) {
    if (!service_ids.insert(it.id()).second) continue;
    if (const auto* before = is_delta ? find(service_id{it.id()}) : nullptr)
      sum -= digest_of(*before);
  }
  std::set<drain_key> drain_keys;
  for (const auto& it : update.drains()) {
    const drain_key key{it.kind(), it.target()};
    if (!drain_keys.insert(key).second)
      return failure(error_kind::malformed, "configuration",
                     "drain of " + std::to_string(it.target()) + " appears twice");
    const auto before = drains_.find(key);
    if (is_delta && before != drains_.end()) sum -= digest_of(before->second);
    sum += digest_of(it);
  }
  return sum;
}

result<service_directory::outcome> service_directory::apply(const wire::configuration& update) {
  if (update.revision() <= revision_) return outcome::not_newer;
  const bool is_delta = update.base_revision() != 0;
  if (is_delta && update.base_revision() != revision_)
    return reject(error_kind::conflict,
                  "changes since revision " + std::to_string(update.base_revision()) +
                      ", but revision " + std::to_string(revision_) + " is in force");
  const auto sum = item_digest_sum_after(update);
  if (!sum.has_value())
    return reject(sum.error().kind, sum.error().place + ": " + sum.error().cause);
  if (digest_of(update.revision(), sum.value()) != update.digest())
    return reject(error_kind::corrupted,
                  "digest of revision " + std::to_string(update.revision()) + " differs");

  if (!is_delta) clear();
  // Removals come first because a new service may take over the name or address of
  // a removed service.
  for (const auto& it : update.removed())
    erase(it.id());
  for (const auto& it : update.services())
    erase(it.id());
  for (const auto& it : update.services())
    put(it);
  for (const auto& it : update.drains())
    put(it);
  item_digest_sum_ = sum.value();
  revision_ = update.revision();
  is_complete_update_needed_ = false;
  return outcome::applied;
}

wire::sync_request service_directory::request() const {
  wire::sync_request out;
  if (is_complete_update_needed_) return out;
  out.set_revision(revision_);
  out.set_digest(digest());
  return out;
}

const wire::service_entry* service_directory::find(service_id id) const {
  const auto it = services_.find(id.value);
  return it == services_.end() ? nullptr : &it->second;
}

const wire::service_entry* service_directory::find(std::string_view name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : find(service_id{it->second});
}

const wire::service_entry* service_directory::find(endpoint address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : find(service_id{it->second});
}

bool service_directory::is_draining(host_id host) const {
  return has_drain(wire::drain_entry::host, host.value);
}

bool service_directory::is_draining(incarnation_id upstream) const {
  return has_drain(wire::drain_entry::upstream, upstream.value);
}

bool service_directory::has_drain(wire::drain_entry::target_kind kind, std::uint64_t target) const {
  return drains_.count({kind, target}) > 0;
}

std::uint64_t service_directory::digest() const {
  return digest_of(revision_, item_digest_sum_);
}

wire::configuration service_directory::complete() const {
  wire::configuration out;
  out.set_revision(revision_);
  out.set_digest(digest());
  for (const auto& [id, entry] : services_)
    *out.add_services() = entry;
  for (const auto& [key, drain] : drains_)
    *out.add_drains() = drain;
  return out;
}

void service_directory::clear() {
  services_.clear();
  by_name_.clear();
  by_address_.clear();
  drains_.clear();
}

void service_directory::put(const wire::service_entry& entry) {
  by_name_[entry.declaration().name()] = entry.id();
  // item_digest_sum_after() rejects updates with an unreadable address.
  by_address_[endpoint::parse(entry.declaration().address()).value()] = entry.id();
  services_[entry.id()] = entry;
}

void service_directory::erase(std::uint32_t id) {
  const auto it = services_.find(id);
  if (it == services_.end()) return;
  by_name_.erase(it->second.declaration().name());
  by_address_.erase(endpoint::parse(it->second.declaration().address()).value());
  services_.erase(it);
}

void service_directory::put(const wire::drain_entry& entry) {
  const drain_key key{entry.kind(), entry.target()};
  if (entry.active())
    drains_[key] = entry;
  else
    drains_.erase(key);
}

} // namespace zinnia
