#include "zinniarelay/control/control_host.h"

#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/config/declaration.h"
#include "zinniarelay/core/endpoint.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr std::size_t kept_outcomes = 4'096;
constexpr std::size_t max_identifier_bytes = 128;

std::uint64_t draw_identity(random_engine& engine) {
  std::uint64_t out = 0;
  while (out == 0)
    out = engine();
  return out;
}

std::string describe(const wire::control_member& it) {
  return "control host " + std::to_string(it.id()) + (it.learner() ? " learner " : " voter ") +
         it.address() + " zone " + std::to_string(it.zone());
}

wire::control_command command_of(const std::string& operation_id, const std::string& author,
                                 std::uint64_t wall_ms) {
  wire::control_command out;
  out.set_operation_id(operation_id);
  out.set_author(author);
  out.set_time_ms(wall_ms);
  return out;
}

member_change change_of(const wire::members_request& request) {
  using kind = member_change::kind;
  member_change out;
  switch (request.action()) {
  case wire::members_request::promote:
    out.action = kind::promote;
    break;
  case wire::members_request::remove:
    out.action = kind::remove;
    break;
  case wire::members_request::replace:
    out.action = kind::replace;
    break;
  default:
    out.action = kind::add_learner;
  }
  out.member = request.member();
  out.also.assign(request.also().begin(), request.also().end());
  out.replaced = request.replaced();
  return out;
}

// One line for each defect, so that all of them are reported together.
std::string text_of(const std::vector<error>& defects) {
  std::ostringstream out;
  for (const auto& it : defects)
    out << (out.tellp() > 0 ? "\n" : "") << it;
  return out.str();
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
  ZINNIA_TRY(store.write_snapshot(founding, {}));
  wire::node_identity identity;
  identity.set_cluster(settings.cluster);
  identity.set_control(settings.self.id());
  identity.set_identity(draw_identity(engine));
  identity.set_founder(true);
  identity.set_zone(settings.self.zone());
  return store.write_identity(identity);
}

result<control_host> control_host::open(storage& files, const control_host_settings& settings,
                                        random_engine engine, time_point now) {
  log_store store(files);
  ZINNIA_TRY(stored, store.load());
  if (!stored.identity) {
    wire::node_identity fresh;
    fresh.set_cluster(settings.cluster);
    fresh.set_control(settings.self.id());
    fresh.set_identity(draw_identity(engine));
    fresh.set_zone(settings.self.zone());
    ZINNIA_TRY(store.write_identity(fresh));
    stored.identity = fresh;
  }
  if (stored.identity->control() != settings.self.id() ||
      stored.identity->cluster() != settings.cluster)
    return failure(error_kind::conflict, "data folder",
                   "belongs to control host " + std::to_string(stored.identity->control()) +
                       " of cluster " + std::to_string(stored.identity->cluster()));
  const auto snapshot = stored.snapshot;
  const auto cut_bytes = stored.cut_bytes;
  const random_engine node_engine(engine());
  control_host out(files, settings, raft_node(settings.raft, std::move(stored), node_engine, now),
                   engine);
  out.cut_bytes_ = cut_bytes;
  if (snapshot) {
    ZINNIA_TRY(state, control_state::decode(snapshot->state()));
    out.state_ = std::move(state);
    out.applied_index_ = snapshot->last_index();
    out.decode_flows();
  }
  return out;
}

control_host::control_host(storage& files, const control_host_settings& settings, raft_node node,
                           random_engine engine)
    : settings_(settings), store_(files), node_(std::move(node)), engine_(engine) {
  source_ = draw_identity(engine_);
  if (settings_.group) group_.emplace(*settings_.group);
}

void control_host::tick(time_point now) {
  step(now, raft_tick{});
  forget_silent_hosts(now);
  upstreams_.forget_old(now);
  maintain_group(now);
}

void control_host::receive(time_point now, wire::raft_message message) {
  step(now, raft_received{std::move(message)});
}

raft_effects control_host::step(time_point now, raft_event event) {
  if (fault_) return {};
  auto effects = node_.step(now, std::move(event));
  carry_out(effects);
  compact_if_due(now);
  return effects;
}

void control_host::carry_out(const raft_effects& effects) {
  complaints_.insert(complaints_.end(), effects.complaints.begin(), effects.complaints.end());
  // Nothing is applied, answered or sent before it is synced (R25).
  if (const auto written = persist(effects); !written.has_value()) {
    fault_ = written.error();
    return;
  }
  if (effects.restored) {
    auto state = control_state::decode(effects.restored->state());
    if (!state.has_value()) {
      fault_ = state.error();
      return;
    }
    state_ = std::move(state.value());
    applied_index_ = effects.restored->last_index();
    entries_since_snapshot_ = 0;
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
    ZINNIA_TRY(store_.write_snapshot(*effects.snapshot, effects.retained));
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
    if (entry.command().empty()) continue;
    wire::control_command command;
    if (!command.ParseFromString(entry.command())) {
      complaints_.push_back("log entry " + std::to_string(entry.index()) + " is unreadable");
      continue;
    }
    outcomes_[entry.index()] = {entry.term(), state_.apply(entry.index(), command)};
    if (command.has_version()) decode_flows();
    if (outcomes_.size() > kept_outcomes) outcomes_.erase(outcomes_.begin());
  }
}

void control_host::compact_if_due(time_point now) {
  if (fault_ || entries_since_snapshot_ < settings_.compaction_entries) return;
  entries_since_snapshot_ = 0;
  carry_out(node_.step(now, raft_compaction{state_.encode()}));
}

std::vector<wire::raft_message> control_host::take_messages() {
  return std::exchange(messages_, {});
}

std::vector<std::string> control_host::take_complaints() {
  return std::exchange(complaints_, {});
}

// Operators.

std::string control_host::check(const wire::control_command& command) const {
  if (command.operation_id().empty()) return "the operation has no identifier";
  if (command.operation_id().size() > max_identifier_bytes ||
      command.author().size() > max_identifier_bytes)
    return "operation identifier or author exceeds " + std::to_string(max_identifier_bytes) +
           " bytes";
  if (command.author().empty()) return "the operation has no author";
  return {};
}

control_host::submission<wire::apply_reply>
control_host::propose(time_point now, std::uint64_t wall_ms, wire::control_command command) {
  command.set_time_ms(wall_ms);
  submission<wire::apply_reply> out;
  if (const auto defect = check(command); !defect.empty()) {
    out.answer.emplace();
    out.answer->set_result(wire::apply_reply::invalid);
    out.answer->set_revision(state_.revision());
    out.answer->set_cause(defect);
    return out;
  }
  const auto effects = step(now, raft_proposal{command.SerializeAsString()});
  if (effects.proposed_index) {
    out.pending = {*effects.proposed_index, node_.term(), false};
    return out;
  }
  out.answer.emplace();
  const bool is_leader = node_.role() == raft_role::leader;
  out.answer->set_result(is_leader ? wire::apply_reply::not_confirmed
                                   : wire::apply_reply::not_leader);
  out.answer->set_revision(state_.revision());
  out.answer->set_cause(fault_ ? fault_->cause : effects.refusal);
  if (!is_leader) out.answer->set_leader_address(address_of(node_.leader()));
  return out;
}

control_host::submission<wire::apply_reply>
control_host::apply(time_point now, std::uint64_t wall_ms, const wire::apply_request& request) {
  auto command = command_of(request.operation_id(), request.author(), wall_ms);
  wire::apply_action action;
  action.set_base_revision(request.base_revision());
  *action.mutable_services() = request.services();
  // A retry is reduced against another state, and may name another base revision;
  // the digest of the declaration shows that it is the same operation (R27).
  auto declared = action;
  declared.clear_base_revision();
  const auto bytes = declared.SerializeAsString();
  command.set_content_digest(XXH64(bytes.data(), bytes.size(), 0));
  // A client may send what zinniactl would not: the rules for files hold for messages
  // too, and the refused attempt is kept in the audit trail (R27).
  const auto defects = service_errors({request.services().begin(), request.services().end()});
  if (defects.empty())
    *command.mutable_apply() = state_.reduced(action);
  else
    command.set_refused(text_of(defects));
  return propose(now, wall_ms, std::move(command));
}

control_host::submission<wire::apply_reply>
control_host::drain(time_point now, std::uint64_t wall_ms, const wire::drain_request& request) {
  auto command = command_of(request.operation_id(), request.author(), wall_ms);
  *command.mutable_drain() = request.drain();
  command.mutable_drain()->clear_modified_revision();
  return propose(now, wall_ms, std::move(command));
}

control_host::submission<wire::members_reply>
control_host::change_members(time_point now, std::uint64_t wall_ms,
                             const wire::members_request& request) {
  submission<wire::members_reply> out;
  if (request.action() == wire::members_request::list) {
    out.answer = members_reply_of(true, "");
    return out;
  }
  auto command = command_of(request.operation_id(), request.author(), wall_ms);
  if (const auto defect = check(command); !defect.empty()) {
    out.answer = members_reply_of(false, defect);
    return out;
  }
  // A retry gets the first result; planned again, the change would be refused
  // because it is already made.
  if (const auto* first = state_.find_result(request.operation_id())) {
    out.answer = node_.is_membership_settled()
                     ? members_reply_of(first->accepted(), first->cause())
                     : members_reply_of(false, "the change is in progress");
    return out;
  }
  const auto next = node_.plan(now, change_of(request));
  if (!next.has_value()) {
    out.answer = members_reply_of(false, next.error().cause);
    // The refusal goes to the audit trail; a retry may still succeed, so that it
    // gets an identifier of its own.
    if (node_.role() == raft_role::leader) {
      command.set_operation_id(request.operation_id() + "/refused/" +
                               std::to_string(node_.log().last_index() + 1));
      command.set_refused(next.error().place + ": " + next.error().cause);
      step(now, raft_proposal{command.SerializeAsString()});
    }
    return out;
  }
  for (const auto& it : node_.membership().members)
    command.mutable_members()->add_before(describe(it));
  for (const auto& it : next.value().members)
    command.mutable_members()->add_after(describe(it));
  const auto effects = step(now, raft_member_proposal{next.value(), command.SerializeAsString()});
  if (effects.proposed_index)
    out.pending = {*effects.proposed_index, node_.term(), true};
  else
    out.answer = members_reply_of(false, fault_ ? fault_->cause : effects.refusal);
  return out;
}

std::optional<wire::apply_reply>
control_host::apply_answer(const ticket& pending, const wire::apply_request& request) const {
  auto out = drain_answer(pending);
  // The operator that lost a race sees what its declaration would now change (R27).
  if (out && out->result() == wire::apply_reply::stale_base) {
    auto now = diff(request);
    out->set_revision(now.revision());
    out->mutable_differences()->Swap(now.mutable_differences());
  }
  return out;
}

std::optional<wire::apply_reply> control_host::drain_answer(const ticket& pending) const {
  if (fault_) return unconfirmed_apply();
  if (applied_index_ < pending.index) return std::nullopt;
  const auto it = outcomes_.find(pending.index);
  // Another leader's entry took the place; the operation may have been proposed
  // to that leader too.
  if (it == outcomes_.end() || it->second.term != pending.term) return unconfirmed_apply();
  return reply_of(it->second.result);
}

std::optional<wire::members_reply> control_host::members_answer(const ticket& pending) const {
  if (fault_) return unconfirmed_members();
  if (applied_index_ < pending.index) return std::nullopt;
  const auto it = outcomes_.find(pending.index);
  if (it == outcomes_.end() || it->second.term != pending.term) return unconfirmed_members();
  // Until the outgoing voters are released a further failure could still need
  // them, so that the change is not reported as done.
  if (!node_.is_membership_settled()) return std::nullopt;
  return members_reply_of(it->second.result.accepted(), it->second.result.cause());
}

wire::apply_reply control_host::unconfirmed_apply() const {
  wire::apply_reply out;
  out.set_result(wire::apply_reply::not_confirmed);
  out.set_revision(state_.revision());
  out.set_cause("no quorum confirmed the operation; retry with the same identifier");
  out.set_leader_address(address_of(node_.leader()));
  return out;
}

wire::members_reply control_host::unconfirmed_members() const {
  return members_reply_of(false,
                          "no quorum confirmed the operation; retry with the same identifier");
}

wire::apply_reply control_host::reply_of(const wire::operation_result& result) const {
  wire::apply_reply out;
  out.set_revision(result.revision());
  out.set_cause(result.cause());
  out.set_result(result.accepted()     ? wire::apply_reply::accepted
                 : result.stale_base() ? wire::apply_reply::stale_base
                                       : wire::apply_reply::invalid);
  return out;
}

wire::members_reply control_host::members_reply_of(bool is_accepted,
                                                   const std::string& cause) const {
  wire::members_reply out;
  out.set_accepted(is_accepted);
  out.set_cause(cause);
  out.set_leader(node_.leader());
  out.set_leader_address(address_of(node_.leader()));
  for (const auto& it : node_.membership().everyone()) {
    *out.add_members() = it;
    out.add_match_index(node_.match_index(it.id()));
  }
  return out;
}

wire::diff_reply control_host::diff(const wire::apply_request& request) const {
  wire::diff_reply out;
  out.set_revision(state_.revision());
  *out.mutable_differences() = differences(state_.complete(), request.services());
  out.set_leader_address(address_of(node_.leader()));
  return out;
}

namespace {

std::uint32_t milliseconds_field(milliseconds age) {
  constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), highest));
}

} // namespace

wire::status_reply control_host::status(time_point now) const {
  wire::status_reply out;
  out.set_control_id(settings_.self.id());
  out.set_zone(settings_.self.zone());
  const bool is_voter = node_.membership().is_voter(node_.id());
  const bool is_member = node_.membership().find(node_.id()) != nullptr && !node_.is_foreign();
  out.set_role(!is_member                            ? "not a member"
               : node_.role() != raft_role::follower ? name_of(node_.role())
               : is_voter                            ? "voter"
                                                     : "learner");
  out.set_term(node_.term());
  out.set_commit_index(node_.commit_index());
  out.set_revision(state_.revision());
  out.set_quorum_age_ms(milliseconds_field(node_.quorum_age(now)));
  out.set_leader(node_.leader());
  out.set_leader_address(address_of(node_.leader()));
  for (const auto& [id, host] : hosts_) {
    auto& status = *out.add_hosts();
    status = host.status;
    status.set_age_ms(
        milliseconds_field(std::chrono::duration_cast<milliseconds>(now - host.seen)));
  }
  *out.mutable_configuration() = state_.complete();
  return out;
}

wire::audit_reply control_host::audit(const wire::audit_request& request) const {
  constexpr std::uint32_t default_limit = 1'000;
  wire::audit_reply out;
  for (auto& it :
       state_.audit(request.after_index(), request.limit() == 0 ? default_limit : request.limit()))
    *out.add_records() = std::move(it);
  return out;
}

wire::metrics_reply control_host::metrics(time_point now) const {
  wire::metrics_reply out;
  const std::array<std::pair<const char*, double>, 9> values{{
      {"control_term", static_cast<double>(node_.term())},
      {"control_commit_index", static_cast<double>(node_.commit_index())},
      {"control_log_entries",
       static_cast<double>(node_.log().last_index() - node_.log().base_index())},
      {"control_revision", static_cast<double>(state_.revision())},
      {"control_services", static_cast<double>(state_.service_count())},
      {"control_hosts", static_cast<double>(hosts_.size())},
      {"control_syncs", static_cast<double>(sync_count_)},
      {"control_is_leader", node_.role() == raft_role::leader ? 1.0 : 0.0},
      {"control_quorum_age_ms", static_cast<double>(milliseconds_field(node_.quorum_age(now)))},
  }};
  for (const auto& [name, value] : values) {
    auto& metric = *out.add_metrics();
    metric.set_name(name);
    metric.set_value(value);
  }
  return out;
}

// Entry hosts.

wire::sync_reply control_host::sync(time_point now, const wire::sync_request& request) {
  ++sync_count_;
  if (request.has_status()) hosts_[request.status().host()] = {request.status(), now};
  wire::sync_reply out;
  *out.mutable_changes() = state_.changes_since(request.revision(), request.digest());
  out.set_quorum_age_ms(milliseconds_field(node_.quorum_age(now)));
  add_known_hosts(now, request, out);
  return out;
}

// A bounded random sample introduces hosts to each other; probing spreads the rest.
// Names a run of hosts from a random place on. Looking at all of them for each poll
// cost 1.1 ms with 19,000 hosts.
void control_host::add_known_hosts(time_point now, const wire::sync_request& request,
                                   wire::sync_reply& reply) {
  constexpr milliseconds recent{10'000};
  constexpr std::size_t looked_at_per_named = 4;
  if (hosts_.empty()) return;
  std::uniform_int_distribution<std::uint32_t> draw(hosts_.begin()->first, hosts_.rbegin()->first);
  auto it = hosts_.lower_bound(draw(engine_));
  const auto most = std::min(hosts_.size(), settings_.peers_in_reply * looked_at_per_named);
  for (std::size_t n = 0; n < most; ++n, ++it) {
    if (static_cast<std::size_t>(reply.hosts_size()) >= settings_.peers_in_reply) return;
    if (it == hosts_.end()) it = hosts_.begin();
    const auto& known = it->second.status;
    if (now - it->second.seen > recent || it->first == request.status().host() ||
        known.peer_address().empty())
      continue;
    auto& host = *reply.add_hosts();
    host.set_host(known.host());
    host.set_zone(known.zone());
    host.set_peer_address(known.peer_address());
  }
}

void control_host::forget_silent_hosts(time_point now) {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    it = now - it->second.seen > settings_.status_lifetime ? hosts_.erase(it) : std::next(it);
}

std::string control_host::address_of(std::uint64_t member) const {
  const auto* known = node_.membership().find(member);
  return known == nullptr ? "" : known->address();
}

} // namespace zinnia
