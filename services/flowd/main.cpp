#include "flow_daemon.h"
#include "shared/blocked_signals.h"
#include "shared/daemon_command_line.h"
#include "zinniarelay/observe/log_line.h"

#include <csignal>

namespace {

using namespace zinnia;

flowd::flow_daemon::requests requested;

void on_stop(int /*signal*/) {
  requested.stop = true;
}

void on_reload(int /*signal*/) {
  requested.reload = true;
}

int serve(const flow_settings& settings, const std::string& settings_file) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  std::signal(SIGHUP, on_reload);
  std::signal(SIGPIPE, SIG_IGN);
  const auto signals = daemon_signals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
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
  const daemon_command_line line(app);
  CLI11_PARSE(app, argc, argv);
  return line.run<flow_settings>([&](const flow_settings& settings) {
    start_log("zinnia-flowd",
              {0, settings.availability_zone(), settings.name(), settings.zone_name()});
    return serve(settings, line.settings_file());
  });
}
