#include "configuration_copy.h"
#include "entry_daemon.h"
#include "zinniarelay/observe/log_line.h"
#include "zinniarelay/token/key_file.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <sodium.h>

namespace {

using namespace zinnia;

constexpr int exit_bad_input = 2;

std::atomic<bool> drain_wanted{false};
std::atomic<bool> stop_wanted{false};

// The first signal starts a planned stop; a second SIGINT ends it at once.
void on_signal(int number) {
  if (drain_wanted.exchange(true) && number == SIGINT) stop_wanted = true;
}

std::uint64_t random_number() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof value);
  return value;
}

int report(const findings& found) {
  for (const auto& it : found)
    std::cerr << it << '\n';
  return exit_bad_input;
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
  // An incarnation is unique even on a host without a disk (docs/design.md R13).
  auto host = entry_host::create(settings, std::move(ring).value(), incarnation_id{random_number()},
                                 random_number(), std::move(copy).value());
  if (!host) return report(host.error());
  auto daemon = entryd::entry_daemon::create(settings, std::move(host).value());
  if (!daemon) return report(daemon.error());
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  log_info("started").with("configuration_copy", has_copy ? "unconfirmed" : "none");
  daemon.value()->run(drain_wanted, stop_wanted);
  log_info("stopped");
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("zinnia-entryd: an entry host of zinniarelay");
  std::string settings_path;
  bool is_check_only = false;
  app.add_option("--settings", settings_path, "YAML file with the settings")->required();
  app.add_flag("--check-settings", is_check_only, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  const auto settings = entry_settings::load(settings_path);
  if (!settings) return report(settings.error());
  if (is_check_only) return 0;
  // Any caller can send malformed packets, which are counted; a line for each would
  // let it fill the disk.
  google::protobuf::SetLogHandler(nullptr);
  start_log(argv[0], {settings.value().host().value, settings.value().availability_zone()});
  return run(settings.value());
}
