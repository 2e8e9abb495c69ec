#include "control/milliseconds_field.h"
#include "zinniarelay/config/configuration_difference.h"
#include "zinniarelay/config/declaration.h"
#include "zinniarelay/control/control_host.h"

#include <sstream>
#include <xxhash.h>

namespace zinnia {
namespace {

constexpr std::size_t max_identifier_bytes = 128;

std::string describe(const wire::control_member& member) {
  return "control host " + std::to_string(member.id()) +
         (member.learner() ? " learner " : " voter ") + member.address() + " zone " +
         std::to_string(member.zone());
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
  out.additional_ids.assign(request.also().begin(), request.also().end());
  out.replaced_id = request.replaced();
  return out;
}

// Returns one line for each defect, so that one reply reports all of them.
std::string text_of(const std::vector<error>& defects) {
  std::ostringstream out;
  for (const auto& it : defects)
    out << (out.tellp() > 0 ? "\n" : "") << it;
  return out.str();
}

} // namespace

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
    out.reply.emplace();
    out.reply->set_result(wire::apply_reply::invalid);
    out.reply->set_revision(state_.revision());
    out.reply->set_cause(defect);
    return out;
  }
  const auto effects = step(now, raft_proposal{command.SerializeAsString()});
  if (effects.proposed_index) {
    out.pending = {*effects.proposed_index, node_.term(), false};
    return out;
  }
  out.reply.emplace();
  const bool is_leader = node_.role() == raft_role::leader;
  out.reply->set_result(is_leader ? wire::apply_reply::not_confirmed
                                  : wire::apply_reply::not_leader);
  out.reply->set_revision(state_.revision());
  out.reply->set_cause(fault_ ? fault_->cause : effects.refusal);
  if (!is_leader) out.reply->set_leader_address(address_of(node_.leader()));
  return out;
}

control_host::submission<wire::apply_reply>
control_host::apply(time_point now, std::uint64_t wall_ms, const wire::apply_request& request) {
  auto command = command_of(request.operation_id(), request.author(), wall_ms);
  wire::apply_action action;
  action.set_base_revision(request.base_revision());
  *action.mutable_services() = request.services();
  // The minimal action of a retry may differ because the state or the base revision has
  // changed. The digest of the declaration identifies the operation (R27).
  auto declared = action;
  declared.clear_base_revision();
  const auto bytes = declared.SerializeAsString();
  command.set_content_digest(XXH64(bytes.data(), bytes.size(), 0));
  // Other clients may skip the checks of zinniactl. The rules for declaration files are
  // checked here too, and a refused attempt is recorded in the audit trail (R27).
  const auto defects = service_errors({request.services().begin(), request.services().end()});
  if (defects.empty())
    *command.mutable_apply() = state_.minimal_action(action);
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
    out.reply = build_members_reply(true, "");
    return out;
  }
  auto command = command_of(request.operation_id(), request.author(), wall_ms);
  if (const auto defect = check(command); !defect.empty()) {
    out.reply = build_members_reply(false, defect);
    return out;
  }
  // A retry gets the first result. Planning the change again would refuse it, because the
  // change has already been made.
  if (const auto* first_result = state_.find_result(request.operation_id())) {
    out.reply =
        !node_.is_membership_settled() ? build_members_reply(false, "the change is in progress")
        : may_acknowledge() ? build_members_reply(first_result->accepted(), first_result->cause())
                            : unconfirmed_members();
    return out;
  }
  const auto next = node_.plan(now, change_of(request));
  if (!next.has_value()) {
    out.reply = build_members_reply(false, next.error().cause);
    // Records the refusal in the audit trail. The record has an identifier of its own,
    // because a retry of the operation may still succeed.
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
    out.reply = build_members_reply(false, fault_ ? fault_->cause : effects.refusal);
  return out;
}

std::optional<wire::apply_reply>
control_host::apply_reply_for(const ticket& pending, const wire::apply_request& request) const {
  auto out = drain_reply_for(pending);
  // An operator with an outdated base gets the changes that the declaration would make to
  // the current state (R27).
  if (out && out->result() == wire::apply_reply::stale_base) {
    auto current = diff(request);
    out->set_revision(current.revision());
    out->mutable_differences()->Swap(current.mutable_differences());
  }
  return out;
}

std::optional<wire::apply_reply> control_host::drain_reply_for(const ticket& pending) const {
  if (fault_) return unconfirmed_apply();
  if (applied_index_ < pending.index || !may_acknowledge()) return std::nullopt;
  const auto it = outcomes_.find(pending.index);
  // An entry of another leader replaced the proposed one. The operation may have been
  // proposed to that leader too.
  if (it == outcomes_.end() || it->second.term != pending.term) return unconfirmed_apply();
  return build_apply_reply(it->second.result);
}

std::optional<wire::members_reply> control_host::members_reply_for(const ticket& pending) const {
  if (fault_) return unconfirmed_members();
  if (applied_index_ < pending.index || !may_acknowledge()) return std::nullopt;
  const auto it = outcomes_.find(pending.index);
  if (it == outcomes_.end() || it->second.term != pending.term) return unconfirmed_members();
  // Until joint consensus ends, a majority of the outgoing voters is still needed, for
  // example after a further failure. The change is not reported as done before that.
  if (!node_.is_membership_settled()) return std::nullopt;
  return build_members_reply(it->second.result.accepted(), it->second.result.cause());
}

std::string control_host::unconfirmed_cause() const {
  return may_acknowledge() ? "no quorum confirmed the operation; retry with the same identifier"
                           : "the control group has fewer voters than tolerated_losses requires; "
                             "retry with the same identifier";
}

wire::apply_reply control_host::unconfirmed_apply() const {
  wire::apply_reply out;
  out.set_result(wire::apply_reply::not_confirmed);
  out.set_revision(state_.revision());
  out.set_cause(unconfirmed_cause());
  out.set_leader_address(address_of(node_.leader()));
  return out;
}

wire::members_reply control_host::unconfirmed_members() const {
  return build_members_reply(false, unconfirmed_cause());
}

wire::apply_reply control_host::build_apply_reply(const wire::operation_result& result) const {
  wire::apply_reply out;
  out.set_revision(result.revision());
  out.set_cause(result.cause());
  out.set_result(result.accepted()     ? wire::apply_reply::accepted
                 : result.stale_base() ? wire::apply_reply::stale_base
                                       : wire::apply_reply::invalid);
  return out;
}

wire::members_reply control_host::build_members_reply(bool is_accepted,
                                                      const std::string& cause) const {
  wire::members_reply out;
  out.set_accepted(is_accepted);
  out.set_cause(cause);
  out.set_leader(node_.leader());
  out.set_leader_address(address_of(node_.leader()));
  for (const auto& it : node_.membership().all_members()) {
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

wire::status_reply control_host::status(time_point now) const {
  wire::status_reply out;
  out.set_control_id(settings_.self.id());
  out.set_zone(settings_.self.zone());
  const bool is_voter = node_.membership().is_voter(node_.id());
  const bool is_member =
      node_.membership().find(node_.id()) != nullptr && !node_.has_conflicting_identity();
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
        milliseconds_field(std::chrono::duration_cast<milliseconds>(now - host.last_report)));
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
  std::vector<std::pair<const char*, double>> values{
      {"control_term", static_cast<double>(node_.term())},
      {"control_commit_index", static_cast<double>(node_.commit_index())},
      {"control_log_entries",
       static_cast<double>(node_.log().last_index() - node_.log().base_index())},
      {"control_revision", static_cast<double>(state_.revision())},
      {"control_services", static_cast<double>(state_.service_count())},
      {"control_hosts", static_cast<double>(hosts_.size())},
      {"control_syncs", static_cast<double>(sync_count_)},
      {"evacuated_zones", static_cast<double>(evacuations_.size())},
      {"evacuations_version", static_cast<double>(evacuations_.version())},
      {"control_is_leader", node_.role() == raft_role::leader ? 1.0 : 0.0},
      {"control_quorum_age_ms", static_cast<double>(milliseconds_field(node_.quorum_age(now)))},
  };
  if (group_size_) {
    values.emplace_back("control_voters", group_size_policy::voters(node_));
    values.emplace_back("control_acknowledgements_held", may_acknowledge() ? 0.0 : 1.0);
    // Only the leader knows which voters respond.
    if (node_.role() == raft_role::leader)
      values.emplace_back("control_tolerated_losses", group_size_->tolerated_losses(now, node_));
  }
  for (const auto& [name, value] : values) {
    auto& metric = *out.add_metrics();
    metric.set_name(name);
    metric.set_value(value);
  }
  if (settings_.has_load_reports) add_load_metrics(now, out);
  return out;
}

} // namespace zinnia
