#include "common/stop_signal.h"
#include "faults.h"
#include "operators.h"
#include "verdict.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using namespace zinnia;
using soak::installation;

constexpr milliseconds turn{10};
constexpr milliseconds start_limit{30'000};
// Without faults for this long, hosts are in touch and the rules with a time hold.
constexpr milliseconds contact{4'000};
constexpr milliseconds recovery_limit{12'000};
constexpr milliseconds in_force_limit{3'000}; // P8
constexpr milliseconds operator_limit{5'000};
// Drain, leave and start of the successor of an upstream.
constexpr milliseconds replacement{6'500};
constexpr std::uint32_t probe_flows = 40;
constexpr std::uint32_t dropped_flows = 4; ///< to a route that was dropped

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

/// One run: rounds of a storm of faults and a calm in which the promises are checked.
class soak_run {
public:
  soak_run(const soak_options& options, installation& target)
      : options_(options), target_(target), faults_(target, options.seed, monotonic_now()),
        operators_(target.operator_addresses(), options.seed) {}

  void run() {
    if (!start()) return;
    target_.start_callers();
    for (int n = 0; n < options_.rounds && !utilities::is_stop_requested(); ++n) {
      storm();
      calm();
    }
    target_.stop_callers();
    operators_.stop();
    if (operators_.read(operator_limit) == 0) find("the declaration cannot be read at the end");
    for (const auto& it : operators_.findings())
      find(it);
    for (const auto& it : target_.own_ends())
      find(it);
  }

  /// A time in a calm, after all hosts have been in touch.
  bool is_calm(std::uint64_t at_ms) const {
    return std::any_of(calms_.begin(), calms_.end(),
                       [&](const auto& it) { return at_ms >= it.first && at_ms <= it.second; });
  }
  const std::vector<std::string>& findings() const { return findings_; }
  const soak::faults& faults() const { return faults_; }
  std::uint64_t acknowledged() const { return operators_.acknowledged(); }

private:
  void find(const std::string& what) { findings_.push_back(what); }

  template <class Condition>
  bool wait(milliseconds limit, const Condition& condition) {
    const auto until = monotonic_now() + limit;
    while (monotonic_now() < until && !utilities::is_stop_requested()) {
      target_.supervise(monotonic_now());
      if (condition()) return true;
      std::this_thread::sleep_for(turn);
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
    const bool is_started = wait(start_limit, [this] { return are_hosts_ready(); });
    if (!is_started) find("hosts are not ready after the first start");
    return is_started;
  }

  void storm() {
    operators_.set_changing(true);
    const auto until = monotonic_now() + std::chrono::seconds(options_.storm_s);
    while (monotonic_now() < until && !utilities::is_stop_requested()) {
      faults_.step(monotonic_now());
      target_.supervise(monotonic_now());
      std::this_thread::sleep_for(turn);
    }
    faults_.heal(monotonic_now());
  }

  void calm() {
    const auto healed = monotonic_now();
    operators_.set_changing(false);
    if (utilities::is_stop_requested()) return;
    if (!wait(recovery_limit, [this] { return are_hosts_ready(); })) {
      find("hosts are not ready " + std::to_string(recovery_limit.count()) + " ms after a storm");
      return;
    }
    const auto rest = contact - (monotonic_now() - healed);
    pause(std::chrono::duration_cast<milliseconds>(rest) + in_force_limit);
    calms_.emplace_back(unix_ms(), 0);
    check_service("after a storm");
    check_change();
    faults_.release(monotonic_now());
    pause(replacement);
    check_service("while upstreams are replaced");
    calms_.back().second = unix_ms();
  }

  void check_service(const std::string& when) {
    check_answers("registry", installation::service_port, probe_flows, "registry " + when);
    check_answers("catalogue", installation::service_port, probe_flows, "catalogue " + when);
  }

  void check_answers(const std::string& service, std::uint16_t port, std::uint32_t expected,
                     const std::string& what) {
    const auto flows = expected == 0 ? dropped_flows : expected;
    const auto summary = target_.call(service, port, flows);
    if (summary.has_value() && soak::number_in(summary.value(), "answered") == expected) return;
    find(what + ": " + (summary.has_value() ? summary.value() : summary.error().cause));
  }

  // Each version has a route that the one before it has not.
  void check_change() {
    const auto before = operators_.read(operator_limit);
    const auto version = operators_.change(operator_limit);
    if (version == 0) return find("no change is acknowledged in a calm");
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
  std::vector<std::pair<std::uint64_t, std::uint64_t>> calms_; ///< Unix times in ms
  std::vector<std::string> findings_;
};

int run(const soak_options& options) {
  soak::installation_options where;
  where.programs = options.programs;
  where.work = options.work;
  where.seed = options.seed;
  // Two runs at a time do not meet.
  where.network = static_cast<std::uint32_t>(10'000 + getpid() % 50'000);
  auto target = installation::create(where);
  if (!target.has_value()) {
    std::cerr << "zinnia-soak: " << target.error() << std::endl;
    return 2;
  }
  soak_run played(options, *target.value());
  played.run();
  target.value().reset();
  const soak::verdict seen(
      std::filesystem::path(options.work) / "logs",
      [&](const std::string& /*sender*/, std::uint64_t at_ms) { return !played.is_calm(at_ms); });
  if (utilities::is_stop_requested()) {
    std::cerr << "zinnia-soak: stopped before its end" << std::endl;
    return 2;
  }
  auto findings = played.findings();
  findings.insert(findings.end(), seen.findings().begin(), seen.findings().end());
  for (const auto& it : played.faults().journal())
    std::cout << it << '\n';
  for (const auto& it : findings)
    std::cout << "finding: " << it << '\n';
  std::cout << "seed=" << options.seed << " faults=" << played.faults().journal().size()
            << " changes=" << played.acknowledged() << " runs=" << seen.runs()
            << " answered=" << seen.answered() << " not_answered=" << seen.unanswered()
            << " findings=" << findings.size() << std::endl;
  return findings.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Fault soak: real processes on loopback, faults from outside, promises checked "
               "from what callers, upstreams and operators see");
  soak_options options;
  app.add_option("--seed", options.seed, "of all faults and choices");
  app.add_option("--rounds", options.rounds, "storms, each followed by a calm")
      ->check(CLI::Range(1, 1'000));
  app.add_option("--storm", options.storm_s, "length of a storm, s")->check(CLI::Range(1, 600));
  app.add_option("--programs", options.programs, "folder of the programs")->required();
  app.add_option("--work", options.work, "empty folder for settings, data and logs")->required();
  CLI11_PARSE(app, argc, argv);
  // The processes that this one started end with it.
  utilities::watch_stop_signals();
  // An end of a connection is seen by the call that meets it.
  std::signal(SIGPIPE, SIG_IGN);
  return run(options);
}
