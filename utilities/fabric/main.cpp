#include "common/parse_endpoints.h"
#include "common/stop_signal.h"
#include "fabric.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

namespace {

struct option_texts {
  std::vector<std::string> services;
  std::vector<std::string> hosts;
  std::string listen;
  std::string control;
};

zinnia::result<zinnia::utilities::fabric> create(const option_texts& texts,
                                                 zinnia::utilities::fabric::options options) {
  ZINNIA_TRY(services, zinnia::utilities::parse_endpoints(texts.services));
  ZINNIA_TRY(hosts, zinnia::utilities::parse_endpoints(texts.hosts));
  ZINNIA_TRY(listen, zinnia::endpoint::parse(texts.listen));
  options.services = std::move(services);
  options.hosts = std::move(hosts);
  options.listen = listen;
  if (!texts.control.empty()) {
    ZINNIA_TRY(control, zinnia::endpoint::parse(texts.control));
    options.control = control;
  }
  return zinnia::utilities::fabric::create(std::move(options));
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Simulates the network that distributes callers' packets over entry hosts");
  option_texts texts;
  zinnia::utilities::fabric::options options;
  std::int64_t delay = 0;
  std::int64_t jitter = 0;
  app.add_option("--service", texts.services, "ip:port at which callers reach a service")
      ->required();
  app.add_option("--host", texts.hosts, "ip:port of an entry host's fabric address")->required();
  app.add_option("--listen", texts.listen, "ip:port for frames from and to entry hosts")
      ->required();
  app.add_option("--control", texts.control, "ip:port that receives commands as datagrams");
  app.add_option("--seed", options.seed, "seed of all random choices");
  app.add_option("--loss", options.faults.loss, "share of lost packets, 0 to 1");
  app.add_option("--duplicate", options.faults.duplicate, "share of duplicated packets");
  app.add_option("--reorder", options.faults.reorder, "share of packets delayed by another 20 ms");
  app.add_option("--delay-ms", delay, "delay of each packet");
  app.add_option("--jitter-ms", jitter, "maximum random addition to the delay");
  CLI11_PARSE(app, argc, argv);
  options.faults.delay = zinnia::milliseconds(delay);
  options.faults.jitter = zinnia::milliseconds(jitter);

  zinnia::utilities::watch_stop_signals();
  auto fabric = create(texts, std::move(options));
  if (!fabric) {
    LOG(ERROR) << fabric.error();
    return 1;
  }
  LOG(INFO) << "fabric is ready";
  fabric.value().run();
  return 0;
}
