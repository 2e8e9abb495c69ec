#include "common/parse_endpoints.h"
#include "common/stop_signal.h"
#include "fabric.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

namespace {

struct texts {
  std::vector<std::string> services;
  std::vector<std::string> hosts;
  std::string listen;
  std::string control;
};

zinnia::result<zinnia::utilities::fabric> create(const texts& given,
                                                 zinnia::utilities::fabric::options chosen) {
  ZINNIA_TRY(services, zinnia::utilities::parse_endpoints(given.services));
  ZINNIA_TRY(hosts, zinnia::utilities::parse_endpoints(given.hosts));
  ZINNIA_TRY(listen, zinnia::endpoint::parse(given.listen));
  chosen.services = std::move(services);
  chosen.hosts = std::move(hosts);
  chosen.listen = listen;
  if (!given.control.empty()) {
    ZINNIA_TRY(control, zinnia::endpoint::parse(given.control));
    chosen.control = control;
  }
  return zinnia::utilities::fabric::create(std::move(chosen));
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Stands in for the network that sprays callers' packets over entry hosts");
  texts given;
  zinnia::utilities::fabric::options chosen;
  std::int64_t delay = 0;
  std::int64_t jitter = 0;
  app.add_option("--service", given.services, "ip:port at which callers reach a service")
      ->required();
  app.add_option("--host", given.hosts, "ip:port of an entry host's fabric address")->required();
  app.add_option("--listen", given.listen, "ip:port for frames from and to entry hosts")
      ->required();
  app.add_option("--control", given.control, "ip:port that takes commands as datagrams");
  app.add_option("--seed", chosen.seed, "seed of all random choices");
  app.add_option("--loss", chosen.faults.loss, "share of lost packets, 0 to 1");
  app.add_option("--duplicate", chosen.faults.duplicate, "share of duplicated packets");
  app.add_option("--reorder", chosen.faults.reorder, "share of packets held back for 20 ms");
  app.add_option("--delay-ms", delay, "delay of each packet");
  app.add_option("--jitter-ms", jitter, "largest random addition to the delay");
  CLI11_PARSE(app, argc, argv);
  chosen.faults.delay = zinnia::milliseconds(delay);
  chosen.faults.jitter = zinnia::milliseconds(jitter);

  zinnia::utilities::watch_stop_signals();
  auto made = create(given, std::move(chosen));
  if (!made) {
    LOG(ERROR) << made.error();
    return 1;
  }
  LOG(INFO) << "fabric is ready";
  made.value().run();
  return 0;
}
