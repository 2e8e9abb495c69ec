#include "installation.h"

#include "common/http_call.h"
#include "platform/operator_api.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/wait.h>
#include <thread>

namespace zinnia::soak {
namespace {

// Last bytes of addresses.
constexpr std::uint32_t control_proxy_base = 10;
constexpr std::uint32_t entry_proxy_base = 40;
constexpr std::uint32_t control_base = 100;
constexpr std::uint32_t entry_base = 120;
constexpr std::uint32_t caller_base = 140;
constexpr std::uint32_t upstream_base = 160;

constexpr std::uint16_t packet_port = 7600;
constexpr std::uint16_t ready_port = 7601;
constexpr std::uint16_t group_port = 7700;
constexpr std::uint16_t operator_port = 7701;
constexpr std::uint16_t upstream_port = 7800;
constexpr std::uint32_t founders = 3;
constexpr std::uint32_t loopback = 127U << 24U;

constexpr milliseconds restart_delay{300};
constexpr milliseconds ready_timeout{500};
constexpr std::uint32_t probing_caller = 9;
constexpr const char* answer_bytes = "3000";
// Longer than a confirmed leave takes to hold on all hosts, so that a new flow shows.
constexpr const char* drain_ms = "5000";

const char* word_of(role kind) {
  switch (kind) {
  case role::control:
    return "control";
  case role::entry:
    return "entry";
  case role::upstream:
    return "upstream";
  case role::caller:
    return "caller";
  }
  return "process";
}

std::string zone_of(std::uint32_t number) {
  return number % 2 == 1 ? "zone-1" : "zone-2";
}

// Two upstreams of each service keep it, so that one serves while the other is replaced.
std::optional<std::string> service_of(std::uint32_t upstream) {
  if (upstream <= 2) return "registry";
  if (upstream > installation::upstreams - 2) return "catalogue";
  return std::nullopt;
}

} // namespace

std::string member::name() const {
  return word_of(kind) + std::to_string(number);
}

result<std::unique_ptr<installation>> installation::create(const installation_options& options) {
  std::unique_ptr<installation> out(new installation(options));
  ZINNIA_TRY(out->build());
  return out;
}

result<void> installation::build() {
  std::filesystem::create_directories(options_.work / "logs");
  random_engine engine(options_.seed);
  ZINNIA_TRY(add_proxies(engine));
  for (std::uint32_t n = 1; n <= controls; ++n) {
    std::filesystem::create_directories(options_.work / ("control" + std::to_string(n)));
    write_control_settings(n, true);
    add(role::control, n,
        {options_.programs / "zinnia-controld", "--settings",
         options_.work / ("control" + std::to_string(n) + ".yaml")});
  }
  for (std::uint32_t n = 1; n <= entries; ++n) {
    write_entry_settings(n, 0);
    add(role::entry, n,
        {options_.programs / "zinnia-flowd", "--settings",
         options_.work / ("entry" + std::to_string(n) + ".yaml")});
  }
  for (std::uint32_t n = 1; n <= upstreams; ++n) {
    add(role::upstream, n, {});
    replace_upstream(n, service_of(n).value_or("registry"));
  }
  return success();
}

result<void> installation::add_proxies(random_engine& engine) {
  for (std::uint32_t n = 1; n <= controls; ++n) {
    ZINNIA_TRY(group, tcp_proxy::create(address(control_proxy_base + n, group_port),
                                        address(control_base + n, group_port)));
    control_proxies_.push_back(std::move(group));
    ZINNIA_TRY(operators, tcp_proxy::create(address(control_proxy_base + n, operator_port),
                                            address(control_base + n, operator_port)));
    operator_proxies_.push_back(std::move(operators));
  }
  for (std::uint32_t n = 1; n <= entries; ++n) {
    ZINNIA_TRY(packets,
               udp_proxy::create(address(entry_proxy_base + n, packet_port),
                                 address(entry_base + n, packet_port), random_engine(engine())));
    packet_proxies_.push_back(std::move(packets));
  }
  return success();
}

endpoint installation::address(std::uint32_t last, std::uint16_t port) const {
  return {loopback | options_.network << 8U | last, port};
}

endpoint installation::service_address(const std::string& service, std::uint16_t port) {
  constexpr std::uint32_t registry = 0xC612'0001; // 198.18.0.1
  return {service == "registry" ? registry : registry + 1, port};
}

std::vector<endpoint> installation::operator_addresses() const {
  std::vector<endpoint> out;
  for (std::uint32_t n = 1; n <= controls; ++n)
    out.push_back(address(control_proxy_base + n, operator_port));
  return out;
}

void installation::write_control_settings(std::uint32_t number, bool is_first_start) const {
  const auto name = "control" + std::to_string(number);
  std::ofstream out(options_.work / (name + ".yaml"));
  out << "name: " << name << "\nzone_name: " << zone_of(number) << "\naddress: \""
      << address(control_proxy_base + number, group_port).to_string() << "\"\nlisten_address: \""
      << address(control_base + number, group_port).to_string() << "\"\noperator_address: \""
      << address(control_base + number, operator_port).to_string()
      << "\"\ncluster: 1\ndata_folder: " << name << "\nfirst_start: \""
      << (is_first_start ? "true" : "false") << "\"\ntolerated_losses: 1\nseeds: [";
  for (std::uint32_t n = 1; n <= founders; ++n)
    out << (n > 1 ? ", " : "") << '"' << address(control_proxy_base + n, group_port).to_string()
        << '"';
  out << "]\n";
}

void installation::write_entry_settings(std::uint32_t number, std::uint32_t rotation) const {
  const auto name = "entry" + std::to_string(number);
  std::ofstream out(options_.work / (name + ".yaml"));
  out << "name: " << name << "\nzone_name: " << zone_of(number) << "\npacket_address: \""
      << address(entry_base + number, packet_port).to_string() << "\"\nready_address: \""
      << address(entry_base + number, ready_port).to_string()
      << "\"\nreport_interval: 500 ms\nstop_grace: 6 s\ncontrol_hosts: [";
  for (std::uint32_t n = 0; n < founders; ++n)
    out << (n > 0 ? ", " : "") << '"'
        << address(control_proxy_base + 1 + (n + rotation) % founders, group_port).to_string()
        << '"';
  out << "]\n";
}

void installation::rotate_seeds(std::uint32_t entry, std::uint32_t by) {
  write_entry_settings(entry, by);
}

void installation::add(role kind, std::uint32_t number, std::vector<std::string> arguments) {
  auto& it = members_.emplace_back();
  it.kind = kind;
  it.number = number;
  it.arguments = std::move(arguments);
  it.restart = monotonic_now();
}

member& installation::get(role kind, std::uint32_t number) {
  return *std::find_if(members_.begin(), members_.end(),
                       [&](const auto& it) { return it.kind == kind && it.number == number; });
}

std::filesystem::path installation::log_of(const std::string& name) const {
  return options_.work / "logs" / name;
}

void installation::supervise(time_point now) {
  for (auto& it : members_) {
    if (it.process) {
      const auto status = it.process->ended();
      if (!status) continue;
      it.process.reset();
      // A planned end is an orderly one: exit code 0 within the time of a stop.
      const bool is_orderly = it.is_ending && (WIFSIGNALED(*status) || WEXITSTATUS(*status) == 0);
      if (!is_orderly && now > it.may_fail_until)
        own_ends_.push_back(it.name() + " ended by itself, wait status " + std::to_string(*status));
      if (!it.is_ending) it.restart = now + restart_delay;
    }
    if (!it.restart || now < *it.restart) continue;
    auto started = child_process::start(it.arguments, log_of(it.name()));
    if (!started.has_value()) {
      own_ends_.push_back(it.name() + " did not start: " + started.error().cause);
      continue;
    }
    it.process.emplace(std::move(started.value()));
    it.restart.reset();
    it.is_ending = false;
  }
}

void installation::end(member& it, int signal, time_point restart) {
  it.is_ending = true;
  it.restart = restart;
  if (!it.process) return;
  // A paused process sees no signal but this one.
  if (signal == SIGKILL) it.process->send(SIGCONT);
  it.process->send(signal);
  if (signal == SIGKILL) {
    it.process->wait();
    it.process.reset();
  }
}

void installation::wipe(std::uint32_t control) {
  const auto folder = options_.work / ("control" + std::to_string(control));
  std::error_code ec;
  std::filesystem::remove_all(folder, ec);
  std::filesystem::create_directories(folder);
  write_control_settings(control, false);
}

// The first bytes of an append, as a crash leaves them.
void installation::tear(std::uint32_t control) {
  constexpr std::string_view part("ZLG1\x40\x00\x00\x00\x11", 9);
  std::ofstream out(options_.work / ("control" + std::to_string(control)) / "log",
                    std::ios::binary | std::ios::app);
  out << part;
}

void installation::replace_upstream(std::uint32_t number, const std::string& drawn) {
  const auto service = service_of(number).value_or(drawn);
  std::ostringstream id;
  id << "i-" << std::hex << next_id_++;
  auto& it = get(role::upstream, number);
  it.arguments = {options_.programs / "zinnia-flowpeer",
                  "upstream",
                  "--id",
                  id.str(),
                  "--service",
                  service,
                  "--zone",
                  zone_of(number),
                  "--address",
                  address(upstream_base + number, upstream_port).to_string(),
                  "--caller-port",
                  std::to_string(packet_port),
                  "--service-address",
                  service_address(service).to_string(),
                  "--answer-bytes",
                  answer_bytes,
                  "--drain",
                  drain_ms};
  for (const auto& control : operator_addresses()) {
    it.arguments.emplace_back("--control");
    it.arguments.push_back(control.to_string());
  }
}

std::vector<std::string> installation::caller_arguments(std::uint32_t number,
                                                        const std::string& service,
                                                        std::uint16_t port) const {
  std::vector<std::string> out{options_.programs / "zinnia-flowpeer",
                               "caller",
                               "--address",
                               address(caller_base + number, packet_port).to_string(),
                               "--service-address",
                               service_address(service, port).to_string(),
                               "--answer-bytes",
                               answer_bytes,
                               "--seed",
                               std::to_string(options_.seed + number)};
  for (std::uint32_t n = 1; n <= entries; ++n) {
    out.emplace_back("--entry");
    out.push_back(address(entry_proxy_base + n, packet_port).to_string());
  }
  return out;
}

void installation::start_callers() {
  constexpr const char* more_than_a_run_opens = "60000";
  std::uint32_t number = 1;
  for (const auto* service : {"registry", "registry", "catalogue"}) {
    auto arguments = caller_arguments(number, service, service_port);
    arguments.insert(arguments.end(), {"--flows", more_than_a_run_opens});
    add(role::caller, number++, std::move(arguments));
  }
}

void installation::stop_callers() {
  for (auto& it : members_) {
    if (it.kind != role::caller || !it.process) continue;
    it.is_ending = true;
    it.process->send(SIGTERM);
    it.process->wait();
    it.process.reset();
  }
}

result<std::string> installation::call(const std::string& service, std::uint16_t port,
                                       std::uint32_t flows) {
  const auto name = "probe" + std::to_string(++next_run_);
  auto arguments = caller_arguments(probing_caller, service, port);
  arguments.insert(arguments.end(), {"--flows", std::to_string(flows), "--run", name});
  ZINNIA_TRY(process, child_process::start(arguments, log_of(name)));
  while (!process.ended()) {
    supervise(monotonic_now());
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::ifstream log(log_of(name));
  std::string line;
  std::string out;
  while (std::getline(log, line))
    if (line.starts_with("flows=")) out = line;
  return out;
}

bool installation::is_ready(std::uint32_t entry) const {
  const auto answer = utilities::http_call(address(entry_base + entry, ready_port), "GET",
                                           platform::ready_path(), "", ready_timeout);
  return answer.has_value() && answer.value().is_ok();
}

} // namespace zinnia::soak
