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
  std::vector<std::string> entries;
  std::string address;
  std::string credential_file;
  std::string journal;
  std::uint32_t zone = 0;
  std::int64_t service_ms = 0;
  std::optional<std::uint32_t> false_report; ///< reported in place of the true load
  std::size_t report_lag = 0;
  simulated_service::options work;
};

std::atomic<bool> silence_requested{false};

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
  // Without this, two upstreams started on one port would share it unnoticed.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&service);
  auto server = builder.BuildAndStart();
  if (!server || port == 0) return failure(error_kind::io, address, "cannot listen");
  return server;
}

// Sleeps in short steps so that signals take effect soon.
void pause_for(milliseconds length, const std::function<bool()>& is_interrupted) {
  constexpr milliseconds step{10};
  for (milliseconds passed{0}; passed < length && !is_interrupted(); passed += step)
    std::this_thread::sleep_for(step);
}

/// Renews the announcement until the upstream has left.
class presence {
public:
  presence(announcer& announcing, simulated_service& service,
           std::optional<std::uint32_t> false_report)
      : announcing_(announcing), service_(service), false_report_(false_report) {}

  void run() {
    while (!has_left()) {
      if (is_stop_requested()) start_leaving("stop signal");
      if (silence_requested.exchange(false)) {
        LOG(INFO) << "existing connections get no answer from here on";
        service_.silence_connections();
      }
      renew();
      pause_for(announcing_.pause(),
                [this] { return (is_stop_requested() && !leaving_) || silence_requested.load(); });
    }
  }

private:
  // Four renewals of 500 ms make up the lease of 2 s (R17).
  static constexpr int renewals_per_lease = 4;
  // When no host can be reached, the leases end anyway; failed attempts follow each other
  // every 100 ms to 600 ms.
  static constexpr int most_failed_attempts = 25;

  void start_leaving(const char* cause) {
    if (leaving_) return;
    LOG(INFO) << "leaving: " << cause;
    leaving_ = true;
    service_.start_leaving();
  }

  void renew() {
    const auto reply =
        announcing_.announce(leaving_ ? announcer::stay::leaving : announcer::stay::serving,
                             false_report_.value_or(service_.outstanding()));
    const bool is_accepted = reply.result() == wire::announcement_reply::accepted;
    if (is_accepted && !announced_) {
      LOG(INFO) << "announced";
      announced_ = true;
    }
    if (is_accepted && reply.drain_requested()) start_leaving("drain requested");
    if (!leaving_) return;
    ++(is_accepted ? acknowledged_ : failed_);
    if (acknowledged_ == renewals_per_lease) service_.end_lease();
  }

  bool has_left() const {
    const bool is_known = acknowledged_ > 2 * renewals_per_lease || failed_ > most_failed_attempts;
    return leaving_ && is_known && service_.outstanding() == 0;
  }

  announcer& announcing_;
  simulated_service& service_;
  std::optional<std::uint32_t> false_report_;
  bool leaving_ = false;
  bool announced_ = false;
  int acknowledged_ = 0; ///< accepted announcements that said leaving
  int failed_ = 0;
};

void report(const simulated_service::counters& it) {
  LOG(INFO) << "upstream ends: done=" << it.done << " cancelled=" << it.cancelled
            << " wrong_identity=" << it.wrong_identity << " shed=" << it.shed
            << " refused_leaving=" << it.refused_leaving
            << " cancelled_before_start=" << it.cancelled_before_start
            << " over_slots=" << it.over_slots << " after_lease=" << it.after_lease;
}

result<void> run(settings& chosen) {
  ZINNIA_TRY(entries, parse_endpoints(chosen.entries));
  ZINNIA_TRY(credential, read_credential(chosen.credential_file));
  ZINNIA_TRY(journal, request_journal::create(chosen.journal));
  std::random_device entropy;
  chosen.work.incarnation = std::uint64_t{entropy()} << 32U | entropy();
  chosen.work.service_time = milliseconds(chosen.service_ms);

  simulated_service service(chosen.work, *journal);
  ZINNIA_TRY(server, start_server(chosen.address, service));
  LOG(INFO) << "serving " << chosen.work.service << " at " << chosen.address << " as incarnation "
            << chosen.work.incarnation;

  announcer::options announced;
  announced.entries = entries;
  announced.report_lag = chosen.report_lag;
  announced.announced.set_service(chosen.work.service);
  announced.announced.set_credential(credential);
  announced.announced.set_incarnation(chosen.work.incarnation);
  announced.announced.set_address(chosen.address);
  announced.announced.set_slots(chosen.work.slots);
  announced.announced.set_zone(chosen.zone);
  announcer announcing(std::move(announced));
  presence(announcing, service, chosen.false_report).run();

  server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
  report(service.counted());
  return success();
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Simulated upstream. SIGTERM: leave. SIGUSR1: stop answering on the connections "
               "that exist then.");
  settings chosen;
  std::uint32_t false_report = 0;
  bool sheds = false;
  bool unhealthy = false;
  app.add_option("--entry", chosen.entries, "ip:port of an entry host's registration service")
      ->required();
  app.add_option("--service", chosen.work.service, "name of the service")->required();
  app.add_option("--credential-file", chosen.credential_file, "credential for announcing")
      ->required();
  app.add_option("--slots", chosen.work.slots, "requests served at once")
      ->check(CLI::PositiveNumber);
  app.add_option("--zone", chosen.zone, "availability zone");
  app.add_option("--address", chosen.address, "ip:port to serve at")->required();
  app.add_option("--service-ms", chosen.service_ms, "time that a request takes");
  app.add_option("--cold-start", chosen.work.cold_start, "requests until the full speed");
  app.add_flag("--shed", sheds, "refuse requests that find all slots busy");
  auto* reported =
      app.add_option("--report-outstanding", false_report, "report this load, whatever it is");
  app.add_option("--report-lag", chosen.report_lag, "report the load of so many renewals ago");
  app.add_flag("--report-unhealthy", unhealthy, "answer connection checks as unhealthy");
  app.add_option("--journal", chosen.journal, "file for started non-idempotent requests");
  app.add_option("--content-bytes", chosen.work.content_bytes, "size of the download");
  app.add_option("--content-version", chosen.work.content_version, "version of the download");
  CLI11_PARSE(app, argc, argv);
  if (reported->count() > 0) chosen.false_report = false_report;
  if (sheds) chosen.work.overload = simulated_service::overload_behaviour::shed;
  chosen.work.reports_healthy = !unhealthy;

  watch_stop_signals();
  std::signal(SIGUSR1, [](int) { silence_requested.store(true); });
  const auto ended = run(chosen);
  if (!ended) {
    LOG(ERROR) << ended.error();
    return 1;
  }
  return 0;
}
