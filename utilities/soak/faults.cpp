#include "faults.h"

#include <csignal>
#include <random>
#include <sstream>

namespace zinnia::soak {
namespace {

// A lost disk counts as lost until its host has caught up; one may be lost at a time.
constexpr milliseconds catch_up{8'000};
constexpr std::size_t no_more_bytes = 1;
// A process that a failed write ends takes some time to end.
constexpr milliseconds end_of_failing{2'000};

} // namespace

const std::vector<faults::weighted_fault>& faults::all() {
  static const std::vector<weighted_fault> out{
      {&faults::kill_control, 3},        {&faults::kill_entry, 3},
      {&faults::kill_upstream, 2},       {&faults::kill_all_controls, 1},
      {&faults::kill_all_hosts, 1},      {&faults::pause_host, 4},
      {&faults::stop_entry, 3},          {&faults::stop_control, 2},
      {&faults::wipe_control, 2},        {&faults::tear_log, 1},
      {&faults::limit_storage, 1},       {&faults::replace_upstream, 3},
      {&faults::reassign_address, 1},    {&faults::reset_connections, 3},
      {&faults::silence_connections, 3}, {&faults::delay_connections, 2},
      {&faults::cut_one_way, 3},         {&faults::lose_packets, 2},
      {&faults::exchange_seeds, 2},
  };
  return out;
}

void faults::step(time_point now) {
  for (auto it = paused_.begin(); it != paused_.end();) {
    if (now < it->first) {
      ++it;
      continue;
    }
    auto& paused = target_.members().at(it->second);
    if (paused.process) paused.process->send(SIGCONT);
    paused.last_fault = now;
    it = paused_.erase(it);
  }
  if (now < next_) return;
  next_ = now + draw_time(100, 1'200);
  std::vector<int> weights;
  for (const auto& it : all())
    weights.push_back(it.weight);
  std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
  (this->*all()[choice(engine_)].inflict)(now);
}

void faults::heal(time_point now) {
  note(now, "heal");
  for (std::uint32_t n = 1; n <= installation::controls; ++n) {
    target_.control_proxy(n).heal();
    target_.operator_proxy(n).heal();
  }
  for (std::uint32_t n = 1; n <= installation::entries; ++n)
    target_.packet_proxy(n).lose(0);
  paused_.clear();
  for (auto& it : target_.members()) {
    if (it.process) it.process->send(SIGCONT);
    if (it.may_fail_until == time_point::max()) {
      it.may_fail_until = now + end_of_failing;
      if (it.process) it.process->limit_files(std::nullopt);
    }
    // What drains is left to end in its time.
    if (!it.process && it.restart && *it.restart > now) it.restart = now;
    it.last_fault = now;
  }
}

std::uint32_t faults::draw(std::uint32_t most) {
  return std::uniform_int_distribution<std::uint32_t>(1, most)(engine_);
}

milliseconds faults::draw_time(int least_ms, int most_ms) {
  return milliseconds(std::uniform_int_distribution<int>(least_ms, most_ms)(engine_));
}

std::string faults::draw_service() {
  return draw(3) < 3 ? "registry" : "catalogue";
}

void faults::note(time_point now, const std::string& what) {
  std::ostringstream out;
  out << std::chrono::duration_cast<milliseconds>(now - started_).count() << " ms: " << what;
  journal_.push_back(out.str());
}

void faults::kill(member& it, time_point now) {
  it.last_fault = now;
  target_.end(it, SIGKILL, now + draw_time(100, 3'000));
}

void faults::kill_control(time_point now) {
  auto& it = target_.get(role::control, draw(installation::controls));
  note(now, "kill " + it.name());
  kill(it, now);
}

void faults::kill_entry(time_point now) {
  auto& it = target_.get(role::entry, draw(installation::entries));
  note(now, "kill " + it.name());
  kill(it, now);
}

void faults::kill_upstream(time_point now) {
  auto& it = target_.get(role::upstream, draw(installation::upstreams));
  note(now, "kill " + it.name());
  kill(it, now);
}

void faults::kill_all_controls(time_point now) {
  note(now, "kill all control hosts");
  for (std::uint32_t n = 1; n <= installation::controls; ++n)
    kill(target_.get(role::control, n), now);
}

void faults::kill_all_hosts(time_point now) {
  note(now, "kill all hosts");
  for (auto& it : target_.members())
    if (it.kind == role::control || it.kind == role::entry) kill(it, now);
}

void faults::pause_host(time_point now) {
  const auto at = std::uniform_int_distribution<std::uint32_t>(
      0, installation::controls + installation::entries - 1)(engine_);
  auto& it = target_.members().at(at);
  if (!it.process || it.is_ending) return;
  const auto length = draw_time(200, 4'000);
  note(now, "pause " + it.name() + " for " + std::to_string(length.count()) + " ms");
  it.process->send(SIGSTOP);
  it.last_fault = now;
  paused_.emplace_back(now + length, at);
}

void faults::stop_entry(time_point now) {
  auto& it = target_.get(role::entry, draw(installation::entries));
  if (!it.process) return;
  note(now, "stop " + it.name());
  it.last_fault = now;
  target_.end(it, SIGTERM, now + draw_time(100, 1'000));
}

void faults::stop_control(time_point now) {
  auto& it = target_.get(role::control, draw(installation::controls));
  if (!it.process) return;
  note(now, "stop " + it.name());
  it.last_fault = now;
  target_.end(it, SIGTERM, now + draw_time(100, 1'000));
}

void faults::wipe_control(time_point now) {
  if (wiped_ && now - *wiped_ < catch_up) return;
  wiped_ = now;
  auto& it = target_.get(role::control, draw(installation::controls));
  note(now, "wipe " + it.name());
  kill(it, now);
  target_.wipe(it.number);
}

void faults::tear_log(time_point now) {
  auto& it = target_.get(role::control, draw(installation::controls));
  note(now, "tear the log of " + it.name());
  kill(it, now);
  target_.tear(it.number);
}

void faults::limit_storage(time_point now) {
  auto& it = target_.get(role::control, draw(installation::controls));
  if (!it.process) return;
  note(now, "no writes on " + it.name());
  it.last_fault = now;
  it.may_fail_until = time_point::max();
  it.process->limit_files(no_more_bytes);
}

void faults::replace_upstream(time_point now) {
  auto& it = target_.get(role::upstream, draw(installation::upstreams));
  if (!it.process) return;
  note(now, "replace " + it.name());
  it.last_fault = now;
  target_.end(it, SIGTERM, now + draw_time(0, 500));
  target_.replace_upstream(it.number, draw_service());
}

void faults::release(time_point now) {
  for (const std::uint32_t n : {1U, installation::upstreams}) {
    auto& it = target_.get(role::upstream, n);
    note(now, "release " + it.name());
    it.last_fault = now;
    target_.end(it, SIGTERM, now);
    target_.replace_upstream(n, draw_service());
  }
}

// The next holder of the address serves another service.
void faults::reassign_address(time_point now) {
  auto& it = target_.get(role::upstream, draw(installation::upstreams));
  note(now, "reassign the address of " + it.name());
  it.last_fault = now;
  constexpr milliseconds address_reuse{2'000};
  target_.end(it, SIGKILL, now + address_reuse);
  target_.replace_upstream(it.number, draw_service());
}

tcp_proxy& faults::draw_proxy(std::string& name) {
  const auto n = draw(installation::controls);
  const bool is_group = draw(3) < 3;
  name = (is_group ? "gRPC of control" : "HTTP of control") + std::to_string(n);
  target_.get(role::control, n).last_fault = monotonic_now();
  return is_group ? target_.control_proxy(n) : target_.operator_proxy(n);
}

void faults::reset_connections(time_point now) {
  std::string name;
  draw_proxy(name).reset();
  note(now, "reset " + name);
}

void faults::silence_connections(time_point now) {
  std::string name;
  draw_proxy(name).silence();
  note(now, "silence " + name);
}

void faults::delay_connections(time_point now) {
  std::string name;
  const auto by = draw_time(10, 400);
  draw_proxy(name).delay(by);
  note(now, "delay " + name + " by " + std::to_string(by.count()) + " ms");
}

void faults::cut_one_way(time_point now) {
  std::string name;
  const bool is_to = draw(2) == 1;
  draw_proxy(name).cut(is_to ? tcp_proxy::direction::to_host : tcp_proxy::direction::from_host);
  note(now, std::string("cut ") + (is_to ? "to " : "from ") + name);
}

void faults::lose_packets(time_point now) {
  const auto n = draw(installation::entries);
  const double share = draw(3) / 3.0;
  target_.packet_proxy(n).lose(share);
  target_.get(role::entry, n).last_fault = now;
  note(now, "lose " + std::to_string(share) + " of the packets to entry" + std::to_string(n));
}

void faults::exchange_seeds(time_point now) {
  auto& it = target_.get(role::entry, draw(installation::entries));
  target_.rotate_seeds(it.number, draw(3));
  const bool has_signal = draw(2) == 1;
  if (has_signal && it.process) it.process->send(SIGHUP);
  note(now, "exchange the seeds of " + it.name() + (has_signal ? " with a signal" : ""));
}

} // namespace zinnia::soak
