#include "common/stop_signal.h"
#include "load_run.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

using zinnia::utilities::load_run;

zinnia::result<bool> run(const std::string& address, load_run::options chosen) {
  ZINNIA_TRY(service_address, zinnia::endpoint::parse(address));
  chosen.service_address = service_address;
  ZINNIA_TRY(load, load_run::create(std::move(chosen)));
  load->run();
  load->print(std::cout);
  return load->is_whole();
}

} // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Caller and load generator. Ends with 0 if every request was answered whole, with 3 "
               "if not, and with 1 if it could not run.");
  load_run::options chosen;
  std::string address;
  std::int64_t deadline = chosen.deadline.count();
  const std::map<std::string, load_run::mode> modes{{"open", load_run::mode::open},
                                                    {"lookup", load_run::mode::lookup},
                                                    {"certify", load_run::mode::certify},
                                                    {"download", load_run::mode::download}};
  app.add_option("--service-address", address, "ip:port of the service at the fabric")->required();
  app.add_option("--service", chosen.service, "name of the service")->required();
  app.add_option("--mode", chosen.kind, "open, lookup, certify or download")
      ->transform(CLI::CheckedTransformer(modes));
  app.add_option("--count", chosen.count, "requests, or downloads in mode download");
  app.add_option("--rate", chosen.rate,
                 "requests (flows in mode open) a second; 0: the next when one has ended");
  app.add_option("--flows", chosen.flows, "flows to spread the requests over");
  app.add_option("--deadline-ms", deadline, "deadline of each request or range");
  app.add_option("--answer-bytes", chosen.answer_bytes, "wanted length of each answer");
  app.add_option("--seed", chosen.seed, "seed of nonces and payloads");
  app.add_option("--journal", chosen.journal, "file with one line for each request");
  CLI11_PARSE(app, argc, argv);
  chosen.deadline = zinnia::milliseconds(deadline);

  zinnia::utilities::watch_stop_signals();
  const auto is_whole = run(address, std::move(chosen));
  if (!is_whole) {
    LOG(ERROR) << is_whole.error();
    return 1;
  }
  return is_whole.value() ? 0 : 3;
}
