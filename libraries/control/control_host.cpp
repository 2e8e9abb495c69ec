#include "zinniarelay/control/control_host.h"

#include <algorithm>

namespace zinnia {
namespace {

constexpr std::size_t max_outcomes = 4'096;
constexpr milliseconds min_suspension{1'000};
// Each time all upstreams are visited, of which there may be thousands.
constexpr milliseconds expiry_interval{1'000};

std::uint64_t generate_identity(random_engine& engine) {
  std::uint64_t out = 0;
  while (out == 0)
    out = engine();
  return out;
}

// The founders in the snapshot must not become the first members of a host that joins.
result<void> discard_interrupted_bootstrap(log_store& store, const control_host_settings& settings,
                                           const wire::stored_snapshot& founding) {
  if (!settings.group && founding.members_size() > 0)
    return failure(error_kind::conflict, "data folder",
                   "its initialization was interrupted; repeat it with --initialize");
  wire::stored_snapshot empty;
  empty.set_state(control_state().encode());
  return store.write_snapshot(empty, {});
}

} // namespace

result<void> control_host::initialize(storage& files, const control_host_settings& settings,
                                      random_engine& engine) {
  log_store store(files);
  ZINNIA_TRY(stored, store.load());
  if (stored.identity)
    return failure(error_kind::conflict, "data folder",
                   "is not empty; it belongs to control host " +
                       std::to_string(stored.identity->control()));
  const auto is_founder =
      std::any_of(settings.founders.begin(), settings.founders.end(),
                  [&](const auto& it) { return it.id() == settings.self.id(); });
  if (!is_founder)
    return failure(error_kind::malformed, "founding_members",
                   "control host " + std::to_string(settings.self.id()) + " is not listed");
  if (settings.founders.size() % 2 == 0)
    return failure(error_kind::malformed, "founding_members",
                   "lists " + std::to_string(settings.founders.size()) +
                       " voters; the number of voters must be odd");
  wire::stored_snapshot founding;
  raft_membership{settings.founders, {}}.write_to(founding);
  founding.set_state(control_state().encode());
  // The identity is written last: until then the host has not voted, and the next start repeats
  // the bootstrap (R49).
  ZINNIA_TRY(store.write_snapshot(founding, {}));
  wire::node_identity identity;
  identity.set_cluster(settings.cluster);
  identity.set_control(settings.self.id());
  identity.set_identity(generate_identity(engine));
  identity.set_founder(true);
  identity.set_zone(settings.self.zone());
  return store.write_identity(identity);
}

result<control_host> control_host::open(storage& files, const control_host_settings& settings,
                                        random_engine engine, time_point now) {
  log_store store(files);
  ZINNIA_TRY(stored, store.load());
  if (!stored.identity) {
    if (stored.snapshot) {
      ZINNIA_TRY(discard_interrupted_bootstrap(store, settings, *stored.snapshot));
      stored.snapshot.reset();
    }
    wire::node_identity created;
    created.set_cluster(settings.cluster);
    created.set_control(settings.self.id());
    created.set_identity(generate_identity(engine));
    created.set_zone(settings.self.zone());
    ZINNIA_TRY(store.write_identity(created));
    stored.identity = created;
  }
  if (stored.identity->control() != settings.self.id() ||
      stored.identity->cluster() != settings.cluster)
    return failure(error_kind::conflict, "data folder",
                   "belongs to control host " + std::to_string(stored.identity->control()) +
                       " of cluster " + std::to_string(stored.identity->cluster()));
  const auto snapshot = stored.snapshot;
  const auto truncated_bytes = stored.truncated_bytes;
  const random_engine node_engine(engine());
  control_host out(files, settings, raft_node(settings.raft, std::move(stored), node_engine, now),
                   engine);
  out.truncated_bytes_ = truncated_bytes;
  out.started_ = now;
  if (snapshot) {
    ZINNIA_TRY(state, control_state::decode(snapshot->state()));
    out.state_ = std::move(state);
    out.applied_index_ = snapshot->last_index();
    out.decode_flows();
    out.update_evacuations(now, out.state_.evacuations());
  }
  out.logged_evacuations_ = out.logged_evacuations();
  return out;
}

result<void> control_host::reopen(time_point now) {
  ZINNIA_TRY(stored, store_.load());
  // An emptied folder must not get a new identity with the id of this host (R25).
  if (!stored.identity || stored.identity->identity() != node_.identity().identity())
    return failure(error_kind::conflict, "data folder", "is not the one this host started with");
  ZINNIA_TRY(store_.resync());
  ZINNIA_TRY(opened, open(store_.files(), settings_, random_engine(engine_()), now));
  opened.source_ = source_;
  opened.hosts_ = std::move(hosts_);
  opened.sync_count_ = sync_count_;
  opened.group_changes_ = group_changes_;
  opened.restored_declaration_ = committed_declaration();
  opened.evacuations_ = std::move(evacuations_);
  opened.zone_changes_ = std::move(zone_changes_);
  opened.upstreams_ = std::move(upstreams_);
  opened.notices_ = std::move(notices_);
  opened.loads_ = std::move(loads_);
  opened.last_tick_ = last_tick_;
  opened.resumed_ = resumed_;
  // Entry hosts still hold the leases that this process granted.
  opened.own_leases_ = std::move(own_leases_);
  opened.entry_leases_ = std::move(entry_leases_);
  *this = std::move(opened);
  return success();
}

control_host::control_host(storage& files, const control_host_settings& settings, raft_node node,
                           random_engine engine)
    : settings_(settings), store_(files), node_(std::move(node)), engine_(engine) {
  source_ = generate_identity(engine_);
  if (!settings_.group) return;
  group_.emplace(*settings_.group);
  group_size_.emplace(*settings_.group);
}

void control_host::tick(time_point now) {
  if (last_tick_ && now - *last_tick_ >= min_suspension) resumed_ = now;
  last_tick_ = now;
  step(now, raft_tick{});
  if (group_size_)
    if (auto warning = group_size_->tick(now, node_)) warnings_.push_back(std::move(*warning));
  expire_hosts(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + expiry_interval;
    upstreams_.remove_expired(now);
  }
  loads_.tick(now);
  maintain_group(now);
  maintain_warmup(now);
}

bool control_host::may_acknowledge() const {
  return !group_size_ || group_size_->permits_acknowledgement(node_);
}

void control_host::receive(time_point now, wire::raft_message message) {
  step(now, raft_received{std::move(message)});
}

raft_effects control_host::step(time_point now, raft_event event) {
  if (fault_) return {};
  auto effects = node_.step(now, std::move(event));
  execute(effects);
  compact_if_due(now);
  update_evacuations(now, state_.evacuations());
  return effects;
}

void control_host::execute(const raft_effects& effects) {
  warnings_.insert(warnings_.end(), effects.warnings.begin(), effects.warnings.end());
  // Entries are synced before they are applied, and before a reply or a message that
  // depends on them is sent (R25).
  if (const auto written = persist(effects); !written.has_value()) {
    fault_ = written.error();
    return;
  }
  if (effects.restored_snapshot) {
    auto state = control_state::decode(effects.restored_snapshot->state());
    if (!state.has_value()) {
      fault_ = state.error();
      return;
    }
    state_ = std::move(state.value());
    applied_index_ = effects.restored_snapshot->last_index();
    entries_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
    decode_flows();
  }
  apply_entries(effects.committed);
  messages_.insert(messages_.end(), effects.messages.begin(), effects.messages.end());
}

result<void> control_host::persist(const raft_effects& effects) {
  if (effects.identity) {
    ZINNIA_TRY(store_.write_identity(*effects.identity));
  }
  if (effects.snapshot) {
    ZINNIA_TRY(store_.write_snapshot(*effects.snapshot, effects.retained_entries));
  }
  if (!effects.appended.empty()) {
    ZINNIA_TRY(store_.append(effects.appended));
  }
  return success();
}

void control_host::apply_entries(const std::vector<wire::log_entry>& entries) {
  for (const auto& entry : entries) {
    applied_index_ = entry.index();
    ++entries_since_snapshot_;
    bytes_since_snapshot_ += entry.ByteSizeLong();
    if (entry.command().empty()) continue;
    wire::control_command command;
    if (!command.ParseFromString(entry.command())) {
      warnings_.push_back("log entry " + std::to_string(entry.index()) + " cannot be parsed");
      continue;
    }
    outcomes_[entry.index()] = {entry.term(), state_.apply(entry.index(), command)};
    if (command.has_version()) decode_flows();
    if (outcomes_.size() > max_outcomes) outcomes_.erase(outcomes_.begin());
  }
}

void control_host::compact_if_due(time_point now) {
  const bool is_due = entries_since_snapshot_ >= settings_.compaction_entries ||
                      bytes_since_snapshot_ >= settings_.compaction_bytes;
  if (fault_ || !is_due) return;
  entries_since_snapshot_ = 0;
  bytes_since_snapshot_ = 0;
  execute(node_.step(now, raft_compaction{state_.encode()}));
}

std::vector<wire::raft_message> control_host::take_messages() {
  return std::exchange(messages_, {});
}

std::vector<std::string> control_host::take_warnings() {
  return std::exchange(warnings_, {});
}

std::string control_host::address_of(std::uint64_t member) const {
  const auto* entry = node_.membership().find(member);
  return entry == nullptr ? "" : entry->address();
}

} // namespace zinnia
