#pragma once

#include "control_history.h"
#include "zinniarelay/config/service_directory.h"
#include "zinniarelay/control/control_host.h"
#include "zinniarelay/replication/memory_storage.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <xxhash.h>

namespace zinnia::support {

/// A few control hosts with disks in memory, the messages between them, and for each host an entry
/// host that polls it. The user of this class controls the time and the order of messages.
class control_group {
public:
  static constexpr milliseconds step_time{20};

  struct member {
    control_host_settings settings;
    memory_storage files;
    std::unique_ptr<control_host> host; ///< null while the host is down
    service_directory directory;        ///< of the entry host in its zone
    bool is_frozen = false;
    std::string open_failure;
    std::uint64_t recorded_applied = 0;
    std::uint64_t recorded_leader_term = 0;
    std::pair<std::uint64_t, std::uint64_t> recorded_last; ///< index and term
  };
  struct operation {
    std::uint64_t host = 0;
    wire::apply_request request;
    control_host::ticket pending;
    bool is_finished = false;
    wire::apply_reply reply;
  };

  control_group(std::uint64_t seed, std::uint64_t founders, const control_host_settings& base)
      : engine(seed), base_(base) {
    for (std::uint64_t id = 1; id <= founders; ++id)
      founders_.push_back(control_member_of(id));
    for (std::uint64_t id = 1; id <= founders; ++id) {
      auto& state = add(id);
      // A failure shows in start(): a host with an uninitialized folder never votes.
      static_cast<void>(control_host::initialize(state.files, state.settings, engine));
      start(id);
    }
  }

  static wire::control_member control_member_of(std::uint64_t id) {
    wire::control_member out;
    out.set_id(id);
    out.set_address("10.0.0." + std::to_string(id) + ":7000");
    out.set_zone(static_cast<std::uint32_t>(id));
    return out;
  }

  /// Adds a host with an empty data folder.
  member& add(std::uint64_t id) {
    auto& entry = members[id];
    if (!entry) entry = std::make_unique<member>();
    entry->settings = base_;
    entry->settings.self = control_member_of(id);
    entry->settings.cluster = 7;
    entry->settings.founders = founders_;
    return *entry;
  }

  void start(std::uint64_t id) {
    auto& state = *members.at(id);
    state.files.restart();
    auto opened = control_host::open(state.files, state.settings, random_engine(engine()), now);
    state.open_failure =
        opened.has_value() ? "" : opened.error().place + ": " + opened.error().cause;
    if (!opened.has_value()) return;
    state.host = std::make_unique<control_host>(std::move(opened.value()));
    state.recorded_applied = state.host->applied_index();
    state.recorded_leader_term = 0;
    state.recorded_last = {};
  }

  void stop(std::uint64_t id) { members.at(id)->host.reset(); }

  bool has_failed(std::uint64_t id) const {
    const auto& state = *members.at(id);
    return state.host != nullptr && state.host->fault();
  }

  /// Reopens a failed host whose disk accepts writes again.
  void reopen(std::uint64_t id) {
    auto& state = *members.at(id);
    state.files.restart();
    const auto reopened = state.host->reopen(now);
    if (!reopened.has_value()) {
      state.open_failure = reopened.error().place + ": " + reopened.error().cause;
      return stop(id);
    }
    state.recorded_applied = state.host->applied_index();
    state.recorded_leader_term = 0;
    state.recorded_last = {};
  }

  bool is_up(std::uint64_t id) const {
    const auto& state = *members.at(id);
    return state.host != nullptr && !state.is_frozen;
  }

  control_host& host(std::uint64_t id) { return *members.at(id)->host; }

  void tick(std::uint64_t id) {
    if (!is_up(id)) return;
    host(id).tick(now);
    observe(id);
  }

  /// Delivers a message, unless its link is cut or its receiver is down.
  void deliver(wire::raft_message message) {
    const auto to = message.to();
    if (cut_links.count({message.from(), to}) > 0 || members.count(to) == 0 || !is_up(to)) return;
    host(to).receive(now, std::move(message));
    observe(to);
  }

  /// Advances the time and delivers all messages in order.
  void run(milliseconds duration) {
    for (const auto end = now + duration; now < end;) {
      now += step_time;
      for (const auto& [id, it] : members)
        tick(id);
      for (int pass = 0; pass < 12 && !in_flight.empty(); ++pass)
        for (auto& message : std::exchange(in_flight, {}))
          deliver(std::move(message));
      if (is_polling && (now.time_since_epoch() % milliseconds(1'000)).count() == 0)
        for (const auto& [id, it] : members)
          poll(id, id);
    }
  }

  /// Sends the request of a host outside the group to join, if one is due, to the leader.
  void request_join(std::uint64_t id) {
    const auto request = host(id).join_request_due(now);
    const auto to = leader();
    if (request && to != 0 && cut_links.count({id, to}) == 0) host(to).join(now, *request);
  }

  /// Runs the group while the hosts outside it request to join, as the daemon does.
  void run_joining(milliseconds duration, milliseconds join_interval) {
    for (const auto end = now + duration; now < end; run(join_interval))
      for (const auto& [id, it] : members)
        if (is_up(id)) request_join(id);
  }

  /// Lets the entry host in the zone of `id` poll the control host `polled`.
  void poll(std::uint64_t id, std::uint64_t polled) {
    if (!is_up(polled)) return;
    auto& directory = members.at(id)->directory;
    const auto reply = host(polled).sync(now, directory.request());
    if (!directory.apply(reply.changes()).has_value()) ++refused_updates;
    history.events.push_back({control_history::event::kind::in_force,
                              {id, 0, 0, 0, 0},
                              0,
                              0,
                              0,
                              {},
                              directory.revision(),
                              directory.digest(),
                              false});
  }

  /// Returns the leader with the highest term; 0 if there is none.
  std::uint64_t leader() const {
    std::uint64_t out = 0;
    std::uint64_t term = 0;
    for (const auto& [id, it] : members)
      if (is_up(id) && it->host->node().role() == raft_role::leader &&
          it->host->node().term() > term) {
        term = it->host->node().term();
        out = id;
      }
    return out;
  }

  static wire::apply_request request_of(const std::string& operation, std::uint64_t base,
                                        const std::vector<std::uint32_t>& ports) {
    wire::apply_request out;
    out.set_operation_id(operation);
    out.set_author("operator");
    out.set_base_revision(base);
    for (const auto port : ports) {
      auto& service = *out.add_services();
      service.set_name("service-" + std::to_string(port));
      service.set_address("10.9.0.1:" + std::to_string(port));
      service.set_queue_per_slot(4);
      service.set_credential_digest(std::string(32, 'd'));
      auto& method = *service.add_methods();
      method.set_name("lookup");
      method.set_kind(wire::idempotent);
      method.set_deadline_ms(1'000);
    }
    return out;
  }

  /// Sends a request to a host and returns the index of the operation in `operations`.
  std::size_t submit(std::uint64_t id, const wire::apply_request& request) {
    auto& submission = operations.emplace_back();
    submission.host = id;
    submission.request = request;
    submission.reply.set_result(wire::apply_reply::not_confirmed);
    if (!is_up(id)) {
      submission.is_finished = true;
      return operations.size() - 1;
    }
    const auto submitted = host(id).apply(now, 1, request);
    if (submitted.reply) {
      submission.is_finished = true;
      submission.reply = *submitted.reply;
    }
    submission.pending = submitted.pending;
    const auto index = operations.size() - 1;
    observe(id);
    return index;
  }

  /// Sends a request to the leader and advances the time until it gets a final reply.
  wire::apply_reply apply(const wire::apply_request& request, milliseconds timeout) {
    const auto end = now + timeout;
    while (now < end) {
      const auto id = leader();
      if (id == 0) {
        run(step_time);
        continue;
      }
      const auto index = submit(id, request);
      while (!operations[index].is_finished && is_up(id) && now < end)
        run(step_time);
      const auto& reply = operations[index].reply;
      if (operations[index].is_finished && reply.result() != wire::apply_reply::not_confirmed &&
          reply.result() != wire::apply_reply::not_leader)
        return reply;
      run(step_time);
    }
    wire::apply_reply out;
    out.set_result(wire::apply_reply::not_confirmed);
    return out;
  }

  /// Sends a change of members to the leader and advances the time until it replies.
  wire::members_reply change(const wire::members_request& request, milliseconds timeout) {
    wire::members_reply out;
    out.set_cause("no leader");
    for (const auto end = now + timeout; now < end; run(step_time)) {
      const auto id = leader();
      if (id == 0) continue;
      const auto submitted = host(id).change_members(now, 1, request);
      observe(id);
      if (submitted.reply) return *submitted.reply;
      while (now < end && is_up(id)) {
        run(step_time);
        if (const auto reply = host(id).members_reply_for(submitted.pending)) return *reply;
      }
      out.set_cause("no reply");
    }
    return out;
  }

  void isolate(std::uint64_t id) {
    for (const auto& [other, it] : members) {
      cut_links.insert({id, other});
      cut_links.insert({other, id});
    }
  }

  /// Records the events of a host since the last call and takes its messages.
  void observe(std::uint64_t id) {
    auto& state = *members.at(id);
    auto& host = *state.host;
    // After a failed write the memory of the host is ahead of its disk. Its state and its messages
    // must not become visible.
    if (host.fault()) {
      if (!keeps_failed_hosts) stop(id);
      return;
    }
    const auto& log = host.node().log();
    const std::pair last(log.last_index(), log.last_term());
    if (last != state.recorded_last) {
      for (auto n = std::max(log.base_index(), state.recorded_applied) + 1; n <= log.last_index();
           ++n)
        record(control_history::event::kind::appended, id, n);
      state.recorded_last = last;
    }
    for (auto n = state.recorded_applied + 1; n <= host.applied_index(); ++n) {
      if (n <= log.base_index()) continue;
      record(control_history::event::kind::applied, id, n);
      if (n > highest_applied_) highest_applied_ = n;
    }
    state.recorded_applied = host.applied_index();
    if (host.node().role() == raft_role::leader &&
        state.recorded_leader_term != host.node().term()) {
      state.recorded_leader_term = host.node().term();
      control_history::event event;
      event.type = control_history::event::kind::elected;
      event.log = {id, log.last_index(), log.last_term(), 0, 0};
      event.term = host.node().term();
      if (highest_applied_ > log.base_index()) {
        event.checked_index = highest_applied_;
        event.checked_term = log.term_at(highest_applied_).value_or(0);
      }
      history.events.push_back(event);
    }
    for (auto& message : host.take_messages()) {
      ++message_count;
      byte_count += message.ByteSizeLong();
      in_flight.push_back(std::move(message));
    }
    for (auto& text : host.take_warnings())
      warnings.push_back(std::to_string(id) + ": " + text);
    record_replies(id);
  }

  random_engine engine;
  time_point now{milliseconds(1'000'000)};
  std::map<std::uint64_t, std::unique_ptr<member>> members;
  std::vector<wire::raft_message> in_flight;
  std::set<std::pair<std::uint64_t, std::uint64_t>> cut_links;
  std::vector<operation> operations;
  control_history history;
  std::vector<std::string> warnings;
  bool is_polling = false;
  bool keeps_failed_hosts = false; ///< a failed host stays until reopen(); otherwise it stops
  int refused_updates = 0;
  std::size_t message_count = 0;
  std::size_t byte_count = 0;

private:
  void record(control_history::event::kind type, std::uint64_t id, std::uint64_t index) {
    const auto& log = host(id).node().log();
    const auto& entry = log.at(index);
    const auto bytes = entry.SerializeAsString();
    control_history::event event;
    event.type = type;
    event.log = {id, index, entry.term(), log.term_at(index - 1).value_or(0),
                 XXH64(bytes.data(), bytes.size(), 0)};
    history.events.push_back(event);
  }

  void record_replies(std::uint64_t id) {
    for (auto& operation : operations) {
      if (operation.is_finished || operation.host != id) continue;
      const auto reply = host(id).apply_reply_for(operation.pending, operation.request);
      if (!reply) continue;
      operation.is_finished = true;
      operation.reply = *reply;
      if (reply->result() == wire::apply_reply::not_confirmed) continue;
      control_history::event event;
      event.type = control_history::event::kind::answered;
      event.operation = operation.request.operation_id();
      event.is_accepted = reply->result() == wire::apply_reply::accepted;
      // A rejected operation reports the current revision, which differs between retries.
      event.revision = event.is_accepted ? reply->revision() : 0;
      history.events.push_back(event);
    }
  }

  control_host_settings base_;
  std::vector<wire::control_member> founders_;
  std::uint64_t highest_applied_ = 0;
};

} // namespace zinnia::support
