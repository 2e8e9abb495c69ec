#include "announcer.h"
#include "common/parse_endpoints.h"
#include "common/stop_signal.h"
#include "simulated_service.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <optional>
#include <random>
#include <thread>

namespace {

using namespace zinnia;
using namespace zinnia::utilities;

struct settings {
  std::vector<std::string> entry_hosts;
  std::string address;
  std::string credential_file;
  std::string journal;
  std::uint32_t zone = 0;
  std::int64_t service_ms = 0;
  std::optional<std::uint32_t> false_report; ///< reported instead of the actual load
  std::size_t report_lag = 0;
  simulated_service::options service;
};

std::atomic<bool> stop_answering_requested{false};

result<std::string> read_credential(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return failure(error_kind::io, path, "cannot be read");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    text.pop_back();
  return text;
}

result<std::unique_ptr<grpc::Server>> start_server(const std::string& address,
                                                   simulated_service& service) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  // Without this, two upstreams could listen on the same port without an error.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&service);
  auto server = builder.BuildAndStart();
  if (!server || port == 0) return failure(error_kind::io, address, "cannot listen");
  return server;
}

// Sleeps in short steps, so that a signal ends the sleep soon.
void interruptible_sleep(milliseconds length, const std::function<bool()>& is_interrupted) {
  constexpr milliseconds step{10};
  for (milliseconds elapsed{0}; elapsed < length && !is_interrupted(); elapsed += step)
    std::this_thread::sleep_for(step);
}

/// Renews the announcement until the upstream has left.
class announcement_loop {
public:
  announcement_loop(announcer& sender, simulated_service& service,
                    std::optional<std::uint32_t> false_report)
      : announcer_(sender), service_(service), false_report_(false_report) {}

  void run() {
    while (!has_left()) {
      if (is_stop_requested()) start_leaving("stop signal");
      if (stop_answering_requested.exchange(false)) {
        LOG(INFO) << "stops answering on the existing connections";
        service_.stop_answering_connections();
      }
      renew();
      interruptible_sleep(announcer_.renewal_delay(), [this] {
        return (is_stop_requested() && !is_leaving_) || stop_answering_requested.load();
      });
    }
  }

private:
  // Four renewals of 500 ms make up the lease of 2 s (R17).
  static constexpr int renewals_per_lease = 4;
  // Leases expire also when no host can be reached. An attempt fails every 100 ms to 600 ms.
  static constexpr int max_failed_attempts = 25;

  void start_leaving(const char* cause) {
    if (is_leaving_) return;
    LOG(INFO) << "leaving: " << cause;
    is_leaving_ = true;
    service_.start_leaving();
  }

  void renew() {
    const auto reply = announcer_.announce(is_leaving_ ? announcer::intention::leaving
                                                       : announcer::intention::serving,
                                           false_report_.value_or(service_.outstanding()));
    const bool is_accepted = reply.result() == wire::announcement_reply::accepted;
    if (is_accepted && !is_announced_) {
      LOG(INFO) << "announced";
      is_announced_ = true;
    }
    if (is_accepted && reply.drain_requested()) start_leaving("drain requested");
    if (!is_leaving_) return;
    ++(is_accepted ? accepted_leaves_ : failed_leaves_);
    if (accepted_leaves_ == renewals_per_lease) service_.end_lease();
  }

  bool has_left() const {
    const bool has_no_lease =
        accepted_leaves_ > 2 * renewals_per_lease || failed_leaves_ > max_failed_attempts;
    return is_leaving_ && has_no_lease && service_.outstanding() == 0;
  }

  announcer& announcer_;
  simulated_service& service_;
  std::optional<std::uint32_t> false_report_;
  bool is_leaving_ = false;
  bool is_announced_ = false;
  int accepted_leaves_ = 0; ///< accepted announcements with the intention to leave
  int failed_leaves_ = 0;   ///< announcements with the intention to leave that were not accepted
};

void log_counters(const simulated_service::counters& counters) {
  LOG(INFO) << "upstream ends: done=" << counters.done << " cancelled=" << counters.cancelled
            << " wrong_identity=" << counters.wrong_identity << " shed=" << counters.shed
            << " refused_leaving=" << counters.refused_leaving
            << " cancelled_before_start=" << counters.cancelled_before_start
            << " over_slots=" << counters.over_slots << " after_lease=" << counters.after_lease;
}

result<void> run(settings& options) {
  ZINNIA_TRY(entry_hosts, parse_endpoints(options.entry_hosts));
  ZINNIA_TRY(credential, read_credential(options.credential_file));
  ZINNIA_TRY(journal, request_journal::create(options.journal));
  std::random_device entropy;
  options.service.incarnation = std::uint64_t{entropy()} << 32U | entropy();
  options.service.service_time = milliseconds(options.service_ms);

  simulated_service service(options.service, *journal);
  ZINNIA_TRY(server, start_server(options.address, service));
  LOG(INFO) << "serving " << options.service.service << " at " << options.address
            << " as incarnation " << options.service.incarnation;

  announcer::options announcing_options;
  announcing_options.entry_hosts = entry_hosts;
  announcing_options.report_lag = options.report_lag;
  announcing_options.announcement.set_service(options.service.service);
  announcing_options.announcement.set_credential(credential);
  announcing_options.announcement.set_incarnation(options.service.incarnation);
  announcing_options.announcement.set_address(options.address);
  announcing_options.announcement.set_slots(options.service.slots);
  announcing_options.announcement.set_zone(options.zone);
  announcer sender(std::move(announcing_options));
  announcement_loop(sender, service, options.false_report).run();

  server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
  log_counters(service.current_counters());
  return success();
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Simulated upstream. SIGTERM: leave. SIGUSR1: stop answering on the connections "
               "that exist then.");
  settings options;
  std::uint32_t false_report = 0;
  bool sheds = false;
  bool is_unhealthy = false;
  app.add_option("--entry", options.entry_hosts, "ip:port of an entry host's registration service")
      ->required();
  app.add_option("--service", options.service.service, "name of the service")->required();
  app.add_option("--credential-file", options.credential_file, "credential for announcing")
      ->required();
  app.add_option("--slots", options.service.slots, "requests served at the same time")
      ->check(CLI::PositiveNumber);
  app.add_option("--zone", options.zone, "availability zone");
  app.add_option("--address", options.address, "ip:port to serve at")->required();
  app.add_option("--service-ms", options.service_ms, "time that a request takes");
  app.add_option("--cold-start", options.service.cold_start, "requests until the full speed");
  app.add_flag("--shed", sheds, "refuse requests that find all slots busy");
  auto* report_option = app.add_option("--report-outstanding", false_report,
                                       "report this load instead of the actual load");
  app.add_option("--report-lag", options.report_lag, "report the load of this many renewals ago");
  app.add_flag("--report-unhealthy", is_unhealthy, "answer connection checks as unhealthy");
  app.add_option("--journal", options.journal, "file for started non-idempotent requests");
  app.add_option("--content-bytes", options.service.content_bytes, "size of the download");
  app.add_option("--content-version", options.service.content_version, "version of the download");
  CLI11_PARSE(app, argc, argv);
  if (report_option->count() > 0) options.false_report = false_report;
  if (sheds) options.service.overload = simulated_service::overload_behaviour::shed;
  options.service.reports_healthy = !is_unhealthy;

  watch_stop_signals();
  std::signal(SIGUSR1, [](int) { stop_answering_requested.store(true); });
  const auto outcome = run(options);
  if (!outcome) {
    LOG(ERROR) << outcome.error();
    return 1;
  }
  return 0;
}
