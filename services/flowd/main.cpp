#include "flow_daemon.h"
#include "zinniarelay/observe/log_line.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

namespace {

using namespace zinnia;

flowd::flow_daemon::requests requested;

void on_stop(int /*signal*/) {
  requested.stop = true;
}

void on_reload(int /*signal*/) {
  requested.reload = true;
}

random_engine seeded_engine() {
  std::random_device device;
  return random_engine((std::uint64_t{device()} << 32U) | device());
}

int serve(const flow_settings& settings, const std::string& settings_file) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  std::signal(SIGHUP, on_reload);
  std::signal(SIGPIPE, SIG_IGN);
  auto daemon = flowd::flow_daemon::create(settings, seeded_engine());
  if (!daemon.has_value()) {
    log_error("start_failed").with(daemon.error());
    return 1;
  }
  log_info("started").with("packet_address", settings.packet_address());
  daemon.value()->run(requested, settings_file);
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Entry host of zinniarelay for packet flows");
  std::string settings_file;
  bool is_check = false;
  app.add_option("--settings", settings_file, "settings file in YAML")->required();
  app.add_flag("--check-settings", is_check, "check the settings file and exit");
  CLI11_PARSE(app, argc, argv);

  const auto settings = flow_settings::load(settings_file);
  if (!settings.has_value()) {
    for (const auto& it : settings.error())
      std::cerr << it << std::endl;
    return 1;
  }
  if (is_check) {
    std::cout << settings_file << ": no findings" << std::endl;
    return 0;
  }
  start_log("zinnia-flowd", {0, settings.value().availability_zone(), settings.value().name(),
                             settings.value().zone_name()});
  return serve(settings.value(), settings_file);
}
