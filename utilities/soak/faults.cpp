#include "faults.h"

#include <csignal>
#include <random>
#include <sstream>

namespace zinnia::soak {
namespace {

// A control host with a wiped disk catches up within this time. Only one disk may be lost at a
// time.
constexpr milliseconds catch_up_time{8'000};
// Fails every write beyond the first byte of a file.
constexpr std::size_t file_size_limit_bytes = 1;
// The time that a process takes to exit after a failed write.
constexpr milliseconds failing_exit_delay{2'000};

} // namespace

const std::vector<faults::weighted_fault>& faults::fault_table() {
  static const std::vector<weighted_fault> out{
      {&faults::kill_control, 3},      {&faults::kill_entry, 3},
      {&faults::kill_upstream, 2},     {&faults::kill_all_controls, 1},
      {&faults::kill_all_hosts, 1},    {&faults::pause_host, 4},
      {&faults::stop_entry, 3},        {&faults::stop_control, 2},
      {&faults::wipe_control, 2},      {&faults::tear_log, 1},
      {&faults::limit_storage, 1},     {&faults::replace_upstream, 3},
      {&faults::reassign_address, 1},  {&faults::reset_connections, 3},
      {&faults::stall_connections, 3}, {&faults::delay_connections, 2},
      {&faults::slow_connections, 2},  {&faults::cut_one_way, 3},
      {&faults::lose_packets, 2},      {&faults::rotate_seeds, 2},
  };
  return out;
}

// Kills and lost disks only: an installation that forms has no connections yet to disturb.
const std::vector<faults::weighted_fault>& faults::first_start_table() {
  static const std::vector<weighted_fault> out{
      {&faults::kill_control, 4},   {&faults::kill_all_controls, 2}, {&faults::wipe_control, 3},
      {&faults::kill_all_hosts, 1}, {&faults::kill_entry, 1},        {&faults::kill_upstream, 1},
  };
  return out;
}

void faults::apply_random(const std::vector<weighted_fault>& table, time_point now) {
  std::vector<int> weights;
  weights.reserve(table.size());
  for (const auto& it : table)
    weights.push_back(it.weight);
  std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
  (this->*table[choice(engine_)].apply)(now);
}

// The bootstrap takes some milliseconds, which a fault at a random time seldom meets. The group
// then grows for about a second.
void faults::step_first_start(time_point now) {
  constexpr milliseconds bootstrap_limit{500};
  if (journal_.empty()) {
    if (next_fault_ == time_point{}) next_fault_ = now + bootstrap_limit;
    if (!installation_.is_bootstrapping() && now < next_fault_) return;
    next_fault_ = now + random_duration(20, 900);
    return kill_all_controls(now);
  }
  if (now < next_fault_) return;
  next_fault_ = now + random_duration(20, 900);
  apply_random(first_start_table(), now);
}

void faults::step(time_point now) {
  for (auto it = paused_.begin(); it != paused_.end();) {
    if (now < it->first) {
      ++it;
      continue;
    }
    auto& paused = installation_.members().at(it->second);
    if (paused.process) paused.process->send(SIGCONT);
    paused.last_fault = now;
    it = paused_.erase(it);
  }
  if (now < next_fault_) return;
  next_fault_ = now + random_duration(100, 1'200);
  apply_random(fault_table(), now);
}

void faults::heal(time_point now) {
  record(now, "heal");
  for (std::uint32_t n = 1; n <= installation::controls; ++n) {
    installation_.control_proxy(n).heal();
    installation_.operator_proxy(n).heal();
  }
  for (std::uint32_t n = 1; n <= installation::entries; ++n)
    installation_.packet_proxy(n).lose(0);
  paused_.clear();
  for (auto& it : installation_.members()) {
    if (it.process) it.process->send(SIGCONT);
    if (it.may_fail_until == time_point::max()) {
      it.may_fail_until = now + failing_exit_delay;
      if (it.process) it.process->limit_file_size(std::nullopt);
    }
    // A process that is draining ends at its own pace.
    if (!it.process && it.restart && *it.restart > now) it.restart = now;
    it.last_fault = now;
  }
}

std::uint32_t faults::random_up_to(std::uint32_t max) {
  return std::uniform_int_distribution<std::uint32_t>(1, max)(engine_);
}

milliseconds faults::random_duration(int min_ms, int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(engine_));
}

std::string faults::random_service() {
  return random_up_to(3) < 3 ? "registry" : "catalogue";
}

void faults::record(time_point now, const std::string& what) {
  std::ostringstream out;
  out << std::chrono::duration_cast<milliseconds>(now - started_).count() << " ms: " << what;
  journal_.push_back(out.str());
}

void faults::kill(member& target, time_point now) {
  target.last_fault = now;
  installation_.stop(target, SIGKILL, now + random_duration(100, 3'000));
}

member& faults::random_member(role kind) {
  const auto count = kind == role::control ? installation::controls
                     : kind == role::entry ? installation::entries
                                           : installation::upstreams;
  return installation_.get(kind, random_up_to(count));
}

void faults::kill_one(role kind, time_point now) {
  auto& target = random_member(kind);
  record(now, "kill " + target.name());
  kill(target, now);
}

void faults::stop_one(role kind, time_point now) {
  auto& target = random_member(kind);
  if (!target.process) return;
  record(now, "stop " + target.name());
  target.last_fault = now;
  installation_.stop(target, SIGTERM, now + random_duration(100, 1'000));
}

void faults::kill_all_controls(time_point now) {
  record(now, "kill all control hosts");
  for (std::uint32_t n = 1; n <= installation::controls; ++n)
    kill(installation_.get(role::control, n), now);
}

void faults::kill_all_hosts(time_point now) {
  record(now, "kill all hosts");
  for (auto& it : installation_.members())
    if (it.kind == role::control || it.kind == role::entry) kill(it, now);
}

void faults::pause_host(time_point now) {
  const auto index = std::uniform_int_distribution<std::uint32_t>(
      0, installation::controls + installation::entries - 1)(engine_);
  auto& target = installation_.members().at(index);
  if (!target.process || target.is_ending) return;
  const auto length = random_duration(200, 4'000);
  record(now, "pause " + target.name() + " for " + std::to_string(length.count()) + " ms");
  target.process->send(SIGSTOP);
  target.last_fault = now;
  paused_.emplace_back(now + length, index);
}

void faults::wipe_control(time_point now) {
  if (last_wipe_ && now - *last_wipe_ < catch_up_time) return;
  last_wipe_ = now;
  auto& target = random_member(role::control);
  record(now, "wipe " + target.name());
  kill(target, now);
  installation_.wipe_data(target.number);
}

void faults::tear_log(time_point now) {
  auto& target = random_member(role::control);
  record(now, "append a torn entry to the log of " + target.name());
  kill(target, now);
  installation_.append_torn_entry(target.number);
}

void faults::limit_storage(time_point now) {
  auto& target = random_member(role::control);
  if (!target.process) return;
  record(now, "fail the writes of " + target.name());
  target.last_fault = now;
  target.may_fail_until = time_point::max();
  target.process->limit_file_size(file_size_limit_bytes);
}

void faults::replace_upstream(time_point now) {
  auto& target = random_member(role::upstream);
  if (!target.process) return;
  record(now, "replace " + target.name());
  target.last_fault = now;
  installation_.stop(target, SIGTERM, now + random_duration(0, 500));
  installation_.replace_upstream(target.number, random_service());
}

void faults::replace_one_per_service(time_point now) {
  for (const std::uint32_t n : {1U, installation::upstreams}) {
    auto& target = installation_.get(role::upstream, n);
    record(now, "planned replacement of " + target.name());
    target.last_fault = now;
    installation_.stop(target, SIGTERM, now);
    installation_.replace_upstream(n, random_service());
  }
}

// The next upstream at this address may serve another service.
void faults::reassign_address(time_point now) {
  auto& target = random_member(role::upstream);
  record(now, "reassign the address of " + target.name());
  target.last_fault = now;
  constexpr milliseconds address_reuse{2'000};
  installation_.stop(target, SIGKILL, now + address_reuse);
  installation_.replace_upstream(target.number, random_service());
}

tcp_proxy& faults::random_proxy(std::string& name) {
  const auto n = random_up_to(installation::controls);
  const bool is_group = random_up_to(3) < 3;
  name = (is_group ? "gRPC of control" : "HTTP of control") + std::to_string(n);
  installation_.get(role::control, n).last_fault = monotonic_now();
  return is_group ? installation_.control_proxy(n) : installation_.operator_proxy(n);
}

void faults::reset_connections(time_point now) {
  std::string name;
  random_proxy(name).reset();
  record(now, "reset " + name);
}

void faults::stall_connections(time_point now) {
  std::string name;
  random_proxy(name).stall();
  record(now, "stall the open connections of " + name);
}

void faults::delay_connections(time_point now) {
  std::string name;
  const auto by = random_duration(10, 400);
  random_proxy(name).delay(by);
  record(now, "delay " + name + " by " + std::to_string(by.count()) + " ms");
}

void faults::slow_connections(time_point now) {
  std::string name;
  const std::size_t kilobytes = 20 * random_up_to(12);
  random_proxy(name).limit(kilobytes * 1'000);
  record(now, "limit " + name + " to " + std::to_string(kilobytes) + " KB/s");
}

void faults::cut_one_way(time_point now) {
  std::string name;
  const bool is_to = random_up_to(2) == 1;
  random_proxy(name).cut(is_to ? tcp_proxy::direction::to_host : tcp_proxy::direction::from_host);
  record(now, std::string("cut ") + (is_to ? "to " : "from ") + name);
}

void faults::lose_packets(time_point now) {
  const auto n = random_up_to(installation::entries);
  const double share = random_up_to(3) / 3.0;
  installation_.packet_proxy(n).lose(share);
  installation_.get(role::entry, n).last_fault = now;
  record(now, "lose " + std::to_string(share) + " of the packets to entry" + std::to_string(n));
}

void faults::rotate_seeds(time_point now) {
  auto& target = random_member(role::entry);
  installation_.rotate_seeds(target.number, random_up_to(3));
  const bool has_signal = random_up_to(2) == 1;
  if (has_signal && target.process) target.process->send(SIGHUP);
  record(now, "rotate the seeds of " + target.name() + (has_signal ? " with a signal" : ""));
}

} // namespace zinnia::soak
