#include "flow_caller.h"
#include "flow_upstream.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <iostream>

namespace {

using namespace zinnia;

std::atomic<bool> stop_requested{false};

void on_stop(int /*signal*/) {
  stop_requested = true;
}

int report(const error& value) {
  std::cerr << "zinnia-flowpeer: " << value << std::endl;
  return 1;
}

int run_upstream(const flowpeer::upstream_options& options) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  auto upstream = flowpeer::flow_upstream::create(options);
  if (!upstream.has_value()) return report(upstream.error());
  upstream.value()->run(stop_requested);
  return 0;
}

int run_caller(const flowpeer::caller_options& options, std::uint64_t seed) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  auto caller = flowpeer::flow_caller::create(options, random_engine(seed));
  if (!caller.has_value()) return report(caller.error());
  const auto summary = caller.value().run(stop_requested);
  const auto ended = summary.answered + summary.refused + summary.reset + summary.broken +
                     summary.unanswered + summary.damaged;
  std::cout << "flows=" << ended << " answered=" << summary.answered
            << " refused=" << summary.refused << " reset=" << summary.reset
            << " broken=" << summary.broken << " unanswered=" << summary.unanswered
            << " damaged=" << summary.damaged << std::endl;
  return 0;
}

endpoint required_endpoint(const std::string& text) {
  const auto out = endpoint::parse(text);
  if (!out.has_value()) throw CLI::ValidationError(text, "is not ip:port");
  return out.value();
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-ins of upstreams and callers of packet flows");
  app.require_subcommand(1);

  flowpeer::upstream_options served;
  std::string address;
  std::vector<std::string> controls;
  std::vector<std::string> service_addresses;
  auto* upstream = app.add_subcommand("upstream", "serves flows until SIGTERM, then drains");
  upstream->add_option("--id", served.id, "id with hexadecimal digits after a dash");
  upstream->add_option("--service", served.service, "name of the service")->required();
  upstream->add_option("--zone", served.zone, "name of the zone")->required();
  upstream->add_option("--address", address, "UDP ip:port")->required();
  upstream->add_option("--control", controls, "HTTP ip:port of a control host")->required();
  upstream->add_option("--service-address", service_addresses,
                       "ip:port of a route of the service; others are reported as foreign");
  upstream->add_option("--caller-port", served.caller_port, "port of callers")->required();
  std::uint32_t drain_ms = 3'000;
  upstream->add_option("--drain", drain_ms, "time from the stop to the end, ms");
  upstream->add_option("--answer-bytes", served.answer_bytes, "bytes of an answer");

  flowpeer::caller_options called;
  std::string own;
  std::string service;
  std::vector<std::string> entry_hosts;
  std::uint64_t seed = 1;
  auto* caller = app.add_subcommand("caller", "opens flows and checks their answers");
  caller->add_option("--address", own, "UDP ip:port; the port of the entry hosts")->required();
  caller->add_option("--service-address", service, "ip:port of the route")->required();
  caller->add_option("--entry", entry_hosts, "UDP ip:port of an entry host")->required();
  caller->add_option("--flows", called.flows, "flows to open, one after the other");
  caller->add_option("--at-once", called.at_once, "flows that are open at the same time");
  caller->add_option("--answer-bytes", called.answer_bytes, "expected bytes of an answer");
  caller->add_option("--run", called.run, "tells the requests of several runs apart");
  caller->add_option("--seed", seed, "of the entry host that each packet goes to");

  try {
    app.parse(argc, argv);
    if (*upstream) {
      served.address = required_endpoint(address);
      served.drain_time = milliseconds(drain_ms);
      for (const auto& it : controls)
        served.controls.push_back(required_endpoint(it));
      for (const auto& it : service_addresses)
        served.service_addresses.push_back(required_endpoint(it).address);
      return run_upstream(served);
    }
    called.address = required_endpoint(own);
    called.service = required_endpoint(service);
    for (const auto& it : entry_hosts)
      called.entry_hosts.push_back(required_endpoint(it));
    return run_caller(called, seed);
  } catch (const CLI::ParseError& ec) {
    return app.exit(ec);
  }
}
