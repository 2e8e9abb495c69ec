#include "control_server.h"
#include "platform/operator_api.h"
#include "shared/blocked_signals.h"
#include "shared/daemon_command_line.h"
#include "shared/notice_socket.h"
#include "zinniarelay/config/control_settings.h"
#include "zinniarelay/config/settings_watch.h"
#include "zinniarelay/control/group_identity.h"
#include "zinniarelay/http/http_server.h"
#include "zinniarelay/observe/log_line.h"
#include "zinniarelay/observe/metrics_text.h"
#include "zinniarelay/replication/file_storage.h"

#include <csignal>

namespace {

using namespace zinnia;

constexpr milliseconds tick_interval{20};
constexpr std::size_t max_metrics_connections = 64;

int report(const error& value) {
  log_error("control_host_failed").with(value);
  std::cerr << "zinnia-controld: " << value << std::endl;
  return 1;
}

wire::control_member member_of(control_id id, endpoint address, zone_id zone) {
  wire::control_member out;
  out.set_id(id.value);
  out.set_address(address.to_string());
  out.set_zone(zone.value);
  return out;
}

control_host_settings host_settings_of(const control_settings& settings) {
  control_host_settings out;
  out.self = member_of(settings.control(), settings.address(), settings.availability_zone());
  out.cluster = settings.cluster();
  for (const auto& it : settings.founding_members())
    out.founders.push_back(member_of(it.id, it.address, it.zone));
  out.zones = settings.zones();
  out.has_load_reports = settings.has_load_reports();
  if (settings.group()) {
    out.group.emplace();
    out.group->tolerated_losses = settings.group()->tolerated_losses;
  }
  return out;
}

controld::flow_control_service_settings service_settings_of(const control_settings& settings) {
  controld::flow_control_service_settings out;
  out.address = settings.address().to_string();
  out.view_folder = (settings.data_folder() / "recall").string();
  if (!settings.group()) return out;
  for (const auto& it : settings.group()->seeds)
    out.seeds.push_back(it.to_string());
  return out;
}

/// The HTTP servers of a control host.
struct http_servers {
  std::unique_ptr<http_server> operators;
  std::unique_ptr<http_server> metrics;
};

result<http_servers> start_http(const control_settings& settings,
                                controld::control_server& server) {
  http_servers out;
  if (settings.operator_address()) {
    const auto handle = [&server](const http_request& request) {
      return platform::operator_api(server.flows()).handle(request);
    };
    ZINNIA_TRY(operators, http_server::create(*settings.operator_address(), handle, {},
                                              server.flow_metrics(), "operators"));
    out.operators = std::move(operators);
  }
  if (settings.metrics_address()) {
    const auto handle = [&server](const http_request& /*request*/) {
      return http_response{200, "text/plain", metrics_text(server.metrics())};
    };
    http_server_limits limits;
    limits.handler_threads = 1;
    limits.connections = max_metrics_connections;
    ZINNIA_TRY(metrics, http_server::create(*settings.metrics_address(), handle, limits,
                                            server.flow_metrics(), "metrics"));
    out.metrics = std::move(metrics);
  }
  return out;
}

// Only the seeds of the group are reloaded. Addresses and names of a running host stay.
void reload(const std::filesystem::path& settings_file, controld::control_server& server) {
  const auto reloaded = control_settings::load(settings_file);
  if (!reloaded.has_value()) {
    for (const auto& it : reloaded.error())
      log_error("settings_not_reloaded").with(it);
    return;
  }
  const auto seeds = service_settings_of(reloaded.value()).seeds;
  log_info("settings_reloaded").with("seeds", seeds.size());
  server.set_seeds(seeds);
}

// Handles the datagrams of entry hosts (requests for notices, load reports), and sends the notices
// of this start.
void exchange_datagrams(notice_socket& socket, controld::control_server& server,
                        const std::string& address) {
  while (const auto received = socket.receive()) {
    if (received->notice.kind() == wire::host_notice::entry_host_present)
      server.record_presence(received->sender);
    if (received->notice.kind() == wire::host_notice::load_reported)
      server.record_load(received->sender, received->notice.load());
  }
  wire::host_notice notice;
  notice.set_kind(wire::host_notice::control_host_started);
  notice.set_control_host(address);
  notice.set_source(server.source());
  for (const auto& it : server.take_due_notices())
    socket.send(it, notice);
}

int serve(const std::filesystem::path& settings_file, const control_settings& settings,
          const control_host_settings& host_settings, storage& files) {
  // block_daemon_signals() has blocked them before any thread started, so only the loop below
  // receives them.
  const auto signals = daemon_signals();
  // With SIGXFSZ ignored, a write beyond the limit on file sizes fails with an error and does not
  // end the process.
  std::signal(SIGXFSZ, SIG_IGN);
  auto host = control_host::open(files, host_settings, seeded_engine(), monotonic_now());
  if (!host.has_value()) return report(host.error());
  if (host.value().truncated_bytes() > 0)
    log_warning("incomplete_append_cut").with("bytes", host.value().truncated_bytes());
  const auto& address = host_settings.self.address();
  auto server = controld::control_server::start(std::move(host.value()),
                                                settings.listen_address().to_string(),
                                                service_settings_of(settings));
  if (!server.has_value()) return report(server.error());
  auto http = start_http(settings, *server.value());
  if (!http.has_value()) return report(http.error());
  auto notices = notice_socket::create(settings.listen_address());
  if (!notices.has_value()) return report(notices.error());
  log_info("control_host_started").with("address", address);
  const timespec interval{0, std::chrono::nanoseconds(tick_interval).count()};
  settings_watch watch(settings_file);
  for (int signal = 0; signal != SIGINT && signal != SIGTERM;) {
    signal = sigtimedwait(&signals, nullptr, &interval);
    if (watch.has_changed(monotonic_now(), signal == SIGHUP))
      reload(settings_file, *server.value());
    exchange_datagrams(*notices.value(), *server.value(), address);
    if (const auto fault = server.value()->tick()) return report(*fault);
  }
  log_info("control_host_stopping");
  http.value() = {};
  server.value()->stop();
  return 0;
}

int found_cluster(const control_host_settings& settings, storage& files,
                  const std::string& folder) {
  auto engine = seeded_engine();
  const auto initialized = control_host::initialize(files, settings, engine);
  if (!initialized.has_value()) return report(initialized.error());
  std::cout << "founded cluster " << settings.cluster << " in " << folder << std::endl;
  return 0;
}

int run(const control_settings& settings, const std::string& settings_file, bool is_founding) {
  start_log("zinnia-controld", {settings.control().value, settings.availability_zone(),
                                settings.name(), settings.zone_name()});
  auto host_settings = host_settings_of(settings);
  const auto folder = settings.data_folder().string();
  auto files = file_storage::open(folder);
  if (!files.has_value()) return report(files.error());
  if (const auto& group = settings.group()) {
    auto engine = seeded_engine();
    const auto assigned =
        assign_identity(files.value(), host_settings, group->seeds, group->is_first_start, engine);
    if (!assigned.has_value()) return report(assigned.error());
  }
  if (is_founding) return found_cluster(host_settings, files.value(), folder);
  return serve(settings_file, settings, host_settings, files.value());
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Control host of zinniarelay: replicated log, operators' requests, distribution");
  const daemon_command_line line(app);
  bool is_founding = false;
  app.add_flag("--initialize", is_founding,
               "found a new cluster in an empty data folder and exit; run it once on each "
               "founding member, and never to replace a lost one");
  CLI11_PARSE(app, argc, argv);
  return line.run<control_settings>([&](const control_settings& settings) {
    return run(settings, line.settings_file(), is_founding);
  });
}
