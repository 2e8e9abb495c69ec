#include "common/stop_signal.h"
#include "load_run.h"
#include "open_run.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

using zinnia::utilities::load_run;
using zinnia::utilities::open_run;

template <class Run>
zinnia::result<bool> run(const std::string& address, typename Run::options options) {
  ZINNIA_TRY(service_address, zinnia::endpoint::parse(address));
  options.service_address = service_address;
  ZINNIA_TRY(load, Run::create(std::move(options)));
  load->run();
  load->print(std::cout);
  return load->is_complete();
}

open_run::options to_open_options(const load_run::options& options) {
  return {{}, options.service, options.count, options.rate, options.seed};
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app(
      "Caller and load generator. Exits with 0 if every request got a complete answer, with "
      "3 if not, and with 1 if it could not run.");
  load_run::options options;
  std::string address;
  std::string mode = "lookup";
  std::int64_t deadline = options.deadline.count();
  const std::map<std::string, load_run::mode> modes{{"lookup", load_run::mode::lookup},
                                                    {"certify", load_run::mode::certify},
                                                    {"download", load_run::mode::download}};
  app.add_option("--service-address", address, "ip:port of the service at the fabric")->required();
  app.add_option("--service", options.service, "name of the service")->required();
  app.add_option("--mode", mode, "lookup, certify, download or open (flows without requests)")
      ->check(CLI::IsMember({"lookup", "certify", "download", "open"}));
  app.add_option("--count", options.count, "requests, downloads or, in mode open, flows");
  app.add_option("--rate", options.rate,
                 "requests or opens per second; 0: the next one when one has ended");
  app.add_option("--flows", options.flows, "flows to distribute the requests over");
  app.add_option("--deadline-ms", deadline, "deadline of each request or download");
  app.add_option("--answer-bytes", options.answer_bytes, "requested length of each answer");
  app.add_option("--content-version", options.content_version, "expected version of downloads");
  app.add_option("--seed", options.seed, "seed of nonces and payloads");
  app.add_option("--journal", options.journal, "file with one line for each request");
  CLI11_PARSE(app, argc, argv);
  options.deadline = zinnia::milliseconds(deadline);
  if (mode != "open") options.kind = modes.at(mode);

  zinnia::utilities::watch_stop_signals();
  const auto is_complete = mode == "open" ? run<open_run>(address, to_open_options(options))
                                          : run<load_run>(address, options);
  if (!is_complete) {
    LOG(ERROR) << is_complete.error();
    return 1;
  }
  return is_complete.value() ? 0 : 3;
}
