#pragma once

#include "control_group.h"

#include <functional>
#include <utility>

namespace zinnia::support {

/// One generated run of control hosts: messages in any order, lost and repeated,
/// crashes with torn writes, frozen hosts, cut links, a lost disk, operators that
/// race and resend, and changes of members. Then everything heals.
class random_schedule {
public:
  /// What becomes of a host whose disk has failed.
  enum class failed_hosts { restart, reopen };

  explicit random_schedule(std::uint64_t seed, failed_hosts kept = failed_hosts::restart)
      : group_(seed, seed % 3 == 0 ? 5 : 3, small_settings()), engine_(seed + 1),
        may_lose_disk_(seed % 2 == 0) {
    group_.keeps_failed_hosts = kept == failed_hosts::reopen;
  }

  /// The first violation, or an empty string.
  std::string run(int actions) {
    group_.run(milliseconds(engine_() % 2'500));
    for (int n = 0; n < actions; ++n)
      act();
    if (auto found = group_.history.violation(); !found.empty()) return found;
    return heal();
  }

  const control_group& group() const { return group_; }

private:
  // Small limits bring snapshots, several chunks and several appends into short runs.
  static control_host_settings small_settings() {
    control_host_settings out;
    out.compaction_entries = 6;
    out.raft.retained_entries = 2;
    out.raft.max_append_bytes = 300;
    out.raft.chunk_bytes = 700;
    return out;
  }

  std::size_t draw(std::size_t below) { return static_cast<std::size_t>(engine_() % below); }

  std::uint64_t any_host() {
    auto it = group_.members.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(draw(group_.members.size())));
    return it->first;
  }

  wire::raft_message take_message() {
    const auto at = draw(group_.in_flight.size());
    std::swap(group_.in_flight[at], group_.in_flight.back());
    auto out = std::move(group_.in_flight.back());
    group_.in_flight.pop_back();
    return out;
  }

  void act() {
    const auto choice = draw(1'000);
    if (choice < 650 && !group_.in_flight.empty()) return group_.deliver(take_message());
    if (choice < 680 && !group_.in_flight.empty()) {
      static_cast<void>(take_message());
      return;
    }
    if (choice < 700 && !group_.in_flight.empty()) {
      const auto& twin = group_.in_flight[draw(group_.in_flight.size())];
      group_.in_flight.push_back(wire::raft_message(twin));
      return;
    }
    if (choice < 870) return pass_time();
    if (choice < 930) return operate();
    if (choice < 945) return group_.poll(any_host(), any_host());
    if (choice < 955) return crash();
    if (choice < 975) return restart();
    if (choice < 980) {
      auto& it = *group_.members.at(any_host());
      it.is_frozen = !it.is_frozen;
      return;
    }
    if (choice < 990) return cut_or_mend();
    if (choice < 998) return change_members();
    lose_disk();
  }

  void pass_time() {
    constexpr std::size_t max_in_flight = 80;
    while (group_.in_flight.size() > max_in_flight)
      static_cast<void>(take_message());
    group_.now += milliseconds(10 + draw(100));
    for (const auto& [id, it] : group_.members)
      if (draw(4) != 0) group_.tick(id);
  }

  void operate() {
    if (!requests_.empty() && draw(2) == 0) {
      group_.submit(any_host(), requests_[draw(requests_.size())]);
      return;
    }
    const auto asked = any_host();
    const auto base = group_.is_up(asked) ? group_.host(asked).state().revision() : 0;
    std::vector<std::uint32_t> ports;
    for (std::uint32_t port = 80; port < 84; ++port)
      if (draw(2) == 0) ports.push_back(port);
    requests_.push_back(
        control_group::request_of("o" + std::to_string(requests_.size()), base, ports));
    const auto leader = group_.leader();
    group_.submit(leader == 0 || draw(4) == 0 ? any_host() : leader, requests_.back());
  }

  void crash() {
    const auto id = any_host();
    if (!group_.is_up(id)) return;
    if (draw(2) == 0) return group_.stop(id);
    group_.members.at(id)->files.crash_after(draw(3), draw(200));
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

  void cut_or_mend() {
    if (!group_.cut.empty() && draw(2) == 0) return group_.cut.clear();
    const auto id = any_host();
    if (draw(2) == 0) return group_.isolate(id);
    group_.cut.insert({id, any_host()});
  }

  void change_members() {
    const auto leader = group_.leader();
    if (leader == 0) return;
    wire::members_request request;
    request.set_operation_id("m" + std::to_string(++member_changes_));
    request.set_author("operator");
    const auto last = group_.members.rbegin()->first;
    std::vector<std::uint64_t> learners;
    std::vector<std::uint64_t> voters;
    for (const auto& it : group_.host(leader).node().membership().members)
      (it.learner() ? learners : voters).push_back(it.id());
    const auto choice = draw(4);
    if (choice == 0 && last < 8) {
      group_.add(last + 1);
      group_.start(last + 1);
      request.set_action(wire::members_request::add_learner);
      *request.mutable_member() = control_group::named(last + 1);
    } else if (choice == 1 && learners.size() >= 2) {
      request.set_action(wire::members_request::promote);
      request.mutable_member()->set_id(learners[0]);
      request.add_also(learners[1]);
    } else if (choice == 2 && !learners.empty()) {
      request.set_action(wire::members_request::replace);
      request.mutable_member()->set_id(learners[0]);
      request.set_replaced(voters[draw(voters.size())]);
    } else if (lost_ == 0 && voters.size() >= 3) {
      // A run that loses a disk keeps enough voters to survive it.
      may_lose_disk_ = false;
      request.set_action(wire::members_request::remove);
      request.mutable_member()->set_id(voters[0]);
      request.add_also(voters[1]);
    } else {
      return;
    }
    static_cast<void>(group_.host(leader).change_members(group_.now, 1, request));
    group_.observe(leader);
  }

  void lose_disk() {
    if (!std::exchange(may_lose_disk_, false)) return;
    const auto id = any_host();
    lost_ = id;
    group_.stop(id);
    group_.members.at(id)->files.remove_all();
  }

  std::string heal() {
    group_.cut.clear();
    for (const auto& [id, it] : group_.members) {
      it->is_frozen = false;
      it->files.restart();
      if (group_.has_failed(id)) group_.reopen(id);
      if (it->host == nullptr) group_.start(id);
      if (it->host == nullptr) return "does not restart: " + it->open_failure;
    }
    std::string missing;
    for (int second = 0; second < 12; ++second) {
      group_.run(milliseconds(1'000));
      missing = what_is_missing();
      if (missing.empty()) break;
    }
    return missing.empty() ? group_.history.violation() : missing;
  }

  std::string what_is_missing() {
    const auto leader = group_.leader();
    if (leader == 0) return "no leader 12 s after the healing";
    const auto& state = group_.host(leader).state();
    for (const auto& event : group_.history.events) {
      if (event.what != control_history::event::kind::answered || !event.is_accepted) continue;
      const auto* kept = state.find_result(event.operation);
      if (kept == nullptr || !kept->accepted() || kept->revision() != event.revision)
        return "accepted operation " + event.operation + " is lost";
    }
    std::set<std::string> accepted;
    for (const auto& it : state.audit(0, control_state::max_records))
      if (it.accepted() && !accepted.insert(it.operation_id()).second)
        return "operation " + it.operation_id() + " was applied twice";
    for (const auto& it : group_.host(leader).node().membership().members)
      // A voter without its disk stays apart until an operator replaces it.
      if (it.id() != lost_ && group_.host(it.id()).state().digest() != state.digest())
        return "host " + std::to_string(it.id()) + " did not catch up";
    return {};
  }

  control_group group_;
  random_engine engine_;
  bool may_lose_disk_;
  std::uint64_t lost_ = 0;
  std::vector<wire::apply_request> requests_;
  int member_changes_ = 0;
};

} // namespace zinnia::support
