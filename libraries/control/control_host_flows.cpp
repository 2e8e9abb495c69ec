#include "control/milliseconds_field.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/core/compression.h"

#include <algorithm>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr const char* group_author = "control group";
// A host without contact with a quorum for longer may have been replaced, and requests to
// join again.
constexpr milliseconds max_quorum_age{1'000};
// A host without contact with a quorum for this time after its start is probably partitioned.
// The rest of the group may have newer declarations than the restored view of this host.
constexpr milliseconds restored_view_validity{3'000};
// An upstream without a report for this time has most likely ended and is not saved. Restored,
// it would count as having just reported, and this host would still list it after the other
// hosts have removed their record that it is gone.
constexpr milliseconds max_report_age{20'000};

// Eight replies pass a link of 2 Mbit/s within the 700 ms that an entry host waits beyond the
// permitted wait, also when it has requested them from all control hosts at the same time.
constexpr std::size_t max_reply_bytes = 20'000;
// As much as one message of the replicated log.
constexpr std::size_t max_replication_bytes = 65'536;

// As much as a page of upstreams. Without an account, entry hosts do not distinguish upstreams by
// their reports.
constexpr std::size_t max_overdue = 1'000;
// An account is built by a visit of every upstream, so that it is reused. Its age is small compared
// with the time after which an upstream is overdue.
constexpr milliseconds liveness_lifetime{200};

std::string digest_text(const std::string& content) {
  return std::to_string(XXH64(content.data(), content.size(), 0));
}

} // namespace

// Declarations of packet flows.

control_host::submission<wire::version_reply>
control_host::apply_version(time_point now, std::uint64_t wall_ms,
                            const wire::version_request& request) {
  submission<wire::version_reply> out;
  const auto version = request.proposed().declaration().version();
  // The applied state is committed, so the reply is correct for the whole group.
  const bool is_applied = version <= state_.flows().version();
  if (is_applied && may_acknowledge()) {
    out.reply.emplace().set_result(wire::version_reply::accepted);
    return out;
  }
  if (node_.role() != raft_role::leader) {
    out.reply.emplace().set_result(wire::version_reply::not_leader);
    out.reply->set_leader_address(address_of(node_.leader()));
    return out;
  }
  if (is_applied) {
    out.pending.index = applied_index_;
    return out;
  }
  const auto content = request.proposed().SerializeAsString();
  wire::control_command command;
  command.set_operation_id("version " + std::to_string(version) + " " + digest_text(content));
  command.set_author(request.author());
  command.set_time_ms(wall_ms);
  command.mutable_version()->set_version(version);
  command.mutable_version()->set_content(deflated(content));
  const auto effects = step(now, raft_proposal{command.SerializeAsString()});
  if (effects.proposed_index)
    out.pending = {*effects.proposed_index, node_.term(), false};
  else
    out.reply = unconfirmed_version();
  return out;
}

std::optional<wire::version_reply> control_host::version_reply_for(const ticket& pending) const {
  if (fault_) return unconfirmed_version();
  if (applied_index_ < pending.index || !may_acknowledge()) return std::nullopt;
  // Without a term the version had been applied before the request, and no entry was proposed.
  const auto it = outcomes_.find(pending.index);
  if (pending.term != 0 &&
      (it == outcomes_.end() || it->second.term != pending.term || !it->second.result.accepted()))
    return unconfirmed_version();
  wire::version_reply out;
  out.set_result(wire::version_reply::accepted);
  return out;
}

wire::version_reply control_host::unconfirmed_version() const {
  wire::version_reply out;
  out.set_result(wire::version_reply::not_confirmed);
  out.set_leader_address(address_of(node_.leader()));
  return out;
}

void control_host::decode_flows() {
  if (state_.flows().version() == flows_.declaration().version()) return;
  wire::versioned_declaration next;
  const auto content = inflated(state_.flows().content());
  if (content.has_value() && next.ParseFromString(content.value())) {
    flows_ = std::move(next);
    history_.record(flows_.declaration());
    return;
  }
  warnings_.push_back("the declaration of packet flows of version " +
                      std::to_string(state_.flows().version()) + " cannot be decoded");
}

// The view that is saved and restored after a restart.

void control_host::restore_view(time_point now, wire::recalled_view view) {
  restored_declaration_ = std::move(*view.mutable_declaration());
  update_evacuations(now, view.evacuations());
  wire::upstream_news update;
  update.mutable_reports()->Swap(view.mutable_upstreams());
  upstreams_.merge(now, update);
  std::vector<endpoint> entry_hosts;
  for (const auto& it : view.entry_hosts())
    if (const auto address = endpoint::parse(it); address.has_value())
      entry_hosts.push_back(address.value());
  notices_.restore(now, entry_hosts);
}

wire::recalled_view control_host::current_view(time_point now, std::uint64_t wall_ms) const {
  wire::recalled_view out;
  out.set_saved_ms(wall_ms);
  *out.mutable_declaration() = committed_declaration();
  upstreams_.for_each([&](const auto& it) {
    if (it.report.condition != upstream_report::state::gone &&
        now - it.last_report < max_report_age)
      *out.add_upstreams() = it.report.to_wire();
  });
  *out.mutable_evacuations() = evacuations_.content();
  for (const auto& it : notices_.present(now))
    out.add_entry_hosts(it.to_string());
  return out;
}

control_host::view_position control_host::current_view_position() const {
  return {committed_declaration().version(), upstreams_.content_position(), evacuations_.version()};
}

const wire::flow_declaration& control_host::committed_declaration() const {
  const auto& applied = flows_.declaration();
  return applied.version() >= restored_declaration_.version() ? applied : restored_declaration_;
}

// Reads that a quorum confirms (read index).

std::optional<control_host::read_ticket> control_host::begin_read(time_point now) {
  const auto effects = step(now, raft_read{});
  if (!effects.read_round) return std::nullopt;
  return read_ticket{*effects.read_round, node_.term(), node_.commit_index()};
}

std::optional<wire::read_reply> control_host::read_reply_for(const read_ticket& pending) const {
  wire::read_reply out;
  if (fault_ || node_.role() != raft_role::leader || node_.term() != pending.term) return out;
  if (!node_.is_confirmed(pending.round)) return std::nullopt;
  out.set_confirmed(true);
  out.set_index(pending.index);
  return out;
}

// The group.

wire::join_reply control_host::join(time_point now, const wire::join_request& request) {
  if (group_ && node_.role() == raft_role::leader)
    group_->record_join_request(now, request.member());
  wire::join_reply out;
  out.set_leader_address(address_of(node_.leader()));
  for (auto& it : member_addresses(request.member().zone()))
    out.add_control_hosts(std::move(it));
  return out;
}

std::optional<wire::join_request> control_host::join_request_due(time_point now) const {
  if (!group_ || node_.role() == raft_role::leader) return std::nullopt;
  if (has_quorum(now)) return std::nullopt;
  wire::join_request out;
  *out.mutable_member() = settings_.self;
  out.mutable_member()->set_identity(node_.identity().identity());
  out.mutable_member()->set_learner(true);
  return out;
}

void control_host::maintain_group(time_point now) {
  if (!group_ || fault_) return;
  const auto change = group_->next_change(now, node_);
  if (!change) return;
  const auto next = node_.plan(now, *change);
  // A change that is refused now, for example without a quorum, is planned again with a later
  // tick.
  if (!next.has_value()) return;
  auto command = wire::control_command();
  command.set_operation_id("group " + std::to_string(source_) + " " +
                           std::to_string(++group_changes_));
  command.set_author(group_author);
  for (const auto& it : node_.membership().members)
    command.mutable_members()->add_before(it.address());
  for (const auto& it : next.value().members)
    command.mutable_members()->add_after(it.address() + (it.learner() ? " learner" : " voter"));
  step(now, raft_member_proposal{next.value(), command.SerializeAsString()});
}

std::vector<std::string> control_host::member_addresses(std::uint32_t preferred_zone) const {
  std::vector<std::string> out;
  for (const bool is_preferred : {true, false})
    for (const auto& it : node_.membership().members)
      if ((it.zone() == preferred_zone) == is_preferred &&
          std::find(out.begin(), out.end(), it.address()) == out.end())
        out.push_back(it.address());
  return out;
}

// Upstreams.

upstream_directory::merge_result
control_host::merge_report(time_point now, const upstream_report& value, std::uint64_t wall_ms) {
  follow_limits();
  std::optional<milliseconds> age;
  if (wall_ms != 0)
    age = milliseconds(static_cast<std::int64_t>(wall_ms) -
                       static_cast<std::int64_t>(value.started_ms));
  return upstreams_.merge(now, value, upstream_directory::origin::upstream, age);
}

wire::spread_reply control_host::merge_replicated(time_point now,
                                                  const wire::spread_request& request) {
  follow_limits();
  upstreams_.merge(now, request.upstreams());
  wire::spread_reply out;
  out.set_source(source_);
  return out;
}

control_host::replication control_host::replication_since(std::uint64_t position,
                                                          bool is_complete) const {
  auto page = upstreams_.updates_after(is_complete ? 0 : position, max_replication_bytes,
                                       is_complete ? upstream_directory::refreshes::all
                                                   : upstream_directory::refreshes::direct);
  replication out;
  out.request.set_source(source_);
  *out.request.mutable_upstreams() = std::move(page.updates);
  out.position = page.position;
  return out;
}

wire::news_reply control_host::updates(time_point now, const wire::news_request& request,
                                       time_point received) {
  wire::news_reply out;
  out.set_source(source_);
  add_evacuations(now, request, out);
  add_upstreams(now, request, out);
  add_warmup_grants(now, request, received, out);
  add_declaration(now, request, out);
  out.set_quorum_age_ms(milliseconds_field(node_.quorum_age(now)));
  out.set_recalled(serves_restored_view(now));
  add_loads(now, request, out);
  for (auto& it : member_addresses(request.zone()))
    out.add_control_hosts(std::move(it));
  return out;
}

// Entry hosts of earlier releases accept no parts.
void control_host::add_upstreams(time_point now, const wire::news_request& request,
                                 wire::news_reply& reply) {
  const auto position = request.source() == source_ ? request.position() : 0;
  if (request.accepts_parts()) {
    compact_replies_.add_upstreams(now, upstreams_, position, reply);
    if (!reply.has_more_upstreams()) add_liveness(now, request, reply);
    return;
  }
  *reply.mutable_upstreams() = upstreams_.updates_since(position);
  reply.set_position(upstreams_.position());
}

// A refresh for each report of each upstream would grow with the product of upstreams and entry
// hosts (docs/design.md R43). All replies within liveness_lifetime share one account.
void control_host::add_liveness(time_point now, const wire::news_request& request,
                                wire::news_reply& reply) {
  const milliseconds overdue_after(request.overdue_after_ms());
  // A host that did not run has not received the reports of that time. Upstreams report again well
  // before they would be overdue.
  if (resumed_ && now - *resumed_ <= overdue_after / 2) return;
  if (now - liveness_.built >= liveness_lifetime || liveness_.overdue_after != overdue_after)
    liveness_ = {now, overdue_after, upstreams_.liveness(now, overdue_after, max_overdue)};
  if (!liveness_.content) return;
  *reply.mutable_liveness() = *liveness_.content;
  const auto age =
      milliseconds_field(std::chrono::duration_cast<milliseconds>(now - liveness_.built));
  for (auto& it : *reply.mutable_liveness()->mutable_zones())
    it.set_age_ms(it.age_ms() + age);
}

void control_host::add_declaration(time_point now, const wire::news_request& request,
                                   wire::news_reply& reply) {
  const auto& committed = committed_declaration();
  reply.set_declaration_version(committed.version());
  if (committed.version() <= request.version()) return;
  if (request.accepts_parts()) {
    const auto space = max_reply_bytes - std::min(max_reply_bytes / 2, reply.ByteSizeLong());
    *reply.mutable_declaration_part() =
        declaration_contents_.next_part(now, request, committed, history_, space);
    return;
  }
  const auto* change =
      request.accepts_changes() ? history_.change_since(request.version()) : nullptr;
  if (change != nullptr && change->version() == committed.version())
    *reply.mutable_change() = *change;
  else
    *reply.mutable_declaration() = committed;
}

bool control_host::has_quorum(time_point now) const {
  return node_.quorum_age(now) <= max_quorum_age;
}

bool control_host::serves_restored_view(time_point now) const {
  return node_.quorum_age(now) == milliseconds::max() && now - started_ < restored_view_validity;
}

bool control_host::has_urgent_update(time_point now, const wire::news_request& request) const {
  // Entry hosts that search would otherwise repeat their requests until there is a quorum.
  const bool can_serve =
      has_quorum(now) || (serves_restored_view(now) && restored_declaration_.version() > 0);
  if (request.quorum_required() && !can_serve) return false;
  return request.source() != source_ || lacks_evacuations(request) ||
         committed_declaration().version() > request.version() ||
         upstreams_.content_position() > request.position() || has_new_grant(request) ||
         has_urgent_suspects(now, request);
}

} // namespace zinnia
