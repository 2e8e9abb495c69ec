#include "common/stop_signal.h"
#include "faults.h"
#include "operators.h"
#include "run_report.h"
#include "zone_orders.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace zinnia;
using soak::installation;

constexpr milliseconds poll_interval{10};
constexpr milliseconds start_timeout{30'000};
// From the start of the processes on: the group forms and grows to its full size.
constexpr milliseconds first_faults_time{3'000};
constexpr milliseconds first_poll_interval{1}; // a bootstrap takes some milliseconds
// After this time without faults, all hosts have contact with each other, and promises
// with a time limit apply.
constexpr milliseconds contact_time{4'000};
constexpr milliseconds recovery_timeout{12'000};
constexpr milliseconds in_force_limit{3'000}; // P8
constexpr milliseconds operator_timeout{5'000};
// Flows that open later than 5 s after the acknowledgement of an order are a violation.
constexpr milliseconds order_in_force_time{7'000};
// The time for the drain, the leave and the start of the successor of an upstream.
constexpr milliseconds replacement_time{6'500};
constexpr std::uint32_t probe_flows = 40;
constexpr std::uint32_t removed_route_flows = 4; ///< flows to a route that was removed

struct soak_options {
  std::uint64_t seed = 1;
  int rounds = 3;
  int storm_s = 6;
  std::string programs;
  std::string work;
};

std::uint64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

/// One run: each round is a storm of faults, then a calm in which the promises are checked.
class soak_run {
public:
  soak_run(const soak_options& options, installation& target)
      : options_(options), target_(target), faults_(target, options.seed, monotonic_now()),
        operators_(target.operator_addresses(), options.seed),
        zone_orders_(target.operator_addresses(), options.seed) {}

  void run() {
    if (!start()) return;
    target_.start_callers();
    for (int n = 0; n < options_.rounds && !utilities::is_stop_requested(); ++n) {
      storm();
      calm();
    }
    target_.stop_callers();
    operators_.stop();
    if (operators_.read(operator_timeout) == 0)
      add_finding("the declaration cannot be read at the end");
    for (const auto& it : operators_.findings())
      add_finding(it);
    for (const auto& it : zone_orders_.findings())
      add_finding(it);
    for (const auto& it : target_.unexpected_exits())
      add_finding(it);
  }

  /// Returns whether a Unix time is within a calm, after all hosts had contact with each other.
  bool is_calm(std::uint64_t at_ms) const {
    return std::any_of(calms_.begin(), calms_.end(),
                       [&](const auto& it) { return at_ms >= it.first && at_ms <= it.second; });
  }
  const std::vector<std::string>& findings() const { return findings_; }
  const soak::faults& faults() const { return faults_; }
  std::uint64_t acknowledged() const { return operators_.acknowledged(); }
  const soak::zone_orders& orders() const { return zone_orders_; }

private:
  void add_finding(const std::string& what) { findings_.push_back(what); }

  template <class Condition>
  bool wait(milliseconds limit, const Condition& condition) {
    const auto until = monotonic_now() + limit;
    while (monotonic_now() < until && !utilities::is_stop_requested()) {
      target_.supervise(monotonic_now());
      if (condition()) return true;
      std::this_thread::sleep_for(poll_interval);
    }
    return false;
  }
  void pause(milliseconds length) {
    wait(length, [] { return false; });
  }

  bool are_hosts_ready() {
    for (std::uint32_t n = 1; n <= installation::entries; ++n)
      if (!target_.is_ready(n)) return false;
    return true;
  }

  bool start() {
    operators_.set_changing(true);
    const auto until = monotonic_now() + first_faults_time;
    while (monotonic_now() < until && !utilities::is_stop_requested()) {
      target_.supervise(monotonic_now());
      faults_.step_first_start(monotonic_now());
      std::this_thread::sleep_for(first_poll_interval);
    }
    faults_.heal(monotonic_now());
    const bool is_started = wait(start_timeout, [this] { return are_hosts_ready(); });
    if (!is_started) add_finding("hosts are not ready after the first start");
    if (is_started && operators_.change(start_timeout) == 0)
      add_finding("no change is acknowledged after the first start");
    return is_started;
  }

  // Each round evacuates another zone, and the storm goes on beside the order.
  void storm() {
    operators_.set_changing(true);
    evacuated_ = installation::zone_of(++rounds_);
    auto order = std::async(std::launch::async, [&] { return zone_orders_.evacuate(evacuated_); });
    const auto until = monotonic_now() + std::chrono::seconds(options_.storm_s);
    while (monotonic_now() < until && !utilities::is_stop_requested()) {
      faults_.step(monotonic_now());
      target_.supervise(monotonic_now());
      std::this_thread::sleep_for(poll_interval);
    }
    faults_.heal(monotonic_now());
    wait_for(order);
  }

  // The processes are supervised while the order is sent.
  bool wait_for(std::future<bool>& order) {
    while (order.wait_for(poll_interval) != std::future_status::ready)
      target_.supervise(monotonic_now());
    return order.get();
  }

  void calm() {
    const auto healed = monotonic_now();
    operators_.set_changing(false);
    if (utilities::is_stop_requested()) return;
    if (!wait(recovery_timeout, [this] { return are_hosts_ready(); })) {
      add_finding("hosts are not ready " + std::to_string(recovery_timeout.count()) +
                  " ms after a storm");
      return;
    }
    const auto rest = contact_time - (monotonic_now() - healed);
    pause(std::chrono::duration_cast<milliseconds>(rest) + in_force_limit);
    calms_.emplace_back(unix_ms(), 0);
    // In the storm the order may not have been acknowledged.
    if (!zone_orders_.evacuate(evacuated_)) add_finding("no evacuation is acknowledged in a calm");
    check_service("after a storm, with " + evacuated_ + " evacuated");
    check_order_beside_kill();
    check_service("after " + evacuated_ + " was restored");
    check_declaration_change();
    faults_.replace_one_per_service(monotonic_now());
    pause(replacement_time);
    check_service("while upstreams are replaced");
    calms_.back().second = unix_ms();
  }

  // The other zone is evacuated too and restored after it: a copy of an earlier order must not come
  // into force later.
  void check_order_beside_kill() {
    const auto other = installation::zone_of(rounds_ + 1);
    const auto order_beside_kill = [this](auto send) {
      auto order = std::async(std::launch::async, send);
      faults_.kill_one_control(monotonic_now());
      if (!wait_for(order)) add_finding("no order is acknowledged beside the loss of a host");
    };
    order_beside_kill([this] { return zone_orders_.restore(evacuated_); });
    order_beside_kill([&] { return zone_orders_.evacuate(other); });
    pause(order_in_force_time);
    check_service("with " + other + " evacuated");
    order_beside_kill([&] { return zone_orders_.restore(other); });
    pause(in_force_limit);
  }

  void check_service(const std::string& when) {
    check_answers("registry", installation::service_port, probe_flows, "registry " + when);
    check_answers("catalogue", installation::service_port, probe_flows, "catalogue " + when);
  }

  void check_answers(const std::string& service, std::uint16_t port, std::uint32_t expected,
                     const std::string& what) {
    const auto flows = expected == 0 ? removed_route_flows : expected;
    const auto summary = target_.call(service, port, flows);
    if (summary.has_value() && soak::number_in(summary.value(), "answered") == expected) return;
    add_finding(what + ": " + (summary.has_value() ? summary.value() : summary.error().cause));
  }

  // Each version has a route that the previous version lacks.
  void check_declaration_change() {
    const auto before = operators_.read(operator_timeout);
    const auto version = operators_.change(operator_timeout);
    if (version == 0) return add_finding("no change is acknowledged in a calm");
    pause(in_force_limit);
    check_answers("registry", soak::operators::port_of(version), probe_flows,
                  "route of version " + std::to_string(version) + " is not in force");
    check_answers("registry", soak::operators::port_of(before), 0,
                  "route of version " + std::to_string(before) + " is still in force");
  }

  soak_options options_;
  installation& target_;
  soak::faults faults_;
  soak::operators operators_;
  soak::zone_orders zone_orders_;
  std::uint32_t rounds_ = 0;
  std::string evacuated_;                                      ///< zone
  std::vector<std::pair<std::uint64_t, std::uint64_t>> calms_; ///< Unix times in ms
  std::vector<std::string> findings_;
};

int run(const soak_options& options) {
  soak::installation_options target_options;
  target_options.programs = options.programs;
  target_options.work = options.work;
  target_options.seed = options.seed;
  // Concurrent runs use different addresses.
  target_options.network = static_cast<std::uint32_t>(10'000 + getpid() % 50'000);
  auto target = installation::create(target_options);
  if (!target.has_value()) {
    std::cerr << "zinnia-soak: " << target.error() << std::endl;
    return 2;
  }
  soak_run current_run(options, *target.value());
  current_run.run();
  target.value().reset();
  const soak::run_report report(
      std::filesystem::path(options.work) / "logs",
      [&](const std::string& /*sender*/, std::uint64_t at_ms) {
        return !current_run.is_calm(at_ms);
      },
      [&](std::uint32_t upstream, std::uint64_t at_ms) {
        return current_run.orders().is_evacuated(installation::zone_of(upstream), at_ms);
      });
  if (utilities::is_stop_requested()) {
    std::cerr << "zinnia-soak: stopped before the end of the run" << std::endl;
    return 2;
  }
  auto findings = current_run.findings();
  findings.insert(findings.end(), report.findings().begin(), report.findings().end());
  for (const auto& it : current_run.faults().journal())
    std::cout << it << '\n';
  for (const auto& it : findings)
    std::cout << "finding: " << it << '\n';
  std::cout << "seed=" << options.seed << " faults=" << current_run.faults().journal().size()
            << " changes=" << current_run.acknowledged()
            << " orders=" << current_run.orders().acknowledged() << " opens=" << report.opens()
            << " runs=" << report.runs() << " answered=" << report.answered()
            << " not_answered=" << report.unanswered() << " findings=" << findings.size()
            << std::endl;
  return findings.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Fault soak: runs real processes on loopback, applies faults from outside and "
               "checks the promises by the results of callers, upstreams and operators");
  soak_options options;
  app.add_option("--seed", options.seed, "seed of all faults and random choices");
  app.add_option("--rounds", options.rounds, "number of storms, each followed by a calm")
      ->check(CLI::Range(1, 1'000));
  app.add_option("--storm", options.storm_s, "length of a storm, s")->check(CLI::Range(1, 600));
  app.add_option("--programs", options.programs, "folder of the programs")->required();
  app.add_option("--work", options.work, "empty folder for settings, data and logs")->required();
  CLI11_PARSE(app, argc, argv);
  // After a stop signal the run ends, and with it the child processes.
  utilities::watch_stop_signals();
  // Without SIGPIPE, a write to a closed connection fails and reports the error to its caller.
  std::signal(SIGPIPE, SIG_IGN);
  return run(options);
}
