#include "configuration_copy.h"
#include "entry_daemon.h"
#include "shared/daemon_command_line.h"
#include "zinniarelay/observe/log_line.h"
#include "zinniarelay/token/key_file.h"

#include <csignal>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <sodium.h>

namespace {

using namespace zinnia;

std::atomic<bool> is_drain_requested{false};
std::atomic<bool> is_stop_requested{false};

// The first signal starts a planned stop. A later SIGINT stops the process immediately.
void on_signal(int signal) {
  if (is_drain_requested.exchange(true) && signal == SIGINT) is_stop_requested = true;
}

std::uint64_t random_number() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof value);
  return value;
}

int report(const findings& found) {
  for (const auto& it : found)
    std::cerr << it << '\n';
  return daemon_command_line::exit_bad_settings;
}

int report(const error& cause) {
  log_error("start_failed").with(cause);
  return 1;
}

int run(const entry_settings& settings) {
  const auto keys = key_file::load(settings.keys_file());
  if (!keys) return report(keys.error());
  auto ring = keys.value().ring();
  if (!ring) return report(ring.error());
  auto copy = entryd::load_configuration_copy(settings);
  if (!copy) return report(copy.error());
  const bool has_copy = copy.value().has_value();
  // A random incarnation is unique even on a host without a disk (docs/design.md R13).
  auto host = entry_host::create(settings, std::move(ring).value(), incarnation_id{random_number()},
                                 random_number(), std::move(copy).value());
  if (!host) return report(host.error());
  auto daemon = entryd::entry_daemon::create(settings, std::move(host).value());
  if (!daemon) return report(daemon.error());
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  log_info("started").with("configuration_copy", has_copy ? "unconfirmed" : "none");
  daemon.value()->run(is_drain_requested, is_stop_requested);
  log_info("stopped");
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("zinnia-entryd: an entry host of zinniarelay");
  const daemon_command_line line(app);
  CLI11_PARSE(app, argc, argv);
  return line.run<entry_settings>([&](const entry_settings& settings) {
    // Any caller can send malformed packets. They are counted and not logged, because a caller
    // could fill the disk with log lines.
    google::protobuf::SetLogHandler(nullptr);
    start_log(argv[0], {settings.host().value, settings.availability_zone()});
    return run(settings);
  });
}
