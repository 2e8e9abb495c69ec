#include "zinniarelay/replication/control_state.h"

#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/core/endpoint.h"

#include <algorithm>
#include <unordered_set>
#include <xxhash.h>

namespace zinnia {
namespace {

using action_case = wire::control_command::ActionCase;

std::string action_name(const wire::control_command& command) {
  switch (command.action_case()) {
  case action_case::kApply:
    return "apply";
  case action_case::kDrain:
    return command.drain().active() ? "drain" : "end drain";
  case action_case::kMembers:
    return "change members";
  case action_case::kVersion:
    return "apply version";
  case action_case::kEvacuation:
    return command.evacuation().active() ? "evacuate zone" : "restore zone";
  case action_case::kRefused:
    return "refused";
  case action_case::ACTION_NOT_SET:
    break;
  }
  return "none";
}

// The author and the time may differ between an operation and its retry. Only the action
// decides whether both are the same operation.
std::uint64_t content_digest(const wire::control_command& command) {
  if (command.content_digest() != 0) return command.content_digest();
  auto content = command;
  content.clear_operation_id();
  content.clear_author();
  content.clear_time_ms();
  const auto bytes = content.SerializeAsString();
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string describe_drain(const wire::drain_entry& drain) {
  return std::string(drain.kind() == wire::drain_entry::host ? "host " : "upstream ") +
         std::to_string(drain.target()) + (drain.active() ? " draining" : " not draining");
}

std::string describe_evacuation(const std::string& zone, bool is_active, std::uint64_t version) {
  return "zone " + zone + (is_active ? " evacuated" : " not evacuated") +
         ", evacuations of version " + std::to_string(version);
}

bool is_same(const wire::service_declaration& a, const wire::service_declaration& b) {
  return a.SerializeAsString() == b.SerializeAsString();
}

// Returns why an action would violate the invariants of the replicated state, or an empty
// string. The complete checks of a declaration run before it is proposed.
std::string defect_of(const wire::apply_action& action) {
  std::set<std::string> names;
  std::unordered_set<endpoint> addresses;
  for (const auto& service : action.services()) {
    const auto& name = service.name();
    if (name.empty()) return "a service has no name";
    if (!names.insert(name).second) return "service " + name + " is declared twice";
    const auto address = endpoint::parse(service.address());
    if (!address.has_value())
      return "service " + name + ": address '" + service.address() + "' is not ip:port";
    if (!addresses.insert(address.value()).second)
      return "service " + name + ": address " + service.address() + " is declared twice";
  }
  return {};
}

} // namespace

wire::operation_result control_state::apply(std::uint64_t index,
                                            const wire::control_command& command) {
  const auto digest = content_digest(command);
  if (const auto* first_result = find_result(command.operation_id())) {
    if (first_result->content_digest() == digest) return *first_result;
    wire::operation_result reused;
    reused.set_operation_id(command.operation_id());
    reused.set_revision(revision_);
    reused.set_cause("operation identifier was used before for another operation");
    reused.set_content_digest(digest);
    record_audit(index, command, reused, revision_, {});
    return reused;
  }

  const auto revision_before = revision_;
  state_change change;
  switch (command.action_case()) {
  case action_case::kApply:
    change = apply(command.apply());
    break;
  case action_case::kDrain:
    change = apply(command.drain());
    break;
  case action_case::kMembers:
    change.before.assign(command.members().before().begin(), command.members().before().end());
    change.after.assign(command.members().after().begin(), command.members().after().end());
    break;
  case action_case::kVersion:
    change = apply(command.version());
    break;
  case action_case::kEvacuation:
    change = apply(command.evacuation());
    break;
  case action_case::kRefused:
    change.refusal = command.refused();
    break;
  case action_case::ACTION_NOT_SET:
    change.refusal = "the operation has no action";
    break;
  }

  wire::operation_result result;
  result.set_operation_id(command.operation_id());
  result.set_accepted(change.refusal.empty());
  result.set_revision(command.has_evacuation() ? evacuations_.version() : revision_);
  result.set_cause(change.refusal);
  result.set_stale_base(change.is_stale);
  result.set_content_digest(digest);
  record_audit(index, command, result, revision_before, std::move(change));
  record_result(result);
  return result;
}

control_state::state_change control_state::apply(const wire::apply_action& action) {
  state_change change;
  if (action.base_revision() != revision_) {
    change.refusal = "based on revision " + std::to_string(action.base_revision()) +
                     ", but the current revision is " + std::to_string(revision_);
    change.is_stale = true;
    return change;
  }
  if (!action.partial()) change.refusal = defect_of(action);
  if (!change.refusal.empty()) return change;

  const auto minimal = action.partial() ? action : minimal_action(action);
  std::vector<std::uint32_t> removed_ids;
  for (const auto& name : minimal.removed())
    if (const auto it = by_name_.find(name); it != by_name_.end())
      removed_ids.push_back(it->second);
  const auto& changed_services = minimal.services();
  if (removed_ids.empty() && changed_services.empty()) return change;

  ++revision_;
  for (const auto id : removed_ids)
    remove(id, change);
  for (const auto& service : changed_services) {
    const auto existing = by_name_.find(service.name());
    put(service, existing == by_name_.end() ? 0 : existing->second, change);
  }
  trim_removals();
  last_digest_ = digest_of(revision_, digest_sum_);
  return change;
}

wire::apply_action control_state::minimal_action(const wire::apply_action& action) const {
  // A base revision that this host has not applied yet may be current when the entry is
  // applied.
  if (action.partial() || action.base_revision() > revision_) return action;
  wire::apply_action out;
  out.set_base_revision(action.base_revision());
  out.set_partial(true);
  // Revisions only grow, so an action with an outdated base is refused in any case.
  if (action.base_revision() < revision_) return out;
  if (!defect_of(action).empty()) return action;
  std::set<std::string> declared;
  for (const auto& service : action.services()) {
    declared.insert(service.name());
    const auto existing = by_name_.find(service.name());
    if (existing == by_name_.end() ||
        !is_same(services_.at(existing->second).declaration(), service))
      *out.add_services() = service;
  }
  for (const auto& [name, id] : by_name_)
    if (declared.count(name) == 0) out.add_removed(name);
  return out;
}

control_state::state_change control_state::apply(const wire::drain_entry& action) {
  state_change change;
  if (action.target() == 0) {
    change.refusal = "the drain names no target";
    return change;
  }
  const auto existing = drains_.find({action.kind(), action.target()});
  const bool was_active = existing != drains_.end() && existing->second.active();
  if (was_active == action.active()) return change;
  auto before = action;
  before.set_active(was_active);
  change.before.push_back(describe_drain(before));
  change.after.push_back(describe_drain(action));

  ++revision_;
  auto entry = action;
  entry.set_modified_revision(revision_);
  store(std::move(entry));
  trim_removals();
  last_digest_ = digest_of(revision_, digest_sum_);
  return change;
}

// The highest version is in force. An older or equal version is accepted without effect,
// because a declaration that is sent again must not be refused.
control_state::state_change control_state::apply(const wire::versioned_action& action) {
  state_change change;
  if (action.version() <= flows_.version()) return change;
  change.before.push_back("flows of version " + std::to_string(flows_.version()));
  change.after.push_back("flows of version " + std::to_string(action.version()));
  flows_ = action;
  return change;
}

// An order that is in force is accepted without effect, because it may have been sent again. One
// that would change the zone back is refused when the zone has changed since a control host
// received it: it may be a delayed copy of an order that came before that change.
control_state::state_change control_state::apply(const wire::evacuation_action& action) {
  state_change change;
  auto& zones = *evacuations_.mutable_zones();
  auto it = std::find_if(zones.begin(), zones.end(),
                         [&](const auto& entry) { return entry.zone() == action.zone(); });
  const bool was_active = it != zones.end() && it->active();
  change.before.push_back(describe_evacuation(action.zone(), was_active, evacuations_.version()));
  if (was_active != action.active()) {
    const auto changed = it == zones.end() ? 0 : it->changed_version();
    if (action.base_version() != changed) {
      change.refusal = "zone " + action.zone() + " has changed since the order was received";
      change.is_stale = true;
    } else {
      auto& entry = it == zones.end() ? *zones.Add() : *it;
      evacuations_.set_version(evacuations_.version() + 1);
      entry.set_zone(action.zone());
      entry.set_active(action.active());
      entry.set_changed_version(evacuations_.version());
    }
  }
  const bool is_active = change.is_stale ? was_active : action.active();
  change.after.push_back(describe_evacuation(action.zone(), is_active, evacuations_.version()));
  return change;
}

std::uint64_t control_state::changed_version_of(const std::string& zone) const {
  for (const auto& it : evacuations_.zones())
    if (it.zone() == zone) return it.changed_version();
  return 0;
}

void control_state::put(const wire::service_declaration& declared, std::uint32_t id,
                        state_change& change) {
  wire::service_entry entry;
  if (id != 0) {
    const auto& before = services_.at(id);
    auto [old_fields, new_fields] = describe_change(before.declaration(), declared);
    change.before.push_back(std::move(old_fields));
    change.after.push_back(std::move(new_fields));
    entry.set_id(id);
    // A token sealed for the old address must not match the next service at that
    // address (P2). A service therefore gets a new generation with each new address.
    entry.set_generation(before.declaration().address() == declared.address() ? before.generation()
                                                                              : next_generation_++);
  } else {
    entry.set_id(next_service_id_++);
    entry.set_generation(next_generation_++);
    change.after.push_back(describe(declared));
  }
  entry.set_modified_revision(revision_);
  *entry.mutable_declaration() = declared;
  store(std::move(entry));
}

void control_state::remove(std::uint32_t id, state_change& change) {
  const auto it = services_.find(id);
  change.before.push_back(describe(it->second.declaration()));
  digest_sum_ -= digest_of(it->second);
  by_revision_.erase({it->second.modified_revision(), id});
  by_name_.erase(it->second.declaration().name());
  services_.erase(it);
  wire::removed_service removed;
  removed.set_id(id);
  removed.set_removed_revision(revision_);
  removed_.push_back(removed);
}

void control_state::store(wire::service_entry entry) {
  const auto id = entry.id();
  if (const auto old = services_.find(id); old != services_.end()) {
    digest_sum_ -= digest_of(old->second);
    by_revision_.erase({old->second.modified_revision(), id});
  }
  digest_sum_ += digest_of(entry);
  by_revision_.insert({entry.modified_revision(), id});
  by_name_[entry.declaration().name()] = id;
  services_[id] = std::move(entry);
}

void control_state::store(wire::drain_entry entry) {
  auto& slot = drains_[{entry.kind(), entry.target()}];
  digest_sum_ -= digest_of(slot);
  digest_sum_ += digest_of(entry);
  slot = std::move(entry);
}

void control_state::trim_removals() {
  while (removed_.size() > max_removals) {
    oldest_delta_base_ = std::max(oldest_delta_base_, removed_.front().removed_revision());
    removed_.pop_front();
  }
  std::vector<std::pair<std::uint64_t, drain_key>> ended_drains;
  for (const auto& [key, drain] : drains_)
    if (!drain.active()) ended_drains.emplace_back(drain.modified_revision(), key);
  if (ended_drains.size() <= max_removals) return;
  const auto [revision, key] = *std::min_element(ended_drains.begin(), ended_drains.end());
  oldest_delta_base_ = std::max(oldest_delta_base_, revision);
  drains_.erase(key);
}

void control_state::record_audit(std::uint64_t index, const wire::control_command& command,
                                 const wire::operation_result& result,
                                 std::uint64_t revision_before, state_change change) {
  wire::audit_record entry;
  entry.set_index(index);
  entry.set_time_ms(command.time_ms());
  entry.set_author(command.author());
  entry.set_operation_id(command.operation_id());
  entry.set_action(action_name(command));
  entry.set_accepted(result.accepted());
  entry.set_cause(result.cause());
  entry.set_revision_before(revision_before);
  entry.set_revision_after(revision_);
  for (auto& line : change.before)
    entry.add_before(std::move(line));
  for (auto& line : change.after)
    entry.add_after(std::move(line));
  audit_.push_back(std::move(entry));
  if (audit_.size() > max_records) audit_.pop_front();
}

void control_state::record_result(wire::operation_result result) {
  result_order_.push_back(result.operation_id());
  results_[result.operation_id()] = std::move(result);
  if (result_order_.size() <= max_records) return;
  results_.erase(result_order_.front());
  result_order_.pop_front();
}

const wire::operation_result* control_state::find_result(const std::string& operation_id) const {
  const auto it = results_.find(operation_id);
  return it == results_.end() ? nullptr : &it->second;
}

std::uint64_t control_state::digest() const {
  return revision_ == 0 ? digest_of(std::uint64_t{0}, 0) : last_digest_;
}

wire::configuration control_state::complete() const {
  wire::configuration out;
  out.set_revision(revision_);
  out.set_digest(digest());
  for (const auto& [id, entry] : services_)
    *out.add_services() = entry;
  for (const auto& [key, drain] : drains_)
    if (drain.active()) *out.add_drains() = drain;
  return out;
}

wire::configuration control_state::changes_since(std::uint64_t revision,
                                                 std::uint64_t digest) const {
  wire::configuration out;
  out.set_revision(revision_);
  out.set_digest(this->digest());
  out.set_base_revision(revision);
  if (revision > revision_) return out;
  if (revision == revision_ && (revision == 0 || digest == this->digest())) return out;
  if (revision < oldest_delta_base_ || revision == revision_) return complete();

  const std::pair<std::uint64_t, std::uint32_t> first{revision + 1, 0};
  std::for_each(by_revision_.lower_bound(first), by_revision_.end(),
                [&](const auto& key) { *out.add_services() = services_.at(key.second); });
  for (const auto& it : removed_)
    if (it.removed_revision() > revision) *out.add_removed() = it;
  for (const auto& [key, drain] : drains_)
    if (drain.modified_revision() > revision) *out.add_drains() = drain;
  return out;
}

std::vector<wire::audit_record> control_state::audit(std::uint64_t after_index,
                                                     std::size_t limit) const {
  auto it = std::upper_bound(
      audit_.begin(), audit_.end(), after_index,
      [](std::uint64_t index, const auto& record) { return index < record.index(); });
  std::vector<wire::audit_record> out;
  for (; it != audit_.end() && out.size() < limit; ++it)
    out.push_back(*it);
  return out;
}

std::string control_state::encode() const {
  wire::control_snapshot out;
  auto& configuration = *out.mutable_configuration();
  configuration = complete();
  for (const auto& it : removed_)
    *configuration.add_removed() = it;
  for (const auto& [key, drain] : drains_)
    if (!drain.active()) *configuration.add_drains() = drain;
  out.set_next_service_id(next_service_id_);
  out.set_next_generation(next_generation_);
  out.set_oldest_delta_base(oldest_delta_base_);
  *out.mutable_flows() = flows_;
  if (evacuations_.version() > 0) *out.mutable_evacuations() = evacuations_;
  for (const auto& id : result_order_)
    *out.add_results() = results_.at(id);
  for (const auto& it : audit_)
    *out.add_audit() = it;
  return out.SerializeAsString();
}

result<control_state> control_state::decode(std::string_view bytes) {
  wire::control_snapshot in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return failure(error_kind::corrupted, "snapshot", "not a control_snapshot message");
  control_state out;
  out.revision_ = in.configuration().revision();
  out.next_service_id_ = in.next_service_id();
  out.next_generation_ = in.next_generation();
  out.oldest_delta_base_ = in.oldest_delta_base();
  for (auto& it : *in.mutable_configuration()->mutable_services())
    out.store(std::move(it));
  for (auto& it : *in.mutable_configuration()->mutable_drains())
    out.store(std::move(it));
  for (auto& it : *in.mutable_configuration()->mutable_removed())
    out.removed_.push_back(std::move(it));
  for (auto& it : *in.mutable_results())
    out.record_result(std::move(it));
  for (auto& it : *in.mutable_audit())
    out.audit_.push_back(std::move(it));
  out.flows_ = in.flows();
  out.evacuations_ = in.evacuations();
  out.last_digest_ = digest_of(out.revision_, out.digest_sum_);
  if (out.digest() != in.configuration().digest())
    return failure(error_kind::corrupted, "snapshot", "digest of its configuration differs");
  return out;
}

} // namespace zinnia
