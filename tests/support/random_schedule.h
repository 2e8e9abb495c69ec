#pragma once

#include "control_group.h"

#include <functional>
#include <utility>

namespace zinnia::support {

/// One random run of control hosts: reordered, lost and duplicated messages, crashes with torn
/// writes, frozen hosts, cut links, a wiped disk, operators that send concurrent and repeated
/// requests, and changes of members. At the end all faults are removed, and the hosts must recover.
class random_schedule {
public:
  /// How a host whose disk has failed continues.
  enum class disk_failure_policy { restart, reopen };

  explicit random_schedule(std::uint64_t seed,
                           disk_failure_policy policy = disk_failure_policy::restart)
      : group_(seed, seed % 3 == 0 ? 5 : 3, small_settings()), engine_(seed + 1),
        may_wipe_disk_(seed % 2 == 0) {
    group_.keeps_failed_hosts = policy == disk_failure_policy::reopen;
  }

  /// Runs the schedule and returns the first violation, or an empty string.
  std::string run(int actions) {
    group_.run(milliseconds(engine_() % 2'500));
    for (int n = 0; n < actions; ++n)
      perform_random_action();
    if (auto violation = group_.history.violation(); !violation.empty()) return violation;
    return heal();
  }

  const control_group& group() const { return group_; }

private:
  // Small limits make short runs cover snapshots, several chunks and several appends.
  static control_host_settings small_settings() {
    control_host_settings out;
    out.compaction_entries = 6;
    out.raft.retained_entries = 2;
    out.raft.max_append_bytes = 300;
    out.raft.chunk_bytes = 700;
    return out;
  }

  std::size_t random_below(std::size_t bound) {
    return static_cast<std::size_t>(engine_() % bound);
  }

  std::uint64_t random_host() {
    auto it = group_.members.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_below(group_.members.size())));
    return it->first;
  }

  wire::raft_message take_message() {
    const auto position = random_below(group_.in_flight.size());
    std::swap(group_.in_flight[position], group_.in_flight.back());
    auto out = std::move(group_.in_flight.back());
    group_.in_flight.pop_back();
    return out;
  }

  void perform_random_action() {
    const auto choice = random_below(1'000);
    if (choice < 650 && !group_.in_flight.empty()) return group_.deliver(take_message());
    if (choice < 680 && !group_.in_flight.empty()) {
      static_cast<void>(take_message());
      return;
    }
    if (choice < 700 && !group_.in_flight.empty()) {
      const auto& original = group_.in_flight[random_below(group_.in_flight.size())];
      group_.in_flight.push_back(wire::raft_message(original));
      return;
    }
    if (choice < 870) return advance_time();
    if (choice < 930) return submit_operation();
    if (choice < 945) return group_.poll(random_host(), random_host());
    if (choice < 955) return crash();
    if (choice < 975) return restart();
    if (choice < 980) {
      auto& member = *group_.members.at(random_host());
      member.is_frozen = !member.is_frozen;
      return;
    }
    if (choice < 990) return cut_or_restore_links();
    if (choice < 998) return change_members();
    wipe_disk();
  }

  void advance_time() {
    constexpr std::size_t max_in_flight = 80;
    while (group_.in_flight.size() > max_in_flight)
      static_cast<void>(take_message());
    group_.now += milliseconds(10 + random_below(100));
    for (const auto& [id, it] : group_.members)
      if (random_below(4) != 0) group_.tick(id);
  }

  void submit_operation() {
    if (!requests_.empty() && random_below(2) == 0) {
      group_.submit(random_host(), requests_[random_below(requests_.size())]);
      return;
    }
    const auto host = random_host();
    const auto base = group_.is_up(host) ? group_.host(host).state().revision() : 0;
    std::vector<std::uint32_t> ports;
    for (std::uint32_t port = 80; port < 84; ++port)
      if (random_below(2) == 0) ports.push_back(port);
    requests_.push_back(
        control_group::request_of("o" + std::to_string(requests_.size()), base, ports));
    const auto leader = group_.leader();
    group_.submit(leader == 0 || random_below(4) == 0 ? random_host() : leader, requests_.back());
  }

  void crash() {
    const auto id = random_host();
    if (!group_.is_up(id)) return;
    if (random_below(2) == 0) return group_.stop(id);
    group_.members.at(id)->files.crash_after(random_below(3), random_below(200));
  }

  void restart() {
    for (const auto& [id, it] : group_.members) {
      if (group_.has_failed(id)) return group_.reopen(id);
      if (it->host == nullptr) {
        it->is_frozen = false;
        return group_.start(id);
      }
    }
  }

  void cut_or_restore_links() {
    if (!group_.cut_links.empty() && random_below(2) == 0) return group_.cut_links.clear();
    const auto id = random_host();
    if (random_below(2) == 0) return group_.isolate(id);
    group_.cut_links.insert({id, random_host()});
  }

  void change_members() {
    const auto leader = group_.leader();
    if (leader == 0) return;
    wire::members_request request;
    request.set_operation_id("m" + std::to_string(++member_change_count_));
    request.set_author("operator");
    const auto last = group_.members.rbegin()->first;
    std::vector<std::uint64_t> learners;
    std::vector<std::uint64_t> voters;
    for (const auto& it : group_.host(leader).node().membership().members)
      (it.learner() ? learners : voters).push_back(it.id());
    const auto choice = random_below(4);
    if (choice == 0 && last < 8) {
      group_.add(last + 1);
      group_.start(last + 1);
      request.set_action(wire::members_request::add_learner);
      *request.mutable_member() = control_group::control_member_of(last + 1);
    } else if (choice == 1 && learners.size() >= 2) {
      request.set_action(wire::members_request::promote);
      request.mutable_member()->set_id(learners[0]);
      request.add_also(learners[1]);
    } else if (choice == 2 && !learners.empty()) {
      request.set_action(wire::members_request::replace);
      request.mutable_member()->set_id(learners[0]);
      request.set_replaced(voters[random_below(voters.size())]);
    } else if (wiped_host_ == 0 && voters.size() >= 3) {
      // A run that wipes a disk keeps enough voters to survive the loss.
      may_wipe_disk_ = false;
      request.set_action(wire::members_request::remove);
      request.mutable_member()->set_id(voters[0]);
      request.add_also(voters[1]);
    } else {
      return;
    }
    static_cast<void>(group_.host(leader).change_members(group_.now, 1, request));
    group_.observe(leader);
  }

  void wipe_disk() {
    if (!std::exchange(may_wipe_disk_, false)) return;
    const auto id = random_host();
    wiped_host_ = id;
    group_.stop(id);
    group_.members.at(id)->files.remove_all();
  }

  std::string heal() {
    group_.cut_links.clear();
    for (const auto& [id, it] : group_.members) {
      it->is_frozen = false;
      it->files.restart();
      if (group_.has_failed(id)) group_.reopen(id);
      if (it->host == nullptr) group_.start(id);
      if (it->host == nullptr) return "a host does not restart: " + it->open_failure;
    }
    std::string condition;
    for (int second = 0; second < 12; ++second) {
      group_.run(milliseconds(1'000));
      condition = find_unmet_condition();
      if (condition.empty()) break;
    }
    return condition.empty() ? group_.history.violation() : condition;
  }

  std::string find_unmet_condition() {
    const auto leader = group_.leader();
    if (leader == 0) return "no leader 12 s after all faults were removed";
    const auto& state = group_.host(leader).state();
    for (const auto& event : group_.history.events) {
      if (event.type != control_history::event::kind::answered || !event.is_accepted) continue;
      const auto* result = state.find_result(event.operation);
      if (result == nullptr || !result->accepted() || result->revision() != event.revision)
        return "accepted operation " + event.operation + " is lost";
    }
    std::set<std::string> accepted;
    for (const auto& it : state.audit(0, control_state::max_records))
      if (it.accepted() && !accepted.insert(it.operation_id()).second)
        return "operation " + it.operation_id() + " was applied twice";
    for (const auto& it : group_.host(leader).node().membership().members)
      // A voter with a wiped disk is excluded until an operator replaces it.
      if (it.id() != wiped_host_ && group_.host(it.id()).state().digest() != state.digest())
        return "host " + std::to_string(it.id()) + " did not catch up";
    return {};
  }

  control_group group_;
  random_engine engine_;
  bool may_wipe_disk_;
  std::uint64_t wiped_host_ = 0;
  std::vector<wire::apply_request> requests_;
  int member_change_count_ = 0;
};

} // namespace zinnia::support
