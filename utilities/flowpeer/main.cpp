#include "common/tcp_proxy.h"
#include "flow_caller.h"
#include "flow_upstream.h"
#include "stalled_clients.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace zinnia;

std::atomic<bool> stop_requested{false};

void on_stop(int /*signal*/) {
  stop_requested = true;
}

int print_error(const error& failed) {
  std::cerr << "zinnia-flowpeer: " << failed << std::endl;
  return 1;
}

int run_upstream(const flowpeer::upstream_options& options) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  auto upstream = flowpeer::flow_upstream::create(options);
  if (!upstream.has_value()) return print_error(upstream.error());
  upstream.value()->run(stop_requested);
  return 0;
}

int run_caller(const flowpeer::caller_options& options, std::uint64_t seed) {
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  auto caller = flowpeer::flow_caller::create(options, random_engine(seed));
  if (!caller.has_value()) return print_error(caller.error());
  const auto summary = caller.value().run(stop_requested);
  const auto ended_flows = summary.answered + summary.refused + summary.reset + summary.broken +
                           summary.unanswered + summary.damaged;
  std::cout << "flows=" << ended_flows << " answered=" << summary.answered
            << " refused=" << summary.refused << " reset=" << summary.reset
            << " broken=" << summary.broken << " unanswered=" << summary.unanswered
            << " damaged=" << summary.damaged << std::endl;
  return 0;
}

int run_stalled(const flowpeer::stalled_clients_options& options) {
  const auto summary = flowpeer::probe_beside_stalled_clients(options);
  if (!summary.has_value()) return print_error(summary.error());
  std::cout << "probes=" << options.probes << " answered=" << summary.value().answered
            << " slowest_ms=" << summary.value().slowest.count() << std::endl;
  return 0;
}

/// Forwards connections over a link with a limited rate until SIGTERM.
struct link_options {
  endpoint listen;
  endpoint host;
  std::size_t bytes_per_second = 250'000;
};

int run_link(const link_options& options) {
  constexpr std::chrono::milliseconds check_interval{50};
  std::signal(SIGTERM, on_stop);
  std::signal(SIGINT, on_stop);
  const auto link = tcp_proxy::create(options.listen, options.host);
  if (!link.has_value()) return print_error(link.error());
  link.value()->limit(options.bytes_per_second);
  while (!stop_requested)
    std::this_thread::sleep_for(check_interval);
  return 0;
}

endpoint required_endpoint(const std::string& text) {
  const auto parsed = endpoint::parse(text);
  if (!parsed.has_value()) throw CLI::ValidationError(text, "is not ip:port");
  return parsed.value();
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulated upstreams and callers of packet flows");
  app.require_subcommand(1);

  flowpeer::upstream_options upstream_opts;
  std::string upstream_address;
  std::vector<std::string> control_hosts;
  std::vector<std::string> service_addresses;
  auto* upstream = app.add_subcommand("upstream", "serves flows until SIGTERM, then drains");
  upstream->add_option("--id", upstream_opts.id, "id with hexadecimal digits after a dash");
  upstream->add_option("--service", upstream_opts.service, "name of the service")->required();
  upstream->add_option("--zone", upstream_opts.zone, "name of the zone")->required();
  upstream->add_option("--address", upstream_address, "UDP ip:port")->required();
  upstream->add_option("--control", control_hosts, "HTTP ip:port of a control host")->required();
  upstream->add_option("--service-address", service_addresses,
                       "ip:port of a route of the service; others are reported as foreign");
  upstream->add_option("--caller-port", upstream_opts.caller_port, "port of callers")->required();
  std::uint32_t drain_ms = 3'000;
  upstream->add_flag("--report-opens", upstream_opts.reports_opens,
                     "write a line for each new flow");
  upstream->add_option("--drain", drain_ms, "time from SIGTERM to the end of the process, ms");
  upstream->add_option("--answer-bytes", upstream_opts.answer_bytes, "size of an answer, bytes");

  flowpeer::caller_options caller_opts;
  std::string caller_address;
  std::string service;
  std::vector<std::string> entry_hosts;
  std::uint64_t seed = 1;
  auto* caller = app.add_subcommand("caller", "opens flows and checks their answers");
  caller->add_option("--address", caller_address, "UDP ip:port; the entry hosts use the same port")
      ->required();
  caller->add_option("--service-address", service, "ip:port of the route")->required();
  caller->add_option("--entry", entry_hosts, "UDP ip:port of an entry host")->required();
  caller->add_option("--flows", caller_opts.flows, "number of flows to open");
  caller->add_option("--at-once", caller_opts.max_open_flows,
                     "flows that are open at the same time");
  caller->add_option("--answer-bytes", caller_opts.answer_bytes,
                     "expected size of an answer, bytes");
  caller->add_option("--run", caller_opts.run, "distinguishes the requests of several runs");
  caller->add_option("--seed", seed, "seed of the random entry host of each packet");

  flowpeer::stalled_clients_options stalled_opts;
  std::string server;
  auto* stalled = app.add_subcommand(
      "stall", "sends half of a request on many connections and times other requests");
  stalled->add_option("--server", server, "HTTP ip:port")->required();
  stalled->add_option("--path", stalled_opts.path, "path of the timed requests")->required();
  stalled->add_option("--connections", stalled_opts.connections, "number of stalled connections");
  stalled->add_option("--probes", stalled_opts.probes, "number of timed requests");

  link_options link_opts;
  std::string listen;
  std::string host;
  auto* link = app.add_subcommand("link", "forwards TCP connections at a limited rate");
  link->add_option("--listen", listen, "ip:port")->required();
  link->add_option("--host", host, "ip:port to which connections are forwarded")->required();
  link->add_option("--bytes-per-second", link_opts.bytes_per_second,
                   "limit of the bytes from the host, for all connections together");

  try {
    app.parse(argc, argv);
    if (*link) {
      link_opts.listen = required_endpoint(listen);
      link_opts.host = required_endpoint(host);
      return run_link(link_opts);
    }
    if (*stalled) {
      stalled_opts.server = required_endpoint(server);
      return run_stalled(stalled_opts);
    }
    if (*upstream) {
      upstream_opts.address = required_endpoint(upstream_address);
      upstream_opts.drain_time = milliseconds(drain_ms);
      for (const auto& it : control_hosts)
        upstream_opts.control_hosts.push_back(required_endpoint(it));
      for (const auto& it : service_addresses)
        upstream_opts.service_addresses.push_back(required_endpoint(it).address);
      return run_upstream(upstream_opts);
    }
    caller_opts.address = required_endpoint(caller_address);
    caller_opts.service = required_endpoint(service);
    for (const auto& it : entry_hosts)
      caller_opts.entry_hosts.push_back(required_endpoint(it));
    return run_caller(caller_opts, seed);
  } catch (const CLI::ParseError& ex) {
    return app.exit(ex);
  }
}
