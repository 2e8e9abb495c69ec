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
zinnia::result<bool> run(const std::string& address, typename Run::options chosen) {
  ZINNIA_TRY(service_address, zinnia::endpoint::parse(address));
  chosen.service_address = service_address;
  ZINNIA_TRY(load, Run::create(std::move(chosen)));
  load->run();
  load->print(std::cout);
  return load->is_whole();
}

open_run::options opens_of(const load_run::options& chosen) {
  return {{}, chosen.service, chosen.count, chosen.rate, chosen.seed};
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Caller and load generator. Ends with 0 if every request was answered whole, with 3 "
               "if not, and with 1 if it could not run.");
  load_run::options chosen;
  std::string address;
  std::string mode = "lookup";
  std::int64_t deadline = chosen.deadline.count();
  const std::map<std::string, load_run::mode> modes{{"lookup", load_run::mode::lookup},
                                                    {"certify", load_run::mode::certify},
                                                    {"download", load_run::mode::download}};
  app.add_option("--service-address", address, "ip:port of the service at the fabric")->required();
  app.add_option("--service", chosen.service, "name of the service")->required();
  app.add_option("--mode", mode, "lookup, certify, download or open (flows without requests)")
      ->check(CLI::IsMember({"lookup", "certify", "download", "open"}));
  app.add_option("--count", chosen.count, "requests, downloads or, in mode open, flows");
  app.add_option("--rate", chosen.rate,
                 "requests or opens a second; 0: the next one when one has ended");
  app.add_option("--flows", chosen.flows, "flows to spread the requests over");
  app.add_option("--deadline-ms", deadline, "deadline of each request or download");
  app.add_option("--answer-bytes", chosen.answer_bytes, "wanted length of each answer");
  app.add_option("--content-version", chosen.content_version, "expected version of downloads");
  app.add_option("--seed", chosen.seed, "seed of nonces and payloads");
  app.add_option("--journal", chosen.journal, "file with one line for each request");
  CLI11_PARSE(app, argc, argv);
  chosen.deadline = zinnia::milliseconds(deadline);
  if (mode != "open") chosen.kind = modes.at(mode);

  zinnia::utilities::watch_stop_signals();
  const auto is_whole =
      mode == "open" ? run<open_run>(address, opens_of(chosen)) : run<load_run>(address, chosen);
  if (!is_whole) {
    LOG(ERROR) << is_whole.error();
    return 1;
  }
  return is_whole.value() ? 0 : 3;
}
