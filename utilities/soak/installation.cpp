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

// Base of the last byte of the addresses of each kind.
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
constexpr std::uint32_t probe_caller_number = 9;
constexpr const char* answer_bytes = "3000";
// Longer than a confirmed leave takes to reach all hosts, so a new flow after that is detected.
constexpr const char* drain_ms = "5000";

const char* role_name(role kind) {
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

// Two upstreams of each service keep their service: one serves while the other is replaced.
std::optional<std::string> service_of(std::uint32_t upstream) {
  if (upstream <= 2) return "registry";
  if (upstream > installation::upstreams - 2) return "catalogue";
  return std::nullopt;
}

} // namespace

std::string installation::zone_of(std::uint32_t number) {
  return number % 2 == 1 ? "zone-1" : "zone-2";
}

std::string member::name() const {
  return role_name(kind) + std::to_string(number);
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
  out << "]\nzones: [\"zone-1\", \"zone-2\"]\n";
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
  auto& added = members_.emplace_back();
  added.kind = kind;
  added.number = number;
  added.arguments = std::move(arguments);
  added.restart = monotonic_now();
}

member& installation::get(role kind, std::uint32_t number) {
  return *std::find_if(members_.begin(), members_.end(),
                       [&](const auto& it) { return it.kind == kind && it.number == number; });
}

std::filesystem::path installation::log_of(const std::string& name) const {
  return options_.work / "logs" / name;
}

void installation::supervise(time_point now) {
  for (auto& target : members_) {
    if (target.process) {
      const auto status = target.process->try_wait();
      if (!status) continue;
      target.process.reset();
      // A requested stop must end by a signal or with exit code 0, which a process returns if it
      // ends within its stop period.
      const bool is_orderly =
          target.is_ending && (WIFSIGNALED(*status) || WEXITSTATUS(*status) == 0);
      if (!is_orderly && now > target.may_fail_until)
        unexpected_exits_.push_back(target.name() + " ended unexpectedly, wait status " +
                                    std::to_string(*status));
      if (!target.is_ending) target.restart = now + restart_delay;
    }
    if (!target.restart || now < *target.restart) continue;
    auto started = child_process::start(target.arguments, log_of(target.name()));
    if (!started.has_value()) {
      unexpected_exits_.push_back(target.name() + " did not start: " + started.error().cause);
      continue;
    }
    target.process.emplace(std::move(started.value()));
    target.restart.reset();
    target.is_ending = false;
  }
}

void installation::stop(member& target, int signal, time_point restart) {
  target.is_ending = true;
  target.restart = restart;
  if (!target.process) return;
  // A process paused by SIGSTOP acts only on SIGCONT and SIGKILL. A SIGTERM stays pending until the
  // process is resumed.
  if (signal == SIGKILL) target.process->send(SIGCONT);
  target.process->send(signal);
  if (signal == SIGKILL) {
    target.process->wait();
    target.process.reset();
  }
}

bool installation::is_bootstrapping() const {
  for (std::uint32_t n = 1; n <= controls; ++n) {
    const auto folder = options_.work / ("control" + std::to_string(n));
    std::error_code ec;
    if (std::filesystem::exists(folder / "snapshot", ec) &&
        !std::filesystem::exists(folder / "identity", ec))
      return true;
  }
  return false;
}

void installation::wipe_data(std::uint32_t control) {
  const auto folder = options_.work / ("control" + std::to_string(control));
  std::error_code ec;
  std::filesystem::remove_all(folder, ec);
  std::filesystem::create_directories(folder);
  write_control_settings(control, false);
}

// The first bytes of an entry, as a crash during an append leaves them.
void installation::append_torn_entry(std::uint32_t control) {
  constexpr std::string_view part("ZLG1\x40\x00\x00\x00\x11", 9);
  std::ofstream out(options_.work / ("control" + std::to_string(control)) / "log",
                    std::ios::binary | std::ios::app);
  out << part;
}

void installation::replace_upstream(std::uint32_t number, const std::string& random_service) {
  const auto service = service_of(number).value_or(random_service);
  std::ostringstream id;
  id << "i-" << std::hex << next_upstream_id_++;
  auto& upstream = get(role::upstream, number);
  upstream.arguments = {options_.programs / "zinnia-flowpeer",
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
                        drain_ms,
                        "--report-opens"};
  for (const auto& control : operator_addresses()) {
    upstream.arguments.emplace_back("--control");
    upstream.arguments.push_back(control.to_string());
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
  constexpr const char* flow_limit = "60000"; // more than a run opens
  std::uint32_t number = 1;
  for (const auto* service : {"registry", "registry", "catalogue"}) {
    auto arguments = caller_arguments(number, service, service_port);
    arguments.insert(arguments.end(), {"--flows", flow_limit});
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
  const auto name = "probe" + std::to_string(++probe_count_);
  auto arguments = caller_arguments(probe_caller_number, service, port);
  arguments.insert(arguments.end(), {"--flows", std::to_string(flows), "--run", name});
  ZINNIA_TRY(process, child_process::start(arguments, log_of(name)));
  while (!process.try_wait()) {
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
  const auto response = utilities::http_call(address(entry_base + entry, ready_port), "GET",
                                             platform::ready_path(), "", ready_timeout);
  return response.has_value() && response.value().is_ok();
}

} // namespace zinnia::soak
